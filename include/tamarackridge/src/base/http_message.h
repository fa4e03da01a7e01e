#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge {

/// \brief An HTTP header field.
struct http_header
{
    std::string name;
    std::string value;

    friend bool operator==(const http_header &, const http_header &) = default;
};

/// \brief Immutable body, which the attempts of one request share instead of copying it.
using shared_body = std::shared_ptr<const std::string>;

/// \brief An HTTP request without connection details.
struct http_request
{
    std::string method;
    std::string target; ///< Path and query, for example `/invoices?month=11`.
    std::vector<http_header> headers;
    shared_body body;
};

/// \brief A complete HTTP response.
struct http_response
{
    int status = 0;
    std::vector<http_header> headers;
    shared_body body;
};

/// \returns whether two header names are equal (case-insensitive).
bool equalHeaderNames(std::string_view left, std::string_view right);

/// \returns the value of the first header called \a name (case-insensitive), or an empty view.
std::string_view headerValue(const std::vector<http_header> &headers, std::string_view name);

/// \returns the bytes of the body; an empty view if there is no body.
std::string_view bodyView(const shared_body &body);

} // namespace tamarackridge
