#pragma once

#include "tamarackridge/src/base/http_message.h"

#include <tl/expected.hpp>

#include <string>

namespace tamarackridge {

/// \brief Interface for sending HTTP requests; replaced by a fake in tests.
class http_transport
{
public:
    http_transport() = default;
    http_transport(const http_transport &) = delete;
    http_transport &operator=(const http_transport &) = delete;
    virtual ~http_transport() = default;

    /// \returns the response, or the reason why there is none.
    virtual tl::expected<http_response, std::string>
    send(const std::string &method, const std::string &url, const std::string &body) = 0;
};

} // namespace tamarackridge
