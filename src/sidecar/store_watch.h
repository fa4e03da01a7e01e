#pragma once

#include "sidecar/platform_gateway.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tamarackridge {

/// \brief What a store_watch reports.
struct store_callbacks
{
    std::function<void(const std::string &text)> setRead;
    std::function<void(const std::vector<seed_peer> &members)> membersRead;
    /// The store answers again, or does not answer any more.
    std::function<void(bool responses, std::string_view error)> changed;
    /// Whether this node knows other nodes; one that does not reads the list again soon.
    std::function<bool()> knowsPeers;
};

/// \brief Follows what the platform's store holds: the published set and the list of nodes.
class store_watch
{
public:
    store_watch(boost::asio::io_context &loop, platform_gateway &platform, std::string node,
                std::string endpoint, store_callbacks callbacks);

    void start();
    /// \brief Takes this node off the list.
    void leave();
    std::uint64_t errors() const { return m_errors; }

private:
    void readSet();
    void awaitSet();
    void setRead(const tl::expected<stored_set, store_error> &result, bool waited);
    void putMember();
    void listMembers();
    void again(boost::asio::steady_timer &timer, duration pause, void (store_watch::*step)());
    duration retryPause(store_error error);
    void answered();

    platform_gateway &m_platform;
    std::string m_node;
    std::string m_endpoint;
    store_callbacks m_callbacks;
    boost::asio::steady_timer m_setTimer;
    boost::asio::steady_timer m_putTimer;
    boost::asio::steady_timer m_listTimer;
    std::optional<std::int64_t> m_position; ///< After the newest set that was read.
    std::uint32_t m_lists = 0;
    duration m_pause;
    std::uint64_t m_errors = 0;
    bool m_responses = true;
    bool m_leaving = false;
};

} // namespace tamarackridge
