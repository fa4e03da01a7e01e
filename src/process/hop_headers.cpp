#include "process/hop_headers.h"

#include <algorithm>
#include <array>
#include <string>

namespace tamarackridge {
namespace {

constexpr std::array<std::string_view, 10> hopHeaders = {
        "connection", "keep-alive", "proxy-connection",  "proxy-authenticate", "te",
        "trailer",    "upgrade",    "transfer-encoding", "content-length",     "expect"};

constexpr char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::vector<std::string> connectionOptions(const std::vector<http_header> &headers)
{
    std::vector<std::string> names;
    for (const http_header &header : headers) {
        if (!equalHeaderNames(header.name, "connection"))
            continue;
        std::string_view rest = header.value;
        while (!rest.empty()) {
            const std::size_t comma = std::min(rest.find(','), rest.size());
            names.emplace_back(trimmed(rest.substr(0, comma)));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return names;
}

bool isTokenCharacter(char c)
{
    constexpr std::string_view tokenSymbols = "!#$%&'*+-.^_`|~";
    return (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z')
           || tokenSymbols.find(c) != std::string_view::npos;
}

} // namespace

bool isHopHeader(std::string_view name)
{
    return std::any_of(hopHeaders.begin(), hopHeaders.end(),
                       [&](std::string_view hop) { return equalHeaderNames(name, hop); });
}

void removeHopHeaders(std::vector<http_header> &headers)
{
    const std::vector<std::string> listed = connectionOptions(headers);
    std::erase_if(headers, [&](const http_header &header) {
        return isHopHeader(header.name)
               || std::any_of(listed.begin(), listed.end(), [&](const std::string &name) {
                      return equalHeaderNames(header.name, name);
                  });
    });
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isFieldValue(std::string_view value)
{
    return std::all_of(value.begin(), value.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return (byte >= 0x20 && byte != 0x7f) || c == '\t';
    });
}

bool isWellFormed(const http_request &request)
{
    const bool targetValid =
            !request.target.empty() && request.target.front() == '/'
            && std::all_of(request.target.begin(), request.target.end(), [](char c) {
                   const auto byte = static_cast<unsigned char>(c);
                   return byte > 0x20 && byte != 0x7f;
               });
    return targetValid && isToken(request.method)
           && std::all_of(request.headers.begin(), request.headers.end(),
                          [](const http_header &header) {
                              return isToken(header.name) && isFieldValue(header.value);
                          });
}

} // namespace tamarackridge
