#include "sidecar/received_frames.h"

#include <gtest/gtest.h>

#include <chrono>

namespace tamarackridge {
namespace {

constexpr std::size_t maxSenders = 4;
const time_point start(std::chrono::hours(1));

TEST(sidecar_received_frames, a_repeated_frame_is_not_new)
{
    received_frames frames(maxSenders);
    EXPECT_TRUE(frames.advance(1, 5, start));
    EXPECT_FALSE(frames.advance(1, 5, start));
    EXPECT_FALSE(frames.advance(1, 4, start));
    EXPECT_TRUE(frames.advance(1, 6, start));
    EXPECT_EQ(frames.lastOf(1), 6U);
}

// Guards against a request that runs twice because its frame is repeated after a reset, when many
// other processes have come and gone since.
TEST(sidecar_received_frames, a_full_table_forgets_the_sender_that_was_silent_for_longest)
{
    received_frames frames(maxSenders);
    time_point now = start;
    frames.advance(1, 5, now);
    for (incarnation_id sender = 2; sender < 100; ++sender) {
        now += std::chrono::seconds(1);
        frames.advance(1, 5 + sender, now);
        frames.advance(sender, 1, now);
    }
    EXPECT_FALSE(frames.advance(1, 104, now));
    EXPECT_FALSE(frames.advance(99, 1, now));
    EXPECT_EQ(frames.lastOf(2), 0U);
}

} // namespace
} // namespace tamarackridge
