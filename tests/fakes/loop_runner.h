#pragma once

#include "sidecar/event_loop.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>

namespace tamarackridge::fakes {

/// \returns a port that was free on the loopback address at the time of the call.
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

/// \brief Runs the loop until \a done returns true, or for ten seconds.
/// \param step is called every few milliseconds, e.g. to call sweep().
/// \returns whether \a done returned true in time.
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
