#include "node/trace_lines.h"

#include "process/json_line.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace tamarackridge {
namespace {

using nlohmann::json;

template <class Bytes>
std::string hex(const Bytes &bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const std::uint8_t byte : bytes) {
        text += digits[byte >> 4U];
        text += digits[byte & 0x0fU];
    }
    return text;
}

struct parsed_span
{
    std::string id;
    std::string parent;
    std::int64_t startUnixUs = 0;
    std::int64_t durationUs = 0;
    std::string text;
};

bool parseSpan(const std::string &line, const std::string &traceId, parsed_span &out)
{
    const json object = json::parse(line, nullptr, false);
    if (!object.is_object())
        return false;
    try {
        if (object.value("trace", "") != traceId)
            return false;
        out.id = object.value("span", "");
        out.parent = object.value("parent", "");
        out.startUnixUs = object.value("start_unix_us", std::int64_t{0});
        out.durationUs = object.value("duration_us", std::int64_t{0});
        out.text = object.value("name", "") + ' ' + object.value("zone", "") + '/'
                   + object.value("node", "") + " route=" + object.value("route", "")
                   + " outcome=" + object.value("outcome", "");
    } catch (const json::type_error &) {
        return false;
    }
    return true;
}

void printSubtree(const std::vector<parsed_span> &spans, const parsed_span &span, std::size_t depth,
                  std::vector<bool> &printed, std::vector<std::string> &out)
{
    const auto index = static_cast<std::size_t>(&span - spans.data());
    if (printed[index])
        return;
    printed[index] = true;
    out.push_back(std::string(depth * 2, ' ') + span.text + ' ' + std::to_string(span.durationUs)
                  + " us");
    for (const parsed_span &child : spans) {
        if (child.parent == span.id)
            printSubtree(spans, child, depth + 1, printed, out);
    }
}

} // namespace

std::string spanLine(const emit_span &item, const node_ref &node, std::int64_t unixMicroseconds)
{
    const auto durationUs =
            std::chrono::duration_cast<std::chrono::microseconds>(item.end - item.start);
    return json_line()
            .add("trace", hex(item.trace.traceId))
            .add("span", hex(item.trace.spanId))
            .add("parent", hex(item.parentSpan))
            .add("name", item.name)
            .add("zone", node.zone)
            .add("node", node.name)
            .add("start_unix_us", unixMicroseconds)
            .add("duration_us", durationUs.count())
            .add("route", item.route)
            .add("outcome", item.outcome)
            .finish();
}

std::vector<std::string> printTrace(const std::string &traceId, std::span<const std::string> lines)
{
    std::vector<parsed_span> spans;
    for (const std::string &line : lines) {
        parsed_span span;
        if (parseSpan(line, traceId, span))
            spans.push_back(std::move(span));
    }
    std::stable_sort(spans.begin(), spans.end(), [](const parsed_span &a, const parsed_span &b) {
        return a.startUnixUs < b.startUnixUs;
    });
    std::vector<bool> printed(spans.size(), false);
    std::vector<std::string> out;
    for (const parsed_span &span : spans) {
        const bool hasParent = std::any_of(spans.begin(), spans.end(), [&](const parsed_span &s) {
            return s.id == span.parent && s.id != span.id;
        });
        if (!hasParent)
            printSubtree(spans, span, 0, printed, out);
    }
    // Spans whose parents form a cycle have no root; they are printed here.
    for (const parsed_span &span : spans)
        printSubtree(spans, span, 0, printed, out);
    return out;
}

} // namespace tamarackridge
