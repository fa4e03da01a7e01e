#include "tamarackridge/src/node/replay_window.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace tamarackridge {
namespace {

// Guards against a repeated dispatch frame that runs a request a second time.
TEST(node_replay_window, accepts_each_number_once)
{
    replay_window window;
    for (const std::uint64_t sequence : {5U, 6U, 4U, 1000U, 7U})
        EXPECT_TRUE(window.accept(sequence)) << sequence;
    for (const std::uint64_t sequence : {5U, 6U, 4U, 1000U, 7U})
        EXPECT_FALSE(window.accept(sequence)) << sequence;
}

// Guards against accepting a number as new after it has left the window.
TEST(node_replay_window, refuses_numbers_behind_the_window)
{
    replay_window window;
    EXPECT_TRUE(window.accept(10));
    EXPECT_TRUE(window.accept(10 + replay_window::width));
    EXPECT_FALSE(window.accept(10));
    EXPECT_TRUE(window.accept(11));
    EXPECT_FALSE(window.accept(11));
}

// Guards against stale bits when the window advances by less or by more than its width.
RC_GTEST_PROP(node_replay_window, never_accepts_a_number_twice, ())
{
    replay_window window;
    std::set<std::uint64_t> accepted;
    std::uint64_t highest = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(-1500, 1600));
    for (const int step : steps) {
        const auto sequence = static_cast<std::uint64_t>(
                std::max<std::int64_t>(0, static_cast<std::int64_t>(highest) + step));
        const bool expected = !accepted.contains(sequence)
                              && (sequence > highest || highest - sequence < replay_window::width);
        RC_ASSERT(window.accept(sequence) == expected);
        accepted.insert(sequence);
        highest = std::max(highest, sequence);
    }
}

// Guards against numbers of one sender that affect those of another, and against unbounded memory.
TEST(node_replay_window, senders_are_independent_and_bounded)
{
    replay_guard guard(2);
    EXPECT_TRUE(guard.accept(1, 9));
    EXPECT_TRUE(guard.accept(2, 9));
    EXPECT_FALSE(guard.accept(1, 9));
    EXPECT_TRUE(guard.accept(3, 9)); // Evicts sender 2, the least recently active one.
    EXPECT_FALSE(guard.accept(1, 9));
    EXPECT_EQ(guard.senders(), 2U);
}

} // namespace
} // namespace tamarackridge
