#include "load/truth_check.h"

#include <gtest/gtest.h>

#include <sstream>

using namespace tamarackridge;
using namespace tamarackridge::load;

namespace {

constexpr std::int64_t startNs = 1'000'000;

std::string line(const char *event, const char *loadId, std::int64_t at, const char *outcome = "")
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

request_record told(const char *loadId, run_state state, request_outcome outcome)
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

truth_report check(const request_record &request, const std::string &journal)
{
    return checkTruth({&request, 1}, indexOf(journal), startNs);
}

} // namespace

// Guards against a checker that overlooks a write that ran on two backend servers.
TEST(LoadTruth, FindsADoubleRun)
{
    const request_record request = told("w1", run_state::ran, request_outcome::whole);
    const truth_report report = check(request, line("start", "w1", 1) + line("start", "w1", 2)
                                                       + line("end", "w1", 3, "done"));
    EXPECT_EQ(report.doubleRuns, 1U);
    EXPECT_EQ(report.lostWrites, 0U);
    EXPECT_EQ(report.examples.size(), 1U);
}

// Guards against a checker that takes a repeated idempotent read for a fault.
TEST(LoadTruth, ReadsMayRunTwice)
{
    const request_record request = told("r1", run_state::ran, request_outcome::whole);
    EXPECT_EQ(check(request, line("start", "r1", 1) + line("start", "r1", 2)).doubleRuns, 0U);
}

// Guards against a refusal that claims `not-run` after an execution began.
TEST(LoadTruth, FindsAFalseNotRun)
{
    const request_record last = told("w1", run_state::not_run, request_outcome::refused);
    EXPECT_EQ(check(last, line("start", "w1", 900)).falseNotRun, 1U);
    // The claim was made at 500 and a later send got an answer.
    request_record earlier = told("w1", run_state::ran, request_outcome::whole);
    earlier.lastNotRunAt = duration(500);
    EXPECT_EQ(check(earlier, line("start", "w1", 400) + line("end", "w1", 600, "done")).falseNotRun,
              1U);
    EXPECT_EQ(check(earlier, line("start", "w1", 600) + line("end", "w1", 700, "done")).falseNotRun,
              0U);
}

// Guards against a resent read without an id, whose refusal speaks for one send only.
TEST(LoadTruth, RefusalOfAResentReadIsNotJudged)
{
    request_record request = told("r1", run_state::not_run, request_outcome::refused);
    EXPECT_EQ(check(request, line("start", "r1", 1)).falseNotRun, 1U);
    request.sends = 2;
    EXPECT_EQ(check(request, line("start", "r1", 1)).falseNotRun, 0U);
}

// Guards against a `ran` or a whole answer that no backend server stands behind.
TEST(LoadTruth, FindsAFalseRanAndALostWrite)
{
    const request_record request = told("w1", run_state::ran, request_outcome::whole);
    const truth_report nothing = check(request, "");
    EXPECT_EQ(nothing.falseRan, 1U);
    EXPECT_EQ(nothing.lostWrites, 1U);
    const truth_report cancelled =
            check(request, line("start", "w1", 1) + line("end", "w1", 2, "cancelled"));
    EXPECT_EQ(cancelled.falseRan, 0U);
    EXPECT_EQ(cancelled.lostWrites, 1U);
}

// Guards against a journal line that a crash cut short and that stops the check.
TEST(LoadTruth, CutLinesAreCounted)
{
    std::istringstream stream(line("start", "w1", 1) + "{\"event\":\"sta");
    history_index index;
    EXPECT_EQ(readJournal(stream, index), 1U);
    EXPECT_EQ(index["w1"].starts, 1U);
}
