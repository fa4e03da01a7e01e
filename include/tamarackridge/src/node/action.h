#pragma once

#include "tamarackridge/src/base/http_message.h"
#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/membership/member.h"
#include "tamarackridge/src/node/peer_message.h"
#include "tamarackridge/src/quarantine/crash_record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tamarackridge {

/// \brief Identifies a caller's HTTP exchange; assigned by the program that embeds node_core.
using call_id = std::uint64_t;
/// \brief Identifies one execution on the local backend server; assigned by node_core.
using run_id = std::uint64_t;
/// \brief Identifies an append to the platform log; assigned by node_core.
using append_id = std::uint64_t;

/// \brief Sends the response of a caller's HTTP exchange and completes the exchange.
struct respond_to_caller
{
    call_id call = 0;
    http_response response;
};

/// \brief Sends a request to the local backend server, once and without automatic resends.
struct run_backend
{
    run_id run = 0;
    http_request request; ///< Includes the handle, deadline, customer and trace headers.
    duration timeout{};
    bool idempotent = false; ///< Whether it may be sent again after a connection error.
};

/// \brief Cancels a running request by closing its connection to the backend server.
struct cancel_run
{
    run_id run = 0;
};

/// \brief Sends a message to a peer node.
struct send_peer
{
    std::string node; ///< Name of the receiving node.
    incarnation_id receiver = 0; ///< 0 while the receiver's incarnation is not known.
    peer_message message;
    /// The receiver has no use for the message afterwards; if not set, it depends on the kind of
    /// message.
    std::optional<time_point> expiresAt = std::nullopt;
};

/// \brief Opens a link to a peer node, or moves an open link to another endpoint.
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

/// \brief Starts reading a stream at an offset, or continues at another offset.
///
/// The embedding program polls the stream until stop_reading.
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

/// \brief Writes to durable storage that a backend server leaves, so that every later process of
/// the node learns of it before it uses the server.
struct record_departure
{
    server_departure departure;
};

/// \brief Writes to durable storage that a request crashed backend servers, or that it was cleared,
/// for the case that all processes that know of it end.
struct record_crash
{
    crash_record record;
    /// Only in place of a record that this node has written or is going to write: a later write of
    /// that one would hide what another node has recorded meanwhile.
    bool updateOnly = false;
};

/// \brief Sends a health check to the local backend server.
struct check_server
{
    std::string instance;
    std::string path;
};

/// \brief One span of a trace, or one recorded request.
struct emit_span
{
    trace_context trace; ///< Trace id, and the id of this span.
    std::array<std::uint8_t, 8> parentSpan{};
    std::string name; ///< `entry`, `execute`, `backend`.
    time_point start;
    time_point end;
    std::string route;
    std::string outcome; ///< HTTP status or error kind.
};

/// \brief One effect that the embedding program carries out.
using action = std::variant<respond_to_caller, run_backend, cancel_run, send_peer, connect_peer,
                            disconnect_peer, append_log, read_log, stop_reading, record_departure,
                            record_crash, check_server, emit_span>;

/// \brief Actions in the order in which they must be carried out.
///
/// The embedding program can clear and reuse one list for all events.
using action_list = std::vector<action>;

} // namespace tamarackridge
