#include "scenario/script.h"
#include "scenario/trace_replay.h"

#include <gtest/gtest.h>

#include <sstream>

using namespace tamarackridge;
using namespace tamarackridge::scenario;
using namespace std::chrono_literals;

// Guards against an invalid line being skipped, so that the scenario passes without checking
// anything.
TEST(ScenarioScript, ErrorsNameTheLine)
{
    for (const char *text : {"zones a\nat soon kill a-tariffs\n", "zones a\nat 5s\n",
                             "zones a\nkill a-tariffs\n", "zones a\nat 5s run 3s\n"}) {
        std::istringstream in(text);
        const tl::expected<std::vector<script_line>, script_error> script = parseScript(in);
        ASSERT_FALSE(script) << text;
        EXPECT_EQ(script.error().line, 2U) << text;
    }
    EXPECT_EQ(parseDuration("1500ms"), 1500ms);
    EXPECT_EQ(parseDuration("2"), std::nullopt);
    EXPECT_EQ(parseDuration("-2s"), std::nullopt);
}

// Guards against replaying a trace in the order of its responses instead of its arrivals, and
// against replaying requests that were for the recording node itself.
TEST(ScenarioScript, TracesAreReplayedInOrderOfArrival)
{
    std::istringstream in(
            R"({"time":"2026-12-04T23:59:59.900Z","method":"GET","path":"/b","body_bytes":0,"duration_us":100000})"
            "\n"
            R"({"time":"2026-12-05T00:00:00.000Z","method":"POST","path":"/a","body_bytes":7,"duration_us":700000})"
            "\n"
            R"({"time":"2026-12-05T00:00:00.000Z","method":"GET","path":"/.tamarackridge/status","body_bytes":0,"duration_us":1})"
            "\n");
    const std::vector<recorded_request> trace = readTrace(in).value();
    ASSERT_EQ(trace.size(), 2U);
    EXPECT_EQ(trace[0].path, "/a");
    EXPECT_EQ(trace[0].bodyBytes, 7U);
    EXPECT_EQ(trace[0].arrival, duration::zero());
    EXPECT_EQ(trace[1].arrival, 500ms);
    std::istringstream damaged("{\"time\":\"yesterday\"}\n");
    EXPECT_EQ(readTrace(damaged).error().line, 1U);
}
