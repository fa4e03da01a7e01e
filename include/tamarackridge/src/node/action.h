#pragma once

#include "tamarackridge/src/base/http_message.h"
#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/node/peer_message.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace tamarackridge {

/// \brief Number of a caller's HTTP exchange, chosen by the shell.
using call_id = std::uint64_t;
/// \brief Number of one execution on the own backend server, chosen by node_core.
using run_id = std::uint64_t;
/// \brief Number of an append to the platform log, chosen by node_core.
using append_id = std::uint64_t;

/// \brief Completes a caller's HTTP exchange.
struct respond_to_caller
{
    call_id call = 0;
    http_response response;
};

/// \brief Sends a request to the own backend server, once and without automatic resends.
struct run_backend
{
    run_id run = 0;
    http_request request; ///< With handle, deadline, customer and trace headers set.
    duration timeout{};
    bool idempotent = false; ///< Whether it could be run again if its connection failed.
};

/// \brief Closes the connection of a running request.
struct cancel_run
{
    run_id run = 0;
};

/// \brief Sends a message to a peer node.
struct send_peer
{
    std::string node; ///< Name of the receiver.
    incarnation_id receiver = 0; ///< 0 when the receiver's incarnation is not known yet.
    peer_message message;
};

/// \brief Opens a link to a peer node, or moves it to another endpoint.
struct connect_peer
{
    std::string node;
    std::string endpoint; ///< For example `tcp://10.0.0.7:7100`.
};

/// \brief Closes the link to a peer node.
struct disconnect_peer
{
    std::string node;
};

/// \brief Appends a record to a stream of the platform log.
struct append_log
{
    append_id append = 0;
    std::string stream;
    std::string data;
};

/// \brief Starts (or moves) reading a stream from an offset; the shell keeps polling until
/// stop_reading.
struct read_log
{
    std::string stream;
    std::int64_t from = 0;
};

/// \brief Stops reading a stream.
struct stop_reading
{
    std::string stream;
};

/// \brief One span of a trace, or one recorded request.
struct emit_span
{
    trace_context trace; ///< Trace id and own span id.
    std::array<std::uint8_t, 8> parentSpan{};
    std::string name; ///< `entry`, `execute`, `backend`.
    time_point start;
    time_point end;
    std::string route;
    std::string outcome; ///< HTTP status or error kind.
};

/// \brief One effect that the shell carries out.
using action = std::variant<respond_to_caller, run_backend, cancel_run, send_peer, connect_peer,
                            disconnect_peer, append_log, read_log, stop_reading, emit_span>;

/// \brief Actions in the order in which they are to be carried out; the caller reuses the storage.
using action_list = std::vector<action>;

} // namespace tamarackridge
