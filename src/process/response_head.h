#pragma once

#include <curl/curl.h>

#include <cstdint>
#include <string_view>

namespace tamarackridge::internal {

/// \brief What a line of a response's head is.
enum class head_line : std::uint8_t {
    malformed,
    status, ///< Begins the head of an interim response or of the final one.
    field,
    end,
    trailer, ///< Comes after the body.
};

/// \brief Checks the head of a response line by line, in the order in which libcurl delivers them.
///
/// libcurl takes any line for a header field, and the end of the connection for the end of the
/// head.
///
/// \code
/// response_head head;
/// head.add("HTTP/1.1 200 OK\r\n"); // head_line::status
/// head.add("Content-Length : 4\r\n"); // head_line::malformed
/// \endcode
class response_head
{
public:
    /// \brief Adds a line with its line end.
    head_line add(std::string_view line);
    /// \brief Adds the lines of the transfer of \a handle, which fails at a malformed line. This
    /// object must outlive the transfer.
    void install(CURL *handle);

    int status() const { return m_status; }
    /// \returns whether a line was malformed.
    bool malformed() const { return m_malformed; }
    /// \returns whether the head of the final response has ended.
    bool complete() const { return m_expected == expected_line::trailer; }
    /// \returns the name of the field that was added last; valid as long as its line.
    std::string_view name() const { return m_name; }
    std::string_view value() const { return m_value; }

private:
    enum class expected_line : std::uint8_t { status, field, trailer };

    head_line checkLine(std::string_view line);
    head_line addStatus(std::string_view line);
    head_line addField(std::string_view line);
    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *self);

    expected_line m_expected = expected_line::status;
    int m_status = 0;
    bool m_malformed = false;
    std::string_view m_name;
    std::string_view m_value;
};

} // namespace tamarackridge::internal
