#include "sidecar/store_watch.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace tamarackridge {
namespace {

constexpr duration firstPause = std::chrono::milliseconds(200);
// A configuration is to be in force within two seconds, also just after an outage of the store.
constexpr duration longestPause = std::chrono::milliseconds(700);
// Nodes that start at the same time have put themselves on the list by the second reading.
constexpr duration secondList = std::chrono::milliseconds(700);
constexpr duration listWhileAlone = std::chrono::seconds(2);
constexpr duration listInterval = std::chrono::seconds(60);

} // namespace

std::string_view toString(store_error error)
{
    constexpr std::array<std::string_view, 4> names{"unreachable", "rejected", "expired",
                                                    "malformed"};
    return names.at(static_cast<std::size_t>(error));
}

store_watch::store_watch(boost::asio::io_context &loop, platform_gateway &platform,
                         std::string node, std::string endpoint, store_callbacks callbacks)
    : m_platform(platform)
    , m_node(std::move(node))
    , m_endpoint(std::move(endpoint))
    , m_callbacks(std::move(callbacks))
    , m_setTimer(loop)
    , m_putTimer(loop)
    , m_listTimer(loop)
    , m_pause(firstPause)
{ }

void store_watch::start()
{
    readSet();
    putMember();
    listMembers();
}

void store_watch::again(boost::asio::steady_timer &timer, duration pause,
                        void (store_watch::*step)())
{
    timer.expires_after(pause);
    timer.async_wait([this, step](const boost::system::error_code &error) {
        if (!error && !m_leaving)
            (this->*step)();
    });
}

duration store_watch::retryPause(store_error error)
{
    ++m_errors;
    if (m_responses)
        m_callbacks.changed(false, toString(error));
    m_responses = false;
    return std::exchange(m_pause, std::min(2 * m_pause, longestPause));
}

void store_watch::answered()
{
    if (!m_responses)
        m_callbacks.changed(true, {});
    m_responses = true;
    m_pause = firstPause;
}

void store_watch::readSet()
{
    m_platform.readSet([this](const tl::expected<stored_set, store_error> &result) {
        setRead(result, false);
    });
}

void store_watch::awaitSet()
{
    m_platform.awaitSet(*m_position, [this](const tl::expected<stored_set, store_error> &result) {
        setRead(result, true);
    });
}

void store_watch::setRead(const tl::expected<stored_set, store_error> &result, bool waited)
{
    if (m_leaving)
        return;
    if (result) {
        answered();
        m_position = result->next;
        if (result->text)
            m_callbacks.setRead(*result->text);
        awaitSet();
        return;
    }
    if (waited && result.error() == store_error::expired) {
        readSet();
        return;
    }
    const duration pause = retryPause(result.error());
    again(m_setTimer, pause, m_position ? &store_watch::awaitSet : &store_watch::readSet);
}

void store_watch::putMember()
{
    m_platform.putMember(
            m_node, m_endpoint, [this](const tl::expected<std::monostate, store_error> &result) {
                if (result)
                    answered();
                else
                    again(m_putTimer, retryPause(result.error()), &store_watch::putMember);
            });
}

void store_watch::listMembers()
{
    m_platform.listMembers([this](const tl::expected<std::vector<seed_peer>, store_error> &result) {
        if (!result) {
            again(m_listTimer, retryPause(result.error()), &store_watch::listMembers);
            return;
        }
        answered();
        m_callbacks.membersRead(*result);
        ++m_lists;
        duration pause = m_callbacks.knowsPeers() ? listInterval : listWhileAlone;
        if (m_lists == 1)
            pause = secondList;
        again(m_listTimer, pause, &store_watch::listMembers);
    });
}

void store_watch::leave()
{
    m_leaving = true;
    m_platform.removeMember(m_node, [](const tl::expected<std::monostate, store_error> &) {
        // Other nodes find out by themselves that this one has left.
    });
}

} // namespace tamarackridge
