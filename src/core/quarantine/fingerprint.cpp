#include "tamarackridge/src/quarantine/fingerprint.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <xxhash.h>

namespace tamarackridge {
namespace {

// Chains the hashes of the parts, so that moving a byte from one part to the next changes the
// fingerprint.
fingerprint appendPart(const fingerprint &before, std::string_view part)
{
    const XXH128_hash_t hash = XXH3_128bits_withSeed(part.data(), part.size(), before.low);
    return {hash.high64 ^ (before.high * 0x9E3779B97F4A7C15ULL), hash.low64};
}

} // namespace

request_identity identityOf(const fingerprint_parts &parts)
{
    const std::size_t queryBegin = std::min(parts.path.find('?'), parts.path.size());
    fingerprint request;
    for (std::string_view part :
         {parts.method, parts.path.substr(0, queryBegin), parts.customer, parts.body})
        request = appendPart(request, part);
    if (queryBegin == parts.path.size())
        return {request, request};
    return {request, appendPart(request, parts.path.substr(queryBegin))};
}

std::string toString(const fingerprint &value)
{
    std::string text(33, '\0');
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(value.high),
                  static_cast<unsigned long long>(value.low));
    text.resize(32);
    return text;
}

std::optional<fingerprint> parseFingerprint(std::string_view text)
{
    if (text.size() != 32)
        return std::nullopt;
    fingerprint value;
    const char *middle = text.data() + 16;
    const char *end = middle + 16;
    const std::from_chars_result high = std::from_chars(text.data(), middle, value.high, 16);
    const std::from_chars_result low = std::from_chars(middle, end, value.low, 16);
    if (high.ec != std::errc() || high.ptr != middle || low.ec != std::errc() || low.ptr != end)
        return std::nullopt;
    return value;
}

} // namespace tamarackridge
