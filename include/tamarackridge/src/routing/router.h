#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/base/random_source.h"
#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/node/peer_message.h"
#include "tamarackridge/src/overload/run_outcome.h"
#include "tamarackridge/src/routing/executor.h"
#include "tamarackridge/src/routing/executor_health.h"

#include <tl/expected.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarackridge {

/// \brief Settings of a router.
struct router_options
{
    std::string node; ///< Own name; the subsets of executors depend on it.
    std::string zone; ///< Own availability zone.
    std::uint32_t subsetSize = 8; ///< Executors used per service and zone, at most 16.
    double spilloverDelayRatio =
            2; ///< Delay in the own zone, over another zone's, that spills over.
    /// Whether requests leave the own zone as soon as its executors have no free place, and then go
    /// to the zones that have one.
    bool spilloverWhenFull = false;
    std::uint32_t probePercent = 1; ///< Share of early refusals that is sent nevertheless.
    ejection_options ejection;
};

/// \brief Chooses the backend server for a request and learns from the answers.
///
/// An executor that got no request for some seconds is tried again with one request, also in
/// another zone while the own zone serves; otherwise its estimate would never be corrected.
///
/// \code
/// router_options options;
/// options.node = "n1";
/// options.zone = "oviedo";
/// router routes(options);
/// routes.upsertExecutor({ .node = "n2", .zone = "oviedo", .service = "booking" });
/// tl::expected<std::string_view, error_kind> target
///         = routes.choose("booking", rank, {}, now, random);
/// routes.onDispatched(*target, now);
/// routes.onResponse(*target, latency, run_outcome::success, &load, now);
/// \endcode
/// \sa executor_health
class router
{
public:
    static constexpr std::size_t maxSubsetSize = 16;

    explicit router(router_options options);

    /// \brief Adds an executor, or changes its zone, service, state or link delay.
    void upsertExecutor(const executor_info &info);
    void removeExecutor(std::string_view node);

    /// \param excluded nodes that this request already tried.
    /// \returns the node to dispatch to, valid until the next change of executors; or `overloaded`
    /// when all candidates shed this rank, or `no_backend_server`.
    tl::expected<std::string_view, error_kind> choose(std::string_view service, std::uint8_t rank,
                                                      std::span<const std::string> excluded,
                                                      time_point now, random_source &random);

    /// \brief A dispatch was sent; each must be followed by one onResponse().
    void onDispatched(std::string_view node, time_point now);
    /// \brief A dispatch ended.
    /// \param latency from sending the dispatch to its end.
    /// \param load as received with the answer; null when none was received.
    void onResponse(std::string_view node, duration latency, run_outcome outcome,
                    const executor_load *load, time_point now);
    /// \brief Updates the load only; a heartbeat is no sign that requests are served.
    void onHeartbeat(std::string_view node, const executor_load &load);

    std::size_t executorCount() const { return m_byNode.size(); }
    /// \returns true when the executor is ejected after failures.
    bool isEjected(std::string_view node, time_point now);

private:
    using index = std::uint32_t;

    struct name_hash : std::hash<std::string_view>
    {
        using is_transparent = void;
    };
    template <typename value>
    using name_map = std::unordered_map<std::string, value, name_hash, std::equal_to<>>;

    /// The executors of one service in one zone.
    struct zone_group
    {
        std::uint16_t zone = 0; ///< Position in m_zones.
        std::vector<index> members;
        std::vector<index> subset; ///< The serving members that this node uses.
        bool subsetCurrent = false;
    };
    struct service_group
    {
        std::vector<zone_group> zones; ///< The own zone comes first.
        double usualLatency = 1e6; ///< Average over all executors in nanoseconds.
    };

    struct record
    {
        std::string_view node; ///< Key of m_byNode.
        service_group *service = nullptr; ///< Value in m_services.
        std::uint64_t affinity = 0; ///< Rendezvous hash of the own node with this one.
        std::uint16_t zone = 0; ///< Position in m_zones.
        executor_state state = executor_state::serving;
        duration linkDelay{};
        executor_health health;
    };

    /// The usable executors of one zone for one request.
    struct candidates
    {
        std::array<index, maxSubsetSize> admitting{};
        std::size_t admittingCount = 0;
        std::array<index, maxSubsetSize> refusing{};
        std::size_t refusingCount = 0;
        std::optional<index> probe; ///< Ejected, and due to be tried.
        std::optional<index> lastResort; ///< Ejected, with no dispatch waiting.

        std::span<const index> admittingList() const { return {admitting.data(), admittingCount}; }
        std::span<const index> refusingList() const { return {refusing.data(), refusingCount}; }
    };

    struct request
    {
        std::uint8_t rank;
        std::span<const std::string> excluded;
        time_point now;
    };

    /// An executor and its expected delay.
    struct option
    {
        index executor = 0;
        double delay = 0;
    };

    record *find(std::string_view node);
    std::uint16_t zoneIndex(std::string_view zone);
    void attach(index position, std::string_view service);
    void detach(index position);
    void refreshSubset(zone_group &group) const;
    candidates gather(zone_group &group, const request &wanted);
    double delayOf(index executor, time_point now) const;
    option bestOf(std::span<const index> list, time_point now) const;
    option pickOfTwo(std::span<const index> list, time_point now, random_source &random) const;
    tl::expected<index, error_kind> chooseFrom(service_group &service, const request &wanted,
                                               random_source &random);
    std::optional<index> withFreePlace(service_group &service, const request &wanted);
    bool hasFreePlace(std::span<const index> list) const;
    index preferNear(service_group &service, const candidates &near, const request &wanted,
                     random_source &random);

    router_options m_options;
    std::uint64_t m_seed; ///< Of the rendezvous hash.
    std::vector<std::string> m_zones;
    name_map<service_group> m_services;
    name_map<index> m_byNode;
    std::vector<record> m_records;
    std::vector<index> m_free;
};

} // namespace tamarackridge
