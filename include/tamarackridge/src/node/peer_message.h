#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/base/http_message.h"
#include "tamarackridge/src/base/identity.h"
#include "tamarackridge/src/base/run_state.h"
#include "tamarackridge/src/base/time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tamarackridge {

/// \brief W3C trace context of one hop.
struct trace_context
{
    std::array<std::uint8_t, 16> traceId{};
    std::array<std::uint8_t, 8> spanId{}; ///< Span of the sender, parent of the receiver's span.
    bool sampled = false;
};

/// \brief Context that a request carries along its call chain; set by nodes, never by callers.
struct request_context
{
    std::string route;
    std::string service;
    std::string customer; ///< Empty on open routes.
    std::uint8_t priorityRank = 0; ///< A higher rank is more important.
    bool idempotent = true;
    duration deadlineLeft{};
    duration chainAge{}; ///< Time since the first request of the call chain arrived.
    std::uint32_t attempts = 1; ///< Backend runs that this request may still cause on all hops.
    std::uint32_t depth = 0; ///< Number of onward calls before this one; 0 for a caller's request.
    trace_context trace;
};

/// \brief Load of a node's local backend server, sent with dispatch responses and heartbeats.
struct executor_load
{
    std::uint8_t shedThreshold = 0; ///< Minimum priority rank that is admitted.
    std::uint32_t limit = 0; ///< Current value of the adaptive concurrency limit.
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
};

/// \brief Asks an executor to run a request on its backend server.
struct dispatch
{
    dispatch_id id;
    request_context context;
    http_request request;
};

/// \brief Outcome of a dispatch.
struct dispatch_response
{
    dispatch_id id;
    run_state state = run_state::unknown;
    std::optional<error_kind> error; ///< Set if \a response is not from a backend server.
    http_response response;
    std::uint32_t attemptsUnused = 0;
    std::optional<executor_load> load; ///< Not set if the executor did not respond.
};

/// \brief Cancels a dispatch whose response the owner no longer needs.
struct dispatch_cancel
{
    dispatch_id id;
};

/// \brief A call with a request id, forwarded to the node that owns the id.
struct owner_call
{
    std::uint64_t call = 0; ///< Assigned by the sender, echoed in the response.
    std::string requestId;
    std::string customer; ///< Customer whose API key the sender has verified.
    duration deadlineLeft{};
    trace_context trace;
    http_request request;
};

/// \brief Response to an owner_call.
struct owner_response
{
    std::uint64_t call = 0;
    run_state state = run_state::unknown;
    std::optional<error_kind> error;
    http_response response;
};

/// \brief State of one used request id.
enum class ledger_state : std::uint8_t { running, answered, refused, unknown };

/// \brief Ledger record of one used request id, handed over on a planned stop.
struct ledger_entry
{
    std::uint64_t sequence = 0;
    ledger_state state = ledger_state::unknown;
    /// Distinguishes a resend from a different request with the same id.
    std::uint64_t requestDigest = 0;
    std::string customer;
    duration age{}; ///< Time since the id was issued.
    http_response response; ///< Set in the state answered.
};

/// \brief Ledger of a leaving node, sent after the node has stopped deciding on its request ids.
struct ledger_handover
{
    incarnation_id incarnation = 0;
    std::array<std::uint8_t, 16> secret{};
    duration clockAge{}; ///< Time since the ledger was created; ids are dated relative to that.
    std::vector<ledger_entry> entries;
};

/// \brief Tokens in millionths of a request.
using micro_tokens = std::int64_t;

/// \brief An amount of tokens of one customer.
struct token_amount
{
    std::string customer;
    micro_tokens amount = 0;
};

/// \brief Requests tokens from the holder of a quota slot.
struct token_request
{
    std::uint64_t sequence = 0;
    std::vector<token_amount> wanted;
};

/// \brief Grants tokens; the holder has already debited them.
struct token_grant
{
    std::uint64_t sequence = 0; ///< Sequence number of the token_request.
    std::uint64_t grant = 0; ///< Number of this grant, assigned by the holder.
    duration lease{}; ///< Starts when the receiver sent its request.
    std::vector<token_amount> granted; ///< Empty if nothing is granted.
};

/// \brief Reports how many tokens of a grant were spent and how many are returned.
///
/// The holder may issue unspent tokens again.
struct token_report
{
    std::uint64_t grant = 0;
    std::vector<token_amount> spent;
    std::vector<token_amount> returned;
};

/// \brief Kinds of entries that the overlay disseminates.
enum class entry_kind : std::uint8_t { member, suspicion, quarantine };

/// \brief Version of an entry; a higher version replaces a lower one.
struct entry_version
{
    incarnation_id incarnation = 0; ///< Incarnation of the node that published the entry.
    std::uint64_t counter = 0;

    friend bool operator==(const entry_version &, const entry_version &) = default;
};

/// \brief One versioned entry of the overlay.
struct overlay_entry
{
    entry_kind kind = entry_kind::member;
    std::string key;
    entry_version version;
    std::string payload; ///< Encoded by the module that defines the kind.
};

/// \brief Key and version of an entry, without its payload.
struct entry_stamp
{
    entry_kind kind = entry_kind::member;
    std::string key;
    entry_version version;
};

/// \brief Time since the last contact with a zone, as known to the sender.
struct zone_contact
{
    std::string zone;
    duration timeSinceContact{};
};

/// \brief Periodic heartbeat between neighbours of the overlay.
struct heartbeat
{
    std::uint64_t directoryDigest = 0;
    std::int64_t configVersion = -1;
    duration confirmationAge{};
    executor_load load;
    std::vector<zone_contact> zones;
};

/// \brief Keys and versions of all entries of the sender.
///
/// The receiver responds with the entries of which it has a newer version.
struct entry_summary
{
    std::vector<entry_stamp> stamps;
    bool wantsReply = false; ///< Requests the summary of the receiver.
};

/// \brief Entries that are new or have changed.
struct entries
{
    std::vector<overlay_entry> list;
};

/// \brief Requests the configuration if the receiver has a newer version.
struct config_fetch
{
    std::int64_t haveVersion = -1;
};

/// \brief A record of the platform log.
struct log_record
{
    std::int64_t offset = 0;
    duration age{}; ///< Time since the log accepted the record, by the clock of the log.
    std::string data;
};

/// \brief A complete configuration.
struct config_state
{
    std::int64_t version = -1;
    std::int64_t coveredOffset = -1; ///< Offset of the last log record that is included in the set.
    std::string set; ///< Configuration set as JSON.
};

/// \brief Records of the stream `config`, relayed in the order of their offsets.
struct config_records
{
    std::vector<log_record> records;
};

/// \brief Any message between two nodes.
using peer_message =
        std::variant<dispatch, dispatch_response, dispatch_cancel, owner_call, owner_response,
                     ledger_handover, token_request, token_grant, token_report, heartbeat,
                     entry_summary, entries, config_fetch, config_state, config_records>;

} // namespace tamarackridge
