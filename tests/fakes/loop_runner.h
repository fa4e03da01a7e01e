#pragma once

#include "sidecar/event_loop.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>

namespace tamarackridge::fakes {

/// \returns a port of the loopback address that was free a moment ago.
inline std::uint16_t freePort()
{
    boost::asio::io_context loop;
    tcp::acceptor probe(loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    return probe.local_endpoint().port();
}

inline socket_address freeAddress()
{
    return {"127.0.0.1", freePort()};
}

/// \brief Runs the loop until \a done, for ten seconds at most.
/// \param step is called every few milliseconds, for sweeps.
inline bool runUntil(
        boost::asio::io_context &loop, const std::function<bool()> &done,
        const std::function<void()> &step = [] {})
{
    const std::chrono::steady_clock::time_point end =
            std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!done()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        loop.restart();
        loop.run_for(std::chrono::milliseconds(5));
        step();
    }
    return true;
}

} // namespace tamarackridge::fakes
