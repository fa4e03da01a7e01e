#include "process/response_head.h"

#include "process/hop_headers.h"

#include <algorithm>
#include <charconv>

namespace tamarackridge::internal {
namespace {

constexpr int minStatus = 100;
constexpr int minFinalStatus = 200;
constexpr std::string_view blanks = " \t";

std::string_view withoutLineEnd(std::string_view line)
{
    return line.substr(0, line.find_last_not_of("\r\n") + 1);
}

std::string_view withoutBlanks(std::string_view text)
{
    text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
    return text.substr(0, text.find_last_not_of(blanks) + 1);
}

// libcurl reads to the end of the connection when a length is too large, and ignores what follows
// the digits of another one.
bool isLength(std::string_view value)
{
    std::int64_t length = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), length);
    return error == std::errc() && end == value.data() + value.size() && !value.starts_with('-');
}

} // namespace

head_line response_head::add(std::string_view line)
{
    const head_line kind = checkLine(line);
    m_malformed = m_malformed || kind == head_line::malformed;
    return kind;
}

head_line response_head::checkLine(std::string_view line)
{
    const std::string_view content = withoutLineEnd(line);
    if (m_expected == expected_line::trailer)
        return head_line::trailer;
    if (m_expected == expected_line::status)
        return addStatus(content);
    if (!content.empty())
        return addField(content);
    // The final response follows an interim one.
    m_expected = m_status < minFinalStatus ? expected_line::status : expected_line::trailer;
    return head_line::end;
}

head_line response_head::addStatus(std::string_view line)
{
    constexpr std::size_t digits = 3;
    const std::size_t space = line.find(' ');
    if (!line.starts_with("HTTP/") || space == std::string_view::npos)
        return head_line::malformed;
    const std::string_view code = line.substr(space + 1, digits);
    const std::string_view reason = line.substr(space + 1 + code.size());
    int status = 0;
    const auto [end, error] = std::from_chars(code.data(), code.data() + code.size(), status);
    const bool isNumber = error == std::errc() && end == code.data() + digits;
    if (!isNumber || status < minStatus || !(reason.empty() || reason.starts_with(' ')))
        return head_line::malformed;
    m_status = status;
    m_expected = expected_line::field;
    return head_line::status;
}

head_line response_head::addField(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon)))
        return head_line::malformed;
    m_name = line.substr(0, colon);
    m_value = withoutBlanks(line.substr(colon + 1));
    if (equalHeaderNames(m_name, "content-length") && !isLength(m_value))
        return head_line::malformed;
    return head_line::field;
}

void response_head::install(CURL *handle)
{
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &response_head::onHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
}

std::size_t response_head::onHeader(char *data, std::size_t size, std::size_t count, void *self)
{
    const std::size_t length = size * count;
    const bool accepted =
            static_cast<response_head *>(self)->add({data, length}) != head_line::malformed;
    return accepted ? length : 0; // libcurl aborts the transfer when it isn't the length.
}

} // namespace tamarackridge::internal
