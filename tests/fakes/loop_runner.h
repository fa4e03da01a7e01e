#pragma once

#include "sidecar/event_loop.h"

#include <boost/asio/io_context.hpp>

#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace tamarackridge::fakes {

/// \returns a loopback address and port that no other call and no other process gets. A probed port
/// could be taken by another process before it is used.
inline socket_address freeAddress()
{
    constexpr int blocks = 250;
    constexpr std::uint16_t firstPort = 22000; // Below the ports that the kernel assigns.
    static std::uint16_t count = 0;
    const int process = getpid();
    return {"127." + std::to_string(1 + process / blocks % blocks) + '.'
                    + std::to_string(1 + process % blocks) + ".1",
            static_cast<std::uint16_t>(firstPort + count++)};
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
