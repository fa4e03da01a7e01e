#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/base/http_message.h"

#include <tl/expected.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace tamarackridge {

/// \brief Address of an HTTP server.
struct http_target
{
    std::string host; ///< Numeric address; empty means that no server is known.
    std::uint16_t port = 0;

    friend bool operator==(const http_target &, const http_target &) = default;
};

/// \brief Result of an HTTP exchange.
struct http_outcome
{
    bool bytesSent = false; ///< Bytes of the request may have reached the server.
    bool connectionBroken = false; ///< Refused, or broken before the response was complete.
    bool connectionRefused = false; ///< The server's port refused a new connection.
    http_target target; ///< Server that the request was addressed to.
    tl::expected<http_response, error_kind> response = tl::unexpected(error_kind::backend_failed);
};

/// \brief Limits of an http_client.
struct http_client_options
{
    std::size_t maxResponseBytes = std::size_t{8} << 20U;
    std::size_t maxHeaderBytes = std::size_t{64} << 10U;
    std::size_t maxIdleConnections = 256;
    std::chrono::milliseconds connectTimeout{1000};
    /// Connections that were idle for longer are not reused: the server may be closing them.
    std::chrono::seconds idleConnectionTimeout{15};
};

/// \brief Sends requests over persistent connections, on the thread that calls runOnce().
///
/// Every request is transmitted at most once. If a reused connection turns out to be dead after a
/// request was written to it, the exchange ends with `bytesSent` set; the request is not resent.
/// Responses that are truncated, too large, or delimited neither by a length nor by chunks are
/// rejected as `backend_answer_incomplete`.
class http_client
{
public:
    using completion = std::function<void(std::uint64_t id, http_outcome outcome)>;

    /// \param onCompletion called once for each request, on the thread that calls
    /// runOnce().
    http_client(http_client_options options, completion onCompletion);
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;
    ~http_client();

    /// \brief Queues a request. May be called on any thread and never blocks on the network.
    /// \param id chosen by the caller, unique among the requests in flight.
    void submit(std::uint64_t id, const http_target &target, http_request request,
                std::chrono::nanoseconds timeout);
    /// \brief Cancels a request and closes its connection; its completion reports `cancelled`.
    void cancel(std::uint64_t id);

    /// \brief Waits for up to \a maxWait for events, then processes commands, timers and finished
    /// transfers.
    void runOnce(std::chrono::milliseconds maxWait);
    /// \brief Ends the current or next wait of runOnce(). May be called on any thread.
    void wake() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarackridge
