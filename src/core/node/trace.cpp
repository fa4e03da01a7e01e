#include "core/node/trace.h"

#include <algorithm>
#include <span>

namespace tamarackridge::internal {
namespace {

constexpr std::string_view digits = "0123456789abcdef";
constexpr std::size_t headerLength = 55;

bool parseHexBytes(std::string_view text, std::span<std::uint8_t> out)
{
    for (std::size_t index = 0; index < out.size(); ++index) {
        const std::size_t high = digits.find(text[2 * index]);
        const std::size_t low = digits.find(text[2 * index + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos)
            return false;
        out[index] = static_cast<std::uint8_t>(high << 4U | low);
    }
    return true;
}

void appendHex(std::span<const std::uint8_t> bytes, std::string &out)
{
    for (std::uint8_t byte : bytes) {
        out.push_back(digits[byte >> 4U]);
        out.push_back(digits[byte & 0xfU]);
    }
}

bool isZero(std::span<const std::uint8_t> bytes)
{
    return std::all_of(bytes.begin(), bytes.end(), [](std::uint8_t byte) { return byte == 0; });
}

void fillRandom(std::span<std::uint8_t> out, random_source &random)
{
    for (std::size_t index = 0; index < out.size(); index += 8) {
        std::uint64_t bits = random.next() | 1U;
        for (std::size_t byte = index; byte < std::min(index + 8, out.size()); ++byte) {
            out[byte] = static_cast<std::uint8_t>(bits & 0xffU);
            bits >>= 8U;
        }
    }
}

trace_context newTrace(random_source &random)
{
    trace_context trace;
    fillRandom(trace.traceId, random);
    trace.sampled = true;
    return trace;
}

} // namespace

trace_context parseTraceparent(std::string_view header, random_source &random)
{
    trace_context trace;
    const bool wellFormed = header.size() >= headerLength && header.substr(0, 3) == "00-"
                            && header[35] == '-' && header[52] == '-'
                            && parseHexBytes(header.substr(3, 32), trace.traceId)
                            && parseHexBytes(header.substr(36, 16), trace.spanId);
    if (!wellFormed || isZero(trace.traceId) || isZero(trace.spanId))
        return newTrace(random);
    trace.sampled = (digits.find(header[54]) & 1U) != 0;
    return trace;
}

std::string formatTraceparent(const trace_context &trace)
{
    std::string header = "00-";
    header.reserve(headerLength);
    appendHex(trace.traceId, header);
    header.push_back('-');
    appendHex(trace.spanId, header);
    header.append(trace.sampled ? "-01" : "-00");
    return header;
}

std::array<std::uint8_t, 8> newSpanId(random_source &random)
{
    std::array<std::uint8_t, 8> id{};
    fillRandom(id, random);
    return id;
}

} // namespace tamarackridge::internal
