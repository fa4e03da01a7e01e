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

/// \brief Bounds of a ledger.
struct ledger_options
{
    duration idLifetime = std::chrono::minutes(10); ///< An id is decided on for this long.
    std::size_t maxRecords = 100'000; ///< Beyond it no further id is accepted.
    std::size_t maxResponseBytes = 16U << 20U; ///< Beyond it the oldest stored answers are dropped.
};

/// \brief Key of one record.
struct ledger_key
{
    incarnation_id incarnation = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const ledger_key &, const ledger_key &) = default;
};

/// \brief What the owner of a request id does with a call.
struct ledger_decision
{
    enum class verdict : std::uint8_t {
        run, ///< The first send.
        wait, ///< Already running: the call gets the answer of the running one.
        replay, ///< Already answered: \a answer.
        refuse, ///< \a error.
    };

    verdict kind = verdict::refuse;
    ledger_key key;
    http_response response;
    error_kind error = error_kind::request_id_invalid;
    run_state state = run_state::unknown; ///< With \a refuse.
};

/// \brief Records of the request ids that this incarnation issued: the at-most-once decision.
///
/// \code
/// const std::string id = ledger.issue(now);
/// const ledger_decision decision = ledger.begin(id, "airline", digest, now);
/// // decision.kind == run; a second begin() with the same id yields wait
/// \endcode
class ledger
{
public:
    /// \param self the issuing node. \param now begin of the ledger's clock.
    ledger(node_ref self, ledger_options options, random_source &random, time_point now);

    /// \returns a fresh id in its text form.
    std::string issue(time_point now);

    /// \returns true when this ledger decides on ids of \a life.
    bool owns(incarnation_id incarnation) const;

    /// \brief Decides on a call.
    /// \param requestDigest tells a resend from another request under the same id.
    ledger_decision begin(const request_id &id, std::string_view customer,
                          std::uint64_t requestDigest, time_point now);

    /// \brief As begin(), for an onward call whose key was reserved with reserve().
    ledger_decision begin(const ledger_key &key, std::string_view customer,
                          std::uint64_t requestDigest, time_point now);

    /// \returns a key of this incarnation that no id text exists for.
    ledger_key reserve();

    /// \brief A backend server answered; a late answer also replaces an unknown outcome.
    void answered(const ledger_key &key, const http_response &response);
    /// \brief The request was refused and no backend server has received it.
    ///
    /// The refusal is final for this id: an earlier send of it that was held up on its way would
    /// otherwise run after the caller was told `not-run`. The caller gets a fresh id to try again.
    void refused(const ledger_key &key);
    /// \brief Whether the request ran will not become known.
    void outcomeUnknown(const ledger_key &key);

    /// \brief Drops records of expired ids.
    void expire(time_point now);

    /// \brief Stops deciding and returns everything that a successor needs: one handover for each
    /// incarnation that this ledger decides on, its own and those that it took over.
    ///
    /// Records still running are handed over as unknown. From then on every call is refused.
    std::vector<ledger_handover> handOver(time_point now);
    /// \brief Takes over another incarnation's ledger.
    void takeOver(const ledger_handover &handover, time_point now);

    std::size_t size() const { return m_records.size(); }
    std::size_t responseBytes() const { return m_responseBytes; }
    bool stopped() const { return m_stopped; }

private:
    struct clock_base
    {
        ledger_secret secret{};
        time_point begin;
        std::optional<time_point> ended; ///< Set for an incarnation that was taken over.
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
    ledger_decision beginAt(const ledger_key &key, time_point issued, std::string_view customer,
                            std::uint64_t requestDigest);
    void storeResponse(const ledger_key &key, record &target, const http_response &response);
    void dropResponse(record &target);

    node_ref m_self;
    ledger_options m_options;
    std::map<incarnation_id, clock_base> m_incarnations;
    std::map<ledger_key, record> m_records;
    std::list<ledger_key> m_responseOrder; ///< Oldest stored answer first.
    std::size_t m_responseBytes = 0;
    std::uint64_t m_nextSequence = 1;
    bool m_stopped = false;
};

} // namespace tamarackridge
