#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/base/random_source.h"
#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/ledger/request_id.h"
#include "tamarackridge/src/node/peer_message.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge {

/// \brief Limits of a ledger.
struct ledger_options
{
    duration idLifetime = std::chrono::minutes(10); ///< Time after which an id expires.
    std::size_t maxRecords = 100'000; ///< Further ids are refused above this number.
    /// Total size of the stored responses, above which the oldest are dropped.
    std::size_t maxResponseBytes = 16U << 20U;
};

/// \brief Key of a ledger record.
struct ledger_key
{
    incarnation_id incarnation = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const ledger_key &, const ledger_key &) = default;
};

/// \brief Decision of a request id's owner on a call.
struct ledger_decision
{
    enum class verdict : std::uint8_t {
        run, ///< First send: run the request.
        wait, ///< Already running: the call gets the response of the running request.
        replay, ///< Already answered: send \a response again.
        refuse, ///< Refuse the call with \a error.
    };

    verdict kind = verdict::refuse;
    ledger_key key;
    http_response response;
    error_kind error = error_kind::request_id_invalid;
    run_state state = run_state::unknown; ///< Run state to report with \a refuse.
};

/// \brief Records the request ids that this incarnation issued and lets each run at most once.
///
/// \code
/// const std::string id = ledger.issue(now);
/// const ledger_decision decision = ledger.begin(id, "airline", digest, now);
/// // decision.kind == run; a second begin() with the same id yields wait
/// \endcode
class ledger
{
public:
    /// \param self the node that issues the ids.
    /// \param now the time relative to which ids are dated.
    ledger(node_ref self, ledger_options options, random_source &random, time_point now);

    /// \returns a new request id in its text form.
    std::string issue(time_point now);

    /// \returns true if this ledger decides on the ids of \a incarnation.
    bool owns(incarnation_id incarnation) const;

    /// \brief Decides whether a call may run.
    /// \param requestDigest distinguishes a resend from a different request with the same id.
    ledger_decision begin(const request_id &id, std::string_view customer,
                          std::uint64_t requestDigest, time_point now);

    /// \brief Decides whether an onward call may run whose key was reserved with reserve().
    ledger_decision begin(const ledger_key &key, std::string_view customer,
                          std::uint64_t requestDigest, time_point now);

    /// \brief Reserves a key for an onward call.
    /// \returns a key of this incarnation for which no id text exists.
    ledger_key reserve();

    /// \brief Records the response of a backend server; it also replaces an unknown outcome.
    void answered(const ledger_key &key, const http_response &response);
    /// \brief Records that the request was refused and that no backend server has received it.
    ///
    /// The refusal is final for this id: a delayed earlier send of it could otherwise run after the
    /// caller has received `not-run`. The caller gets a new id for another try.
    void refused(const ledger_key &key);
    /// \brief Records that it cannot be determined whether the request ran.
    void outcomeUnknown(const ledger_key &key);

    /// \brief Drops the records of expired ids.
    void expire(time_point now);

    /// \brief Stops deciding on request ids and refuses every further call.
    ///
    /// Requests that are still running are handed over as unknown.
    /// \returns the state that a successor needs: one handover for each incarnation on whose ids
    /// this ledger decides, i.e. the incarnation of this node and those that it took over.
    std::vector<ledger_handover> handOver(time_point now);
    /// \brief Takes over the ledger of another incarnation.
    void takeOver(const ledger_handover &handover, time_point now);

    std::size_t size() const { return m_records.size(); }
    std::size_t responseBytes() const { return m_responseBytes; }
    bool stopped() const { return m_stopped; }

private:
    struct incarnation_state
    {
        ledger_secret secret{};
        time_point begin;
        std::optional<time_point> ended; ///< Time of the takeover, if it was taken over.
    };
    struct record
    {
        ledger_state state = ledger_state::running;
        std::uint64_t digest = 0;
        std::string customer;
        time_point issued;
        http_response response;
        std::list<ledger_key>::iterator responsePosition;
    };

    bool expired(time_point issued, time_point now) const;
    static ledger_decision decide(const record &found, const ledger_key &key,
                                  std::string_view customer, std::uint64_t requestDigest);
    ledger_decision beginIssuedAt(const ledger_key &key, time_point issued,
                                  std::string_view customer, std::uint64_t requestDigest);
    void storeResponse(const ledger_key &key, record &target, const http_response &response);
    void dropResponse(record &target);

    node_ref m_self;
    ledger_options m_options;
    std::map<incarnation_id, incarnation_state> m_incarnations;
    std::map<ledger_key, record> m_records;
    std::list<ledger_key> m_responseOrder; ///< Records with a stored response, oldest first.
    std::size_t m_responseBytes = 0;
    std::uint64_t m_nextSequence = 1;
    bool m_stopped = false;
};

} // namespace tamarackridge
