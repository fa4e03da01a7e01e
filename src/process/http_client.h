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

/// \brief How an HTTP exchange ended.
struct http_outcome
{
    bool bytesSent = false; ///< Any byte of the request may have reached the server.
    bool connectionBroken = false; ///< Refused, or broken before a whole answer.
    bool connectRefused = false; ///< The server's port refused a new connection.
    http_target target; ///< Server that the request was meant for.
    tl::expected<http_response, error_kind> response = tl::unexpected(error_kind::backend_failed);
};

/// \brief Limits of an http_client.
struct http_client_options
{
    std::size_t maxResponseBytes = std::size_t{8} << 20U;
    std::size_t maxHeaderBytes = std::size_t{64} << 10U;
    std::size_t keptConnections = 256;
    std::chrono::milliseconds connectTimeout{1000};
    /// Kept connections idle for longer are not used again: the server may be closing them.
    std::chrono::seconds keptConnectionIdle{15};
};

/// \brief Sends requests over kept connections, all on the one thread that calls run().
///
/// Every request is transmitted at most once. A kept connection that turns out to be dead after
/// the request was handed to it ends the exchange with `bytesSent`, instead of a silent resend.
/// Answers that are truncated, not delimited by length or chunks, or too large are refused as
/// `backend_answer_incomplete`.
class http_client
{
public:
    using completion = std::function<void(std::uint64_t id, http_outcome outcome)>;

    /// \param done is called once for each request, on the thread of run().
    http_client(http_client_options options, completion done);
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;
    ~http_client();

    /// \brief Queues a request; may be called on any thread and never blocks on the network.
    /// \param id chosen by the caller, unique among the requests under way.
    void submit(std::uint64_t id, const http_target &target, http_request request,
                std::chrono::nanoseconds timeout);
    /// \brief Closes the connection of a request; its completion reports `cancelled`.
    void cancel(std::uint64_t id);

    /// \brief Waits for up to \a wait and carries out what is due.
    void runOnce(std::chrono::milliseconds wait);
    /// \brief Ends the present or next wait of runOnce(); may be called on any thread.
    void wake() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarackridge
