#include "load/echo_body.h"

#include <xxhash.h>

#include <array>
#include <charconv>

namespace tamarackridge::load {
namespace {

std::string firstLine(std::string_view loadId, std::string_view requestBody,
                      std::string_view payload)
{
    std::string line = "load_id=";
    line += loadId;
    line += " request=" + digestOf(requestBody);
    line += " payload=" + digestOf(payload) + "\n";
    return line;
}

} // namespace

std::string digestOf(std::string_view text)
{
    std::array<char, 16> hex{};
    const std::uint64_t hash = XXH3_64bits(text.data(), text.size());
    const std::to_chars_result end = std::to_chars(hex.data(), hex.data() + hex.size(), hash, 16);
    return std::to_string(text.size()) + ":" + std::string(hex.data(), end.ptr);
}

std::string makeEcho(std::string_view loadId, std::string_view requestBody,
                     std::size_t payloadBytes)
{
    // The payload depends on the load id, so that a body that belongs to another request is
    // detected.
    std::string payload;
    payload.reserve(payloadBytes);
    const std::string_view unit = loadId.empty() ? std::string_view("-") : loadId;
    while (payload.size() < payloadBytes)
        payload += unit.substr(0, payloadBytes - payload.size());
    return firstLine(loadId, requestBody, payload) + payload;
}

bool isEchoOf(std::string_view response, std::string_view loadId, std::string_view requestBody)
{
    const std::size_t lineEnd = response.find('\n');
    if (lineEnd == std::string_view::npos)
        return false;
    const std::string_view payload = response.substr(lineEnd + 1);
    return response.substr(0, lineEnd + 1) == firstLine(loadId, requestBody, payload);
}

} // namespace tamarackridge::load
