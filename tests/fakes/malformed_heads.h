#pragma once

#include "fakes/raw_server.h"

#include <cstddef>
#include <ostream>
#include <string>
#include <vector>

namespace tamarackridge::fakes {

/// \brief A response whose head is no HTTP, or announces a body that no client takes.
struct malformed_head
{
    std::string name;
    std::string text;
};

inline std::ostream &operator<<(std::ostream &out, const malformed_head &response)
{
    return out << response.name;
}

/// \brief Responses with the header lines \a more in their head and an invalid status.
inline std::vector<malformed_head> invalidStatuses(const std::string &more, const std::string &body)
{
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const std::string rest = more + length + "\r\n" + body;
    const std::string sound = "HTTP/1.1 200 OK\r\n" + rest;
    return {
            {"000", "HTTP/1.1 000 Trouble\r\n" + rest},
            {"000_without_length", "HTTP/1.1 000 Trouble\r\n" + more + "\r\n" + body},
            {"000_without_reason", "HTTP/1.1 000\r\n" + rest},
            {"000_http_1_0", "HTTP/1.0 000 Trouble\r\n" + rest},
            {"000_connection_close", "HTTP/1.1 000 Trouble\r\nConnection: close\r\n" + rest},
            {"000_after_interim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Trouble\r\n" + rest},
            {"000_before_a_sound_response", "HTTP/1.1 000 Trouble\r\n\r\n" + sound},
            {"000_with_body_before_a_sound_response", "HTTP/1.1 000 Trouble\r\n" + rest + sound},
            {"001", "HTTP/1.1 001 Trouble\r\n" + rest},
            {"099", "HTTP/1.1 099 Trouble\r\n" + rest},
            {"two_digits", "HTTP/1.1 20 OK\r\n" + rest},
            {"four_digits", "HTTP/1.1 2000 OK\r\n" + rest},
            {"no_number", "HTTP/1.1 OK\r\n" + rest},
            {"negative", "HTTP/1.1 -20 OK\r\n" + rest},
    };
}

/// \brief Responses with the header lines \a more in their head and a field line whose name is no
/// token.
inline std::vector<malformed_head> invalidFieldNames(const std::string &more,
                                                     const std::string &body)
{
    const std::string start = "HTTP/1.1 200 OK\r\n";
    const std::string length = "Content-Length: " + std::to_string(body.size());
    const std::string rest = more + length + "\r\n\r\n" + body;
    std::vector<malformed_head> heads{
            {"inner_blank", start + "X Y: 1\r\n" + rest},
            {"blank_before_colon", start + "X : 1\r\n" + rest},
            {"tab_before_colon", start + "X\t: 1\r\n" + rest},
            {"blank_in_length", start + more + "Content Length: 2\r\n\r\n" + body},
            {"blank_after_length", start + more + "Content-Length : 2\r\n\r\n" + body},
            {"blank_before_length", start + " " + length + "\r\n" + more + "\r\n" + body},
            {"blank_after_encoding",
             start + more + "Transfer-Encoding : chunked\r\n\r\n2\r\n" + body},
            {"control_after_length", start + more + "Content-Length\x0b: 2\r\n\r\n" + body},
            {"escape", start + "X\x1bY: 1\r\n" + rest},
            {"carriage_return", start + "X\rY: 1\r\n" + rest},
            {"null", start + std::string("X\0Y: 1\r\n", 8) + rest},
            {"delete", start + "X\x7f: 1\r\n" + rest},
            {"name_is_a_blank", start + more + " : 1\r\n" + length + "\r\n\r\n" + body},
            {"line_of_blanks",
             start + rest.substr(0, rest.size() - body.size() - 2) + "  \r\nX: 1\r\n\r\n" + body},
            {"no_name", start + ": 1\r\n" + rest},
            {"no_colon", start + "XY\r\n" + rest},
            {"status_line_as_field", start + "HTTP/1.1 201 Created: 1\r\n" + rest},
            {"last_field",
             start + rest.substr(0, rest.size() - body.size() - 2) + "X Y: 1\r\n\r\n" + body},
            {"not_found", "HTTP/1.1 404 Not Found\r\nX Y: 1\r\n" + rest},
            {"http_1_0", "HTTP/1.0 200 OK\r\nX Y: 1\r\n" + rest},
            {"connection_close", start + "Connection: close\r\nX Y: 1\r\n" + rest},
            {"in_an_interim_response", "HTTP/1.1 100 Continue\r\nX Y: 1\r\n\r\n" + start + rest},
            {"after_an_interim_response",
             "HTTP/1.1 100 Continue\r\n\r\n" + start + "X Y: 1\r\n" + rest},
    };
    return heads;
}

/// \brief Responses with the header lines \a more in their head that announce more bytes than any
/// client takes, although only \a body follows.
inline std::vector<malformed_head> excessiveLengths(const std::string &more,
                                                    const std::string &body)
{
    const std::string start = "HTTP/1.1 200 OK\r\n" + more;
    const auto length = [](const std::string &digits) {
        return "Content-Length: " + digits + "\r\n";
    };
    const std::string repeatedDigits = "232323232323232323"; // In place of 23.
    const std::string rest = more + length(repeatedDigits) + "\r\n" + body;
    std::vector<malformed_head> responses{
            {"no_body", start + length(repeatedDigits) + "\r\n"},
            {"http_1_0", "HTTP/1.0 200 OK\r\n" + rest},
            {"connection_close", "HTTP/1.1 200 OK\r\nConnection: close\r\n" + rest},
            {"server_error", "HTTP/1.1 500 Internal Server Error\r\n" + rest},
            {"after_an_interim_response",
             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + rest},
            {"repeated_field",
             start + length(repeatedDigits) + length(repeatedDigits) + "\r\n" + body},
            {"before_a_sound_response", start + length(repeatedDigits) + "\r\n" + start
                                                + length(std::to_string(body.size())) + "\r\n"
                                                + body},
    };
    for (const char *digits :
         {"100000000", "2147483647", "2147483648", "4294967296", "232323232323232323",
          "9223372036854775807", "9223372036854775808", "18446744073709551615",
          "18446744073709551616", "2323232323232323232323232323232323232323"})
        responses.push_back(
                {std::string("length_") + digits, start + length(digits) + "\r\n" + body});
    for (const char *digits : {"5f5e100", "7fffffff", "ffffffff", "100000000", "7fffffffffffffff",
                               "ffffffffffffffff", "10000000000000000"})
        responses.push_back(
                {std::string("chunk_") + digits,
                 start + "Transfer-Encoding: chunked\r\n\r\n" + digits + "\r\n" + body});
    return responses;
}

/// \brief Sends \a response to a request whose whole head and body of \a bodySize bytes were read,
/// then closes in an orderly way.
inline raw_server::script respondMalformed(const malformed_head &response, std::size_t bodySize)
{
    return [response, bodySize](raw_connection &connection) {
        connection.readUntil("\r\n\r\n");
        connection.skip(bodySize);
        connection.write(response.text);
        connection.closeSendingSide();
        connection.readAll();
    };
}

} // namespace tamarackridge::fakes
