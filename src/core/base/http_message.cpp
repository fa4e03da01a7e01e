#include "tamarackridge/src/base/http_message.h"

#include <algorithm>

namespace tamarackridge {
namespace {

char lowerAscii(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                : character;
}

} // namespace

bool equalHeaderNames(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return lowerAscii(a) == lowerAscii(b); });
}

std::string_view headerValue(const std::vector<http_header> &headers, std::string_view name)
{
    for (const http_header &header : headers) {
        if (equalHeaderNames(header.name, name))
            return header.value;
    }
    return {};
}

std::string_view bodyView(const shared_body &body)
{
    return body ? std::string_view(*body) : std::string_view();
}

} // namespace tamarackridge
