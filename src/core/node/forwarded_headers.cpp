#include "core/node/forwarded_headers.h"

#include <algorithm>
#include <array>

namespace tamarackridge::internal {
namespace {

constexpr std::array<std::string_view, 3> strippedHeaders{"authorization", "traceparent", "host"};
constexpr std::string_view reservedPrefix = "tamarackridge-";

template <typename Names>
bool contains(const Names &names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [name](std::string_view candidate) {
        return equalHeaderNames(candidate, name);
    });
}

bool isReservedHeader(std::string_view name)
{
    return name.size() >= reservedPrefix.size()
           && equalHeaderNames(name.substr(0, reservedPrefix.size()), reservedPrefix);
}

} // namespace

std::vector<http_header> forwardedRequestHeaders(const std::vector<http_header> &received)
{
    std::vector<http_header> result;
    for (const http_header &candidate : received) {
        const std::string_view name = candidate.name;
        if (!contains(strippedHeaders, name) && !isReservedHeader(name))
            result.push_back(candidate);
    }
    return result;
}

std::vector<http_header> forwardedResponseHeaders(const std::vector<http_header> &received)
{
    std::vector<http_header> result;
    for (const http_header &candidate : received) {
        if (!isReservedHeader(candidate.name))
            result.push_back(candidate);
    }
    return result;
}

} // namespace tamarackridge::internal
