#pragma once

#include "process/monotonic_time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackridge {

using tcp = boost::asio::ip::tcp;

/// \brief Address and port of a socket.
struct socket_address
{
    std::string host; ///< IPv4 address.
    std::uint16_t port = 0;

    std::string text() const { return host + ':' + std::to_string(port); }
    tcp::endpoint endpoint() const { return {boost::asio::ip::make_address(host), port}; }
};

/// \brief Parses the format of socket_address::text().
/// \returns nothing unless \a text is an IPv4 address and a port other than 0.
std::optional<socket_address> parseSocketAddress(std::string_view text);

/// \brief Sets TCP options so that a connection whose other side stops responding fails within
/// about three seconds; also disables Nagle's algorithm.
void setKeepAlive(tcp::socket &socket);

} // namespace tamarackridge
