#include "core/node/forwarded_headers.h"

#include <algorithm>
#include <array>

namespace tamarackridge::internal {
namespace {

constexpr std::array<std::string_view, 3> callerOnly{"authorization", "traceparent", "host"};
constexpr std::string_view ownPrefix = "tamarackridge-";

template <typename Names>
bool contains(const Names &names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [name](std::string_view candidate) {
        return equalHeaderNames(candidate, name);
    });
}

bool isOwnHeader(std::string_view name)
{
    return name.size() >= ownPrefix.size()
           && equalHeaderNames(name.substr(0, ownPrefix.size()), ownPrefix);
}

} // namespace

std::vector<http_header> requestHeaders(const std::vector<http_header> &received)
{
    std::vector<http_header> result;
    for (const http_header &candidate : received) {
        const std::string_view name = candidate.name;
        if (!contains(callerOnly, name) && !isOwnHeader(name))
            result.push_back(candidate);
    }
    return result;
}

std::vector<http_header> responseHeaders(const std::vector<http_header> &received)
{
    std::vector<http_header> result;
    for (const http_header &candidate : received) {
        if (!isOwnHeader(candidate.name))
            result.push_back(candidate);
    }
    return result;
}

} // namespace tamarackridge::internal
