#pragma once

#include "backend/request_handler.h"

#include <cstdint>
#include <memory>

namespace tamarackridge::backend {

/// \brief Accepts HTTP/1.1 connections on loopback and passes requests to a request_handler.
class http_server
{
public:
    /// \param port port to listen on; 0 chooses a free one.
    /// \param maxConnections connections above this number are closed when they are accepted.
    /// \throws std::runtime_error when the port cannot be opened.
    http_server(std::uint16_t port, unsigned maxConnections, request_handler &handler);
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;
    /// \brief Closes all connections.
    ~http_server();

    /// \returns the port that the server listens on.
    std::uint16_t port() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarackridge::backend
