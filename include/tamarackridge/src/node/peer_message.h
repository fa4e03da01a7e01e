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

/// \brief What a request carries along its call chain; set by nodes only, never by callers.
struct request_context
{
    std::string route;
    std::string service;
    std::string customer; ///< Empty on open routes.
    std::uint8_t priorityRank = 0; ///< A higher number is more important.
    bool idempotent = true;
    duration deadlineLeft{};
    duration chainAge{}; ///< Time since the request entered the fleet.
    std::uint32_t attempts =
            1; ///< Backend runs that this request may still cause, all hops together.
    std::uint32_t depth = 0; ///< 0 for a caller's request, one more for each onward call.
    trace_context trace;
};

/// \brief Load of a node's own backend server, sent upstream with answers and heartbeats.
struct executor_load
{
    std::uint8_t shedThreshold = 0; ///< Lowest priority rank still admitted.
    std::uint32_t limit = 0; ///< Learned concurrency limit.
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
    std::optional<error_kind> error; ///< Set when \a answer is not a backend server's answer.
    http_response response;
    std::uint32_t attemptsUnused = 0;
    std::optional<executor_load> load; ///< Not set when the executor did not answer.
};

/// \brief The owner no longer needs the answer.
struct dispatch_cancel
{
    dispatch_id id;
};

/// \brief A call with a request id, forwarded to the node that owns the id.
struct owner_call
{
    std::uint64_t call = 0; ///< Chosen by the sender, echoed in the answer.
    std::string requestId;
    std::string customer; ///< Customer whose key the sender verified.
    duration deadlineLeft{};
    trace_context trace;
    http_request request;
};

/// \brief Answer to an owner_call.
struct owner_response
{
    std::uint64_t call = 0;
    run_state state = run_state::unknown;
    std::optional<error_kind> error;
    http_response response;
};

/// \brief State of one used request id.
enum class ledger_state : std::uint8_t { running, answered, refused, unknown };

/// \brief One used request id, as handed over on a planned stop.
struct ledger_entry
{
    std::uint64_t sequence = 0;
    ledger_state state = ledger_state::unknown;
    std::uint64_t requestDigest = 0; ///< Tells a resend from another request under the same id.
    std::string customer;
    duration age{}; ///< Time since the id was issued.
    http_response response; ///< Set when answered.
};

/// \brief A leaving node's ledger, sent after it has stopped deciding.
struct ledger_handover
{
    incarnation_id incarnation = 0;
    std::array<std::uint8_t, 16> secret{};
    duration clockAge{}; ///< Time since the ledger began; ids are dated relative to its begin.
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

/// \brief Asks a slot holder for tokens.
struct token_request
{
    std::uint64_t sequence = 0;
    std::vector<token_amount> wanted;
};

/// \brief Tokens that the holder has already debited.
struct token_grant
{
    std::uint64_t sequence = 0; ///< Of the request.
    std::uint64_t grant = 0; ///< Number of this grant at the holder.
    duration lease{}; ///< The receiver counts it from when it sent the request.
    std::vector<token_amount> granted; ///< Nothing granted: an empty list.
};

/// \brief What became of a grant's tokens; unspent tokens may be minted again by the holder.
struct token_report
{
    std::uint64_t grant = 0;
    std::vector<token_amount> spent;
    std::vector<token_amount> returned;
};

/// \brief Kinds of entries that the overlay spreads.
enum class entry_kind : std::uint8_t { member, suspicion, quarantine };

/// \brief Version of an entry; a higher one replaces a lower one.
struct entry_version
{
    incarnation_id incarnation = 0; ///< Of the entry's owner.
    std::uint64_t counter = 0;

    friend bool operator==(const entry_version &, const entry_version &) = default;
};

/// \brief One versioned entry of the overlay.
struct overlay_entry
{
    entry_kind kind = entry_kind::member;
    std::string key;
    entry_version version;
    std::string payload; ///< Encoded by the module that owns the kind.
};

/// \brief Key and version of an entry, without its payload.
struct entry_stamp
{
    entry_kind kind = entry_kind::member;
    std::string key;
    entry_version version;
};

/// \brief How long a zone has been silent, as far as the sender knows.
struct zone_contact
{
    std::string zone;
    duration timeSinceContact{};
};

/// \brief Sign of life between neighbours of the overlay.
struct heartbeat
{
    std::uint64_t directoryDigest = 0;
    std::int64_t configVersion = -1;
    duration confirmationAge{};
    executor_load load;
    std::vector<zone_contact> zones;
};

/// \brief Everything the sender holds; the receiver answers with what is newer on its side.
struct entry_summary
{
    std::vector<entry_stamp> stamps;
    bool wantsReply = false; ///< Asks for the receiver's own summary.
};

/// \brief New or changed entries.
struct entries
{
    std::vector<overlay_entry> list;
};

/// \brief Asks for the configuration if the receiver has a newer one.
struct config_fetch
{
    std::int64_t haveVersion = -1;
};

/// \brief A record of the platform log.
struct log_record
{
    std::int64_t offset = 0;
    duration age{}; ///< Time since the log accepted it, by the log's clock.
    std::string data;
};

/// \brief A complete configuration.
struct config_state
{
    std::int64_t version = -1;
    std::int64_t coveredOffset = -1; ///< Last log offset that the set reflects.
    std::string set; ///< JSON.
};

/// \brief Records of the stream `config`, relayed in order of offset.
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
