#include "core/node/forwarded_headers.h"

#include <algorithm>
#include <array>

namespace tamarackridge::internal {
namespace {

constexpr std::array<std::string_view, 11> hopByHop{
        "connection",          "keep-alive", "proxy-authenticate",
        "proxy-authorization", "te",         "trailer",
        "transfer-encoding",   "upgrade",    "host",
        "content-length",      "expect"};
constexpr std::array<std::string_view, 2> callerOnly{"authorization", "traceparent"};
constexpr std::string_view ownPrefix = "tamarackridge-";

std::string lower(std::string_view text)
{
    std::string result(text);
    for (char &character : result) {
        if (character >= 'A' && character <= 'Z')
            character = static_cast<char>(character - 'A' + 'a');
    }
    return result;
}

template <typename Names>
bool contains(const Names &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

std::vector<http_header> requestHeaders(const std::vector<http_header> &received)
{
    std::vector<http_header> result;
    for (const http_header &candidate : received) {
        const std::string name = lower(candidate.name);
        if (!contains(hopByHop, name) && !contains(callerOnly, name)
            && !name.starts_with(ownPrefix))
            result.push_back(candidate);
    }
    return result;
}

std::vector<http_header> answerHeaders(const std::vector<http_header> &received)
{
    std::vector<http_header> result;
    for (const http_header &candidate : received) {
        const std::string name = lower(candidate.name);
        if (!contains(hopByHop, name) && !name.starts_with(ownPrefix))
            result.push_back(candidate);
    }
    return result;
}

} // namespace tamarackridge::internal
