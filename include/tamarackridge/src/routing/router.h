#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/base/random_source.h"
#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/node/peer_message.h"
#include "tamarackridge/src/overload/run_outcome.h"
#include "tamarackridge/src/routing/executor.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge {

/// \brief Settings of a router.
struct router_options
{
    std::string node; ///< Own name; the subsets of executors depend on it.
    std::string zone; ///< Own availability zone.
    std::uint32_t subsetSize = 8; ///< Executors used per service and zone.
    duration ejectionTime = std::chrono::seconds(1); ///< First one; doubles with each failed probe.
    duration maxEjectionTime = std::chrono::seconds(30);
    std::uint32_t failureStreak = 5; ///< Consecutive failures that eject an executor.
};

/// \brief Chooses the backend server for a request and learns from the answers.
///
/// \code
/// router routes({ .node = "n1", .zone = "oviedo" });
/// routes.upsertExecutor({ .node = "n2", .zone = "oviedo", .service = "booking" });
/// tl::expected<std::string_view, error_kind> target
///         = routes.choose("booking", rank, {}, now, random);
/// routes.onDispatched(*target, now);
/// routes.onAnswer(*target, latency, run_outcome::success, load, now);
/// \endcode
class router
{
public:
    explicit router(router_options options);

    /// \brief Adds an executor, or changes its service, state or link delay.
    void upsertExecutor(const executor_info &info);
    void removeExecutor(std::string_view node);

    /// \param excluded nodes that this request already tried.
    /// \returns the node to dispatch to, valid until the next change of executors; or `overloaded`
    /// when all candidates shed this rank, or `no_backend_server`.
    tl::expected<std::string_view, error_kind> choose(std::string_view service, std::uint8_t rank,
                                                      std::span<const std::string> excluded,
                                                      time_point now, random_source &random);

    /// \brief A dispatch was sent; each must be followed by one onAnswer().
    void onDispatched(std::string_view node, time_point now);
    /// \brief A dispatch ended.
    /// \param load as received with the answer; null when none was received.
    void onAnswer(std::string_view node, duration latency, run_outcome outcome,
                  const executor_load *load, time_point now);
    void onHeartbeat(std::string_view node, const executor_load &load, time_point now);

    std::size_t executorCount() const { return m_executors.size(); }

private:
    struct record
    {
        executor_info info;
        executor_load load;
        duration latency{};
        std::uint32_t inFlight = 0;
    };

    record *find(std::string_view node);

    router_options m_options;
    std::vector<record> m_executors;
};

} // namespace tamarackridge
