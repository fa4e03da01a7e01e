#include "node/trace_lines.h"

#include <gtest/gtest.h>

namespace tamarackridge {
namespace {

std::string span(std::uint8_t id, std::uint8_t parent, const std::string &name,
                 std::int64_t startMicroseconds, std::uint8_t trace = 1)
{
    emit_span item;
    item.trace.traceId[15] = trace;
    item.trace.spanId[7] = id;
    item.parentSpan[7] = parent;
    item.name = name;
    item.end = item.start + std::chrono::microseconds(5);
    item.route = "r";
    item.outcome = "200";
    return spanLine(item, {"z", "n", 0}, startMicroseconds);
}

const std::string traceId = "00000000000000000000000000000001";

// Guards against children that are printed before their parent if the clocks of two VMs differ, and
// against printing spans of other traces or damaged lines.
TEST(node_trace_lines, parents_come_before_their_children)
{
    const std::vector<std::string> lines = {span(4, 2, "backend", 40),
                                            span(3, 1, "execute", 30),
                                            span(2, 1, "execute", 20),
                                            span(1, 9, "entry", 50),
                                            span(7, 1, "execute", 10, 2),
                                            "{not json",
                                            "[]",
                                            R"({"trace":1})"};
    const std::vector<std::string> expected = {
            "entry z/n route=r outcome=200 5 us", "  execute z/n route=r outcome=200 5 us",
            "    backend z/n route=r outcome=200 5 us", "  execute z/n route=r outcome=200 5 us"};
    EXPECT_EQ(printTrace(traceId, lines), expected);
}

// Guards against spans that are not printed, or an endless loop, if parents form a cycle.
TEST(node_trace_lines, cycles_are_printed_once)
{
    const std::vector<std::string> lines = {span(1, 2, "a", 1), span(2, 1, "b", 2),
                                            span(3, 3, "c", 3)};
    EXPECT_EQ(printTrace(traceId, lines).size(), 3U);
}

} // namespace
} // namespace tamarackridge
