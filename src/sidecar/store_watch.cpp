#include "sidecar/store_watch.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace tamarackridge {
namespace {

// By the second read, nodes that started at the same time have registered themselves.
constexpr duration secondListDelay = std::chrono::milliseconds(700);
constexpr duration listIntervalWithoutPeers = std::chrono::seconds(2);
constexpr duration listInterval = std::chrono::seconds(60);
// Keep-alive probes detect a dead connection; the end of the wait is a second way to detect it.
// Nodes that started together wait for different times: a change that comes as some of these reads
// end is then still read by the others, from which the heartbeats spread it.
constexpr std::chrono::milliseconds minReadWait{10'000};
constexpr std::chrono::milliseconds maxReadWait{20'000};

} // namespace

std::string_view toString(store_error error)
{
    constexpr std::array<std::string_view, 4> names{"unreachable", "rejected", "expired",
                                                    "malformed"};
    return names.at(static_cast<std::size_t>(error));
}

store_watch::store_watch(boost::asio::io_context &loop, platform_gateway &platform,
                         std::string node, std::string endpoint, random_source &random,
                         store_callbacks callbacks)
    : m_platform(platform)
    , m_node(std::move(node))
    , m_endpoint(std::move(endpoint))
    , m_random(random)
    , m_callbacks(std::move(callbacks))
    , m_setTimer(loop)
    , m_putTimer(loop)
    , m_listTimer(loop)
{
    m_platform.onStoreRestored([this] { storeRestored(); });
    if (m_callbacks.recordRefused)
        m_platform.onRecordRefused(m_callbacks.recordRefused);
}

void store_watch::start()
{
    readSet();
    listNodes();
}

void store_watch::schedule(boost::asio::steady_timer &timer, duration delay,
                           void (store_watch::*step)())
{
    timer.expires_after(delay);
    timer.async_wait([this, step](const boost::system::error_code &error) {
        if (!error && !m_leaving)
            (this->*step)();
    });
}

duration store_watch::recordFailure(store_error error)
{
    ++m_errors;
    if (m_reachable)
        m_callbacks.reachabilityChanged(false, toString(error));
    m_reachable = false;
    return m_retryDelay.next();
}

void store_watch::recordSuccess()
{
    if (!m_reachable)
        m_callbacks.reachabilityChanged(true, {});
    m_reachable = true;
    m_retryDelay.reset();
}

void store_watch::readSet()
{
    m_platform.readSet(
            [this, sequence = ++m_setReads](const tl::expected<stored_set, store_error> &result) {
                handleSet(result, set_read::newest, sequence);
            });
}

duration store_watch::nextWait()
{
    const std::int64_t range = (maxReadWait - minReadWait).count();
    return minReadWait
           + std::chrono::milliseconds(m_random.below(static_cast<std::uint64_t>(range)));
}

void store_watch::readNextSet(duration wait)
{
    m_platform.readNextSet(
            *m_nextPosition, wait,
            [this, sequence = ++m_setReads](const tl::expected<stored_set, store_error> &result) {
                handleSet(result, set_read::next, sequence);
            });
}

void store_watch::resumeSet()
{
    // A read that waits would show only seconds later that the store was restored meanwhile.
    if (m_nextPosition)
        readNextSet(duration::zero());
    else
        readSet();
}

void store_watch::handleSet(const tl::expected<stored_set, store_error> &result, set_read kind,
                            std::uint64_t sequence)
{
    if (m_leaving || sequence != m_setReads)
        return;
    if (result) {
        recordSuccess();
        m_nextPosition = result->next;
        if (result->text)
            m_callbacks.setReceived(*result->text);
        readNextSet(nextWait());
        return;
    }
    if (kind == set_read::next && result.error() == store_error::expired) {
        readSet();
        return;
    }
    // Reading at the same position would fail in the same way.
    if (result.error() == store_error::malformed)
        m_nextPosition.reset();
    schedule(m_setTimer, recordFailure(result.error()), &store_watch::resumeSet);
}

void store_watch::storeRestored()
{
    m_callbacks.restored();
    if (m_leaving)
        return;
    m_nextPosition.reset();
    m_setTimer.cancel();
    m_putTimer.cancel();
    readSet();
    if (m_firstEra)
        registerNode();
}

void store_watch::registerNode()
{
    const registered_node self{{m_node, m_endpoint}, *m_firstEra};
    m_platform.registerNode(self, [this](const tl::expected<std::monostate, store_error> &result) {
        if (result)
            recordSuccess();
        else
            schedule(m_putTimer, recordFailure(result.error()), &store_watch::registerNode);
    });
}

void store_watch::firstListRead(store_era era)
{
    if (m_firstEra)
        return;
    m_firstEra = era;
    m_callbacks.firstEraRead(era);
    if (!m_leaving)
        registerNode();
}

void store_watch::listNodes()
{
    m_platform.listNodes(
            [this](const tl::expected<std::vector<registered_node>, store_error> &result) {
                if (!result) {
                    // A list that stays malformed must not keep all nodes from being registered.
                    if (result.error() == store_error::malformed)
                        firstListRead(unknownEra);
                    schedule(m_listTimer, recordFailure(result.error()), &store_watch::listNodes);
                    return;
                }
                recordSuccess();
                std::vector<seed_peer> peers;
                store_era firstEra = m_platform.era();
                for (const registered_node &item : *result) {
                    peers.push_back(item.peer);
                    if (item.peer.node == m_node)
                        firstEra = item.era;
                }
                m_callbacks.nodesReceived(peers);
                firstListRead(firstEra);
                ++m_listCount;
                duration delay = m_callbacks.knowsPeers() ? listInterval : listIntervalWithoutPeers;
                if (m_listCount == 1)
                    delay = secondListDelay;
                schedule(m_listTimer, delay, &store_watch::listNodes);
            });
}

void store_watch::leave()
{
    m_leaving = true;
    if (!m_firstEra)
        return;
    m_platform.unregisterNode(m_node, [](const tl::expected<std::monostate, store_error> &) {
        // A failure is ignored: the other nodes detect by themselves that this node has left.
    });
}

} // namespace tamarackridge
