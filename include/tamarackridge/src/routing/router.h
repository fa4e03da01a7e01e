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
    std::string node; ///< Name of this node; determines its subsets of executors.
    std::string zone; ///< Availability zone of this node.
    std::uint32_t subsetSize = 8; ///< Executors used per service and zone, at most 16.
    /// Ratio of the expected delay in the local zone to that in another zone, above which requests
    /// are sent to the other zone.
    double spilloverDelayRatio = 2;
    /// Whether requests go to other zones with free capacity as soon as the executors of the local
    /// zone have none.
    bool spilloverWhenFull = false;
    /// Percentage of the requests whose rank is shed that are sent nevertheless, as probes.
    std::uint32_t probePercent = 1;
    ejection_options ejection;
};

/// \brief Chooses the backend server for a request, based on the responses to earlier ones.
///
/// An executor that has received no request for some seconds is tried again with one request, even
/// in another zone while the local zone serves; otherwise its estimate would never be corrected.
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

    /// \param excluded nodes that have already been tried for this request.
    /// \returns the node to dispatch to, valid until executors are next added, changed or removed;
    /// or `overloaded` when all candidates shed this rank; or `no_backend_server`.
    tl::expected<std::string_view, error_kind> choose(std::string_view service, std::uint8_t rank,
                                                      std::span<const std::string> excluded,
                                                      time_point now, random_source &random);

    /// \brief Records that a dispatch was sent; each call must be followed by one call of
    /// onResponse().
    void onDispatched(std::string_view node, time_point now);
    /// \brief Records the end of a dispatch.
    /// \param latency time from sending the dispatch to its end.
    /// \param load the load received with the response; null when none was received.
    void onResponse(std::string_view node, duration latency, run_outcome outcome,
                    const executor_load *load, time_point now);
    /// \brief Updates the load only; a heartbeat is not evidence that requests are served.
    void onHeartbeat(std::string_view node, const executor_load &load);

    /// \returns whether \a service has a serving executor besides \a node and those in \a excluded.
    bool hasAlternative(std::string_view service, std::string_view node,
                        std::span<const std::string> excluded) const;
    std::size_t executorCount() const { return m_byNode.size(); }
    /// \returns true when the executor is currently ejected because of failures.
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
        std::vector<index> subset; ///< The serving members to which this node sends requests.
        bool subsetValid = false;
    };
    struct service_group
    {
        std::vector<zone_group> zones; ///< The local zone comes first, if present.
        double averageLatency = 1e6; ///< Over all executors, in nanoseconds.
    };

    struct executor_record
    {
        std::string_view node; ///< Key of m_byNode.
        service_group *service = nullptr; ///< Value in m_services.
        std::uint64_t affinity = 0; ///< Rendezvous hash of this node and the executor's node.
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
        std::optional<index> probe; ///< Ejected, and due for a probe.
        std::optional<index> lastResort; ///< Ejected, with no dispatch in flight.

        std::span<const index> admittingList() const { return {admitting.data(), admittingCount}; }
        std::span<const index> refusingList() const { return {refusing.data(), refusingCount}; }
    };

    struct routing_request
    {
        std::uint8_t rank;
        std::span<const std::string> excluded;
        time_point now;
    };

    /// An executor and its expected delay in nanoseconds.
    struct executor_delay
    {
        index executor = 0;
        double delay = 0;
    };

    executor_record *find(std::string_view node);
    std::uint16_t zoneIndex(std::string_view zone);
    void attach(index position, std::string_view service);
    void detach(index position);
    void refreshSubset(zone_group &group) const;
    candidates collectCandidates(zone_group &group, const routing_request &request);
    double expectedDelayOf(index executor, time_point now) const;
    executor_delay fastestOf(std::span<const index> list, time_point now) const;
    executor_delay pickFasterOfTwo(std::span<const index> list, time_point now,
                                   random_source &random) const;
    tl::expected<index, error_kind>
    chooseExecutor(service_group &service, const routing_request &request, random_source &random);
    std::optional<index> fastestWithFreeCapacity(service_group &service,
                                                 const routing_request &request);
    bool hasFreeCapacity(std::span<const index> list) const;
    index chooseFromLocalZone(service_group &service, const candidates &local,
                              const routing_request &request, random_source &random);

    router_options m_options;
    std::uint64_t m_affinitySeed; ///< Seed of the rendezvous hash.
    std::vector<std::string> m_zones;
    name_map<service_group> m_services;
    name_map<index> m_byNode;
    std::vector<executor_record> m_records;
    std::vector<index> m_freeIndices;
};

} // namespace tamarackridge
