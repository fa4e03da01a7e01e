#pragma once

#include "sidecar/platform_gateway.h"
#include "sidecar/retry_delay.h"
#include "tamarackridge/src/base/random_source.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tamarackridge {

/// \brief Callbacks of a store_watch.
struct store_callbacks
{
    std::function<void(const std::string &text)> setReceived;
    std::function<void(const std::vector<seed_peer> &members)> nodesReceived;
    /// The store has become reachable, or unreachable with \a error.
    std::function<void(bool reachable, std::string_view error)> reachabilityChanged;
    /// Returns whether this node knows other nodes; if not, the node list is read more often.
    std::function<bool()> knowsPeers;
    /// The store was restored from a copy; what it may have lost is read and written again.
    std::function<void()> restored;
    /// A record of the store cannot be decoded and is skipped.
    std::function<void(std::string_view reason)> recordRefused;
    /// The era of the store when this node was first registered is known. Called once.
    std::function<void(store_era era)> firstEraRead = [](store_era) {};
};

/// \brief Follows the published set and the node list in the platform's store.
class store_watch
{
public:
    store_watch(boost::asio::io_context &loop, platform_gateway &platform, std::string node,
                std::string endpoint, random_source &random, store_callbacks callbacks);

    void start();
    /// \brief Removes this node from the node list and stops following the store. An entry of an
    /// earlier process that has not been read stays.
    void leave();
    std::uint64_t errors() const { return m_errors; }

private:
    /// What the pending read of the set asks for.
    enum class set_read : std::uint8_t { newest, next };

    void readSet();
    void readNextSet(duration wait);
    /// \returns how long the next read waits for a record.
    duration nextWait();
    /// \brief Continues reading after a failure.
    void resumeSet();
    void handleSet(const tl::expected<stored_set, store_error> &result, set_read kind,
                   std::uint64_t sequence);
    /// \brief Reads and writes anew what a restored store may have lost.
    void storeRestored();
    void registerNode();
    void listNodes();
    /// \brief Registers this node after the first read of the node list.
    void firstListRead(store_era era);
    void schedule(boost::asio::steady_timer &timer, duration delay, void (store_watch::*step)());
    /// \brief Counts a failed call. \returns the delay before the next attempt.
    duration recordFailure(store_error error);
    void recordSuccess();

    platform_gateway &m_platform;
    std::string m_node;
    std::string m_endpoint;
    random_source &m_random;
    store_callbacks m_callbacks;
    boost::asio::steady_timer m_setTimer;
    boost::asio::steady_timer m_putTimer;
    boost::asio::steady_timer m_listTimer;
    std::optional<std::int64_t> m_nextPosition; ///< Position after the newest set that was read.
    std::uint64_t m_setReads = 0; ///< Number of the latest read of the set; earlier ones are void.
    std::uint32_t m_listCount = 0;
    /// Of the store when this node was first registered; it is registered once this is known, since
    /// the new record replaces the one from which it is read.
    std::optional<store_era> m_firstEra;
    retry_delay m_retryDelay;
    std::uint64_t m_errors = 0;
    bool m_reachable = true;
    bool m_leaving = false;
};

} // namespace tamarackridge
