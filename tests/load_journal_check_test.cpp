#include "load/journal_check.h"

#include <gtest/gtest.h>

#include <sstream>

using namespace tamarackridge;
using namespace tamarackridge::load;

namespace {

constexpr std::int64_t startNs = 1'000'000;

std::string journalLine(const char *event, const char *loadId, std::int64_t at,
                        const char *outcome = "")
{
    return std::string(R"({"event":")") + event + R"(","load_id":")" + loadId + R"(","steady_ns":)"
           + std::to_string(startNs + at) + R"(,"outcome":")" + outcome + "\"}\n";
}

history_index indexOf(const std::string &journal)
{
    std::istringstream stream(journal);
    history_index index;
    EXPECT_EQ(readJournal(stream, index), 0U);
    return index;
}

request_record recordWith(const char *loadId, run_state state, request_outcome outcome)
{
    request_record request;
    request.loadId = loadId;
    request.sends = 1;
    request.state = state;
    request.outcome = outcome;
    if (state == run_state::not_run)
        request.lastNotRunAt = duration(500);
    return request;
}

journal_check_result check(const request_record &request, const std::string &journal)
{
    return checkJournals({&request, 1}, indexOf(journal), startNs);
}

} // namespace

// Guards against missing a write that ran on two backend servers.
TEST(LoadJournalCheck, FindsADuplicateExecution)
{
    const request_record request = recordWith("w1", run_state::ran, request_outcome::complete);
    const journal_check_result report =
            check(request, journalLine("start", "w1", 1) + journalLine("start", "w1", 2)
                                   + journalLine("end", "w1", 3, "done"));
    EXPECT_EQ(report.duplicateExecutions, 1U);
    EXPECT_EQ(report.lostWrites, 0U);
    EXPECT_EQ(report.examples.size(), 1U);
}

// Guards against reporting a repeated idempotent read as an error.
TEST(LoadJournalCheck, ReadsMayRunTwice)
{
    const request_record request = recordWith("r1", run_state::ran, request_outcome::complete);
    EXPECT_EQ(check(request, journalLine("start", "r1", 1) + journalLine("start", "r1", 2))
                      .duplicateExecutions,
              0U);
}

// Guards against missing a refusal with run state `not-run` after an execution started.
TEST(LoadJournalCheck, FindsAFalseNotRun)
{
    const request_record last = recordWith("w1", run_state::not_run, request_outcome::refused);
    EXPECT_EQ(check(last, journalLine("start", "w1", 900)).falseNotRun, 1U);
    // The `not-run` was received at 500, and a later send got a response.
    request_record earlier = recordWith("w1", run_state::ran, request_outcome::complete);
    earlier.lastNotRunAt = duration(500);
    EXPECT_EQ(
            check(earlier, journalLine("start", "w1", 400) + journalLine("end", "w1", 600, "done"))
                    .falseNotRun,
            1U);
    EXPECT_EQ(
            check(earlier, journalLine("start", "w1", 600) + journalLine("end", "w1", 700, "done"))
                    .falseNotRun,
            0U);
}

// Guards against reporting the refusal of a resent read without an id, which covers only one send.
TEST(LoadJournalCheck, RefusalOfAResentReadIsNotChecked)
{
    request_record request = recordWith("r1", run_state::not_run, request_outcome::refused);
    EXPECT_EQ(check(request, journalLine("start", "r1", 1)).falseNotRun, 1U);
    request.sends = 2;
    EXPECT_EQ(check(request, journalLine("start", "r1", 1)).falseNotRun, 0U);
}

// Guards against missing a `ran` or a complete response without an execution in the journals.
TEST(LoadJournalCheck, FindsAFalseRanAndALostWrite)
{
    const request_record request = recordWith("w1", run_state::ran, request_outcome::complete);
    const journal_check_result nothing = check(request, "");
    EXPECT_EQ(nothing.falseRan, 1U);
    EXPECT_EQ(nothing.lostWrites, 1U);
    const journal_check_result cancelled = check(
            request, journalLine("start", "w1", 1) + journalLine("end", "w1", 2, "cancelled"));
    EXPECT_EQ(cancelled.falseRan, 0U);
    EXPECT_EQ(cancelled.lostWrites, 1U);
}

// Guards against a check that stops at a journal line truncated by a crash.
TEST(LoadJournalCheck, TruncatedLinesAreCounted)
{
    std::istringstream stream(journalLine("start", "w1", 1) + "{\"event\":\"sta");
    history_index index;
    EXPECT_EQ(readJournal(stream, index), 1U);
    EXPECT_EQ(index["w1"].starts, 1U);
}
