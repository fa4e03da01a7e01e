#include "log/log_store.h"

#include <gtest/gtest.h>

using namespace tamarackridge;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1h};

} // namespace

// Guards against offsets that are reused or skipped after records have been dropped.
TEST(LogStore, RetentionByAgeAndCountKeepsOffsets)
{
    log_store store({.retention = 10s, .maxRecordsPerStream = 3});
    for (std::int64_t offset = 0; offset < 5; ++offset)
        EXPECT_EQ(store.append("s", "r" + std::to_string(offset), start + offset * 1s), offset);
    stream_page page = store.read("s", 0, 10, start + 5s);
    EXPECT_EQ(page.first, 2);
    EXPECT_EQ(page.records.front().data, "r2");
    EXPECT_EQ(page.records.front().age, 3s);
    page = store.read("s", 0, 10, start + 13500ms);
    EXPECT_EQ(page.first, 4);
    page = store.read("s", 0, 10, start + 60s);
    EXPECT_EQ(page.first, 5);
    EXPECT_EQ(page.next, 5);
    EXPECT_EQ(store.append("s", "r5", start + 61s), 5);
}

// Guards against a full page that its reader takes for the end of the log.
TEST(LogStore, FullPagesEndBeforeTheNextOffset)
{
    log_store store({.maxPageBytes = 10});
    for (int count = 0; count < 4; ++count)
        ASSERT_TRUE(store.append("s", "1234", start));
    EXPECT_EQ(store.read("s", 0, 1, start).records.size(), 1U);
    const stream_page full = store.read("s", 0, 9, start); // Limited by maxPageBytes.
    EXPECT_EQ(full.records.back().offset, 1);
    EXPECT_EQ(full.next, 4);
    const stream_page last = store.read("s", 3, 9, start);
    EXPECT_EQ(last.records.back().offset, 3);
    EXPECT_EQ(last.next, 4);
    EXPECT_EQ(store.read("s", 9, 9, start).next, 4);
    EXPECT_TRUE(store.read("s", 9, 9, start).records.empty());
    EXPECT_EQ(store.read("none", 9, 9, start).next, 0);
}

// Guards against an unlimited append rate, which the log of the platform does not offer.
TEST(LogStore, AppendsPerSecondAreLimited)
{
    log_store store({.maxAppendsPerSecond = 5});
    const auto appendMany = [&store](time_point now) {
        int accepted = 0;
        for (int count = 0; count < 50; ++count)
            accepted += store.append(count % 2 == 0 ? "a" : "b", "x", now) ? 1 : 0;
        return accepted;
    };
    EXPECT_EQ(appendMany(start), 5);
    EXPECT_EQ(appendMany(start + 400ms), 2);
    EXPECT_EQ(store.append("a", "x", start + 400ms).error(), append_rejection::rate_limited);
}

// Guards against storing malformed or oversized input.
TEST(LogStore, RejectsMalformedInput)
{
    log_store store({.maxRecordBytes = 8, .maxStreams = 1});
    EXPECT_EQ(store.append("S", "x", start).error(), append_rejection::stream_name_invalid);
    EXPECT_EQ(store.append("", "x", start).error(), append_rejection::stream_name_invalid);
    EXPECT_EQ(store.append("s", "", start).error(), append_rejection::record_empty);
    EXPECT_EQ(store.append("s", "123456789", start).error(), append_rejection::record_too_large);
    for (const char *text :
         {"\xff", "\xc3", "\xc0\x80", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xe0\x80\x80", "a\x80"})
        EXPECT_EQ(store.append("s", text, start).error(), append_rejection::record_not_text);
    EXPECT_TRUE(store.append("s", "\xc3\xb1\xe2\x82\xac", start));
    EXPECT_EQ(store.append("t", "x", start).error(), append_rejection::too_many_streams);
}

// Guards against trimming that drops newer records or resets the next offset.
TEST(LogStore, TrimsBelowAnOffset)
{
    log_store store({});
    for (int count = 0; count < 3; ++count)
        ASSERT_TRUE(store.append("s", "x", start));
    store.trimBelow("s", 2);
    EXPECT_EQ(store.read("s", 0, 9, start).first, 2);
    store.trimBelow("s", 99);
    EXPECT_EQ(store.read("s", 0, 9, start).next, 3);
}
