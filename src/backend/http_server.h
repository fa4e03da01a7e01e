#pragma once

#include "backend/request_handler.h"

#include <cstdint>
#include <memory>

namespace tamarackridge::backend {

/// \brief Accepts HTTP/1.1 connections on loopback and passes requests to a request_handler.
class http_server
{
public:
    /// \param port port to listen on; 0 selects a free one.
    /// \param maxConnections maximum number of open connections; further ones are closed on accept.
    /// \throws std::runtime_error if the server cannot listen on the port.
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
