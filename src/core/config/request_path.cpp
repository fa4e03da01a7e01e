#include "tamarackridge/src/config/request_path.h"

#include <algorithm>

namespace tamarackridge {
namespace {

bool isUnreserved(unsigned char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
           || c == '.' || c == '_' || c == '~';
}

/// Whether \a c is printable ASCII other than a character that some servers treat as a separator.
bool isPlain(unsigned char c)
{
    return c > 0x20 && c < 0x7f && c != '\\' && c != ';' && c != '#' && c != '%';
}

int hexValue(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    const char lower = static_cast<char>(digit | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/// \brief Checks that the `%xx` at \a position encodes a byte that cannot change the meaning of the
/// path.
bool isHarmlessEscape(std::string_view path, std::size_t position)
{
    if (position + 2 >= path.size())
        return false;
    const int high = hexValue(path[position + 1]);
    const int low = hexValue(path[position + 2]);
    if (high < 0 || low < 0)
        return false;
    const int byte = high * 16 + low;
    return byte >= 0x20 && byte != 0x7f && byte != '/' && byte != '\\' && byte != ';' && byte != '%'
           && !isUnreserved(static_cast<unsigned char>(byte));
}

bool hasOnlyHarmlessBytes(std::string_view path)
{
    for (std::size_t index = 0; index < path.size(); ++index) {
        if (path[index] == '%') {
            if (!isHarmlessEscape(path, index))
                return false;
        } else if (!isPlain(static_cast<unsigned char>(path[index]))) {
            return false;
        }
    }
    return true;
}

/// \returns whether no segment is empty, `.` or `..`; a trailing slash is allowed.
bool hasOnlyPlainSegments(std::string_view path)
{
    std::size_t start = 1;
    while (start < path.size()) {
        const std::size_t end = std::min(path.find('/', start), path.size());
        const std::string_view segment = path.substr(start, end - start);
        if (segment.empty() || segment == "." || segment == "..")
            return false;
        start = end + 1;
    }
    return true;
}

} // namespace

tl::expected<std::string_view, error_kind> requestPath(std::string_view target)
{
    const std::string_view path = target.substr(0, target.find('?'));
    if (!path.starts_with('/') || !hasOnlyHarmlessBytes(path) || !hasOnlyPlainSegments(path))
        return tl::unexpected(error_kind::bad_request);
    return path;
}

bool isPathPrefix(std::string_view prefix)
{
    if (prefix == "/")
        return true;
    return prefix.starts_with('/') && !prefix.ends_with('/') && hasOnlyPlainSegments(prefix)
           && std::all_of(prefix.begin(), prefix.end(), [](char c) {
                  return c == '/' || isUnreserved(static_cast<unsigned char>(c));
              });
}

} // namespace tamarackridge
