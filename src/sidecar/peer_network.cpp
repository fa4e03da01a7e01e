#include "sidecar/peer_network.h"

#include "sidecar/peer_receiver.h"
#include "sidecar/peer_sender.h"
#include "wire/frame.h"

#include <algorithm>
#include <utility>

namespace tamarackridge {
namespace {

constexpr int backlog = 256;
constexpr std::size_t maxSenders = std::size_t{16} * 1024;

} // namespace

peer_network::peer_network(boost::asio::io_context &loop, const socket_address &address,
                           node_ref self, peer_callbacks callbacks)
    : m_context{loop, std::move(self), std::move(callbacks), {}, 0, received_frames(maxSenders)}
    , m_acceptor(loop, address, backlog, [this](tcp::socket socket) { receive(std::move(socket)); })
{ }

peer_network::~peer_network()
{
    for (const auto &[node, link] : m_senders)
        link->close();
    for (const std::shared_ptr<peer_receiver> &link : m_receivers)
        link->close();
}

void peer_network::receive(tcp::socket socket)
{
    const std::shared_ptr<peer_receiver> link = std::make_shared<peer_receiver>(
            m_context, std::move(socket),
            [this](const std::shared_ptr<peer_receiver> &ended) { m_receivers.erase(ended); });
    m_receivers.insert(link);
    link->start();
}

void peer_network::connect(const std::string &node, const std::string &endpoint)
{
    std::shared_ptr<peer_sender> &link = m_senders[node];
    if (link && link->endpoint() == endpoint)
        return;
    if (link)
        link->close();
    link = std::make_shared<peer_sender>(m_context, node, endpoint);
}

void peer_network::disconnect(const std::string &node)
{
    const auto found = m_senders.find(node);
    if (found == m_senders.end())
        return;
    found->second->close();
    m_senders.erase(found);
}

void peer_network::send(const std::string &node, incarnation_id receiver,
                        const peer_message &message, std::optional<time_point> expiresAt)
{
    const auto found = m_senders.find(node);
    if (found == m_senders.end())
        return;
    const frame_header header{m_context.self, receiver, 0};
    found->second->send(encodePeerMessage(header, message), message, receiver, expiresAt);
}

bool peer_network::awaitsResponseDelivery(time_point now) const
{
    return std::any_of(m_senders.begin(), m_senders.end(), [now](const auto &entry) {
        return entry.second->awaitsResponseDelivery(now);
    });
}

void peer_network::acknowledge()
{
    for (const std::shared_ptr<peer_receiver> &link : m_receivers)
        link->acknowledge();
}

void peer_network::sweep(time_point now)
{
    for (const auto &[node, link] : m_senders)
        link->sweep(now);
}

} // namespace tamarackridge
