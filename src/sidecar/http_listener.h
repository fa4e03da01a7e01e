#pragma once

#include "sidecar/connection_acceptor.h"
#include "tamarackridge/src/base/http_message.h"
#include "tamarackridge/src/node/action.h"
#include "tamarackridge/src/sidecar/published_set.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace tamarackridge {

/// \brief Callbacks of an http_listener.
struct listener_callbacks
{
    /// A complete request arrived. Respond to it with http_listener::respond(), now or later.
    std::function<void(call_id call, http_request request)> request;
    /// The caller closed its connection before the response.
    std::function<void(call_id call)> callerDisconnected;
    std::function<const caller_limits &()> limits;
    /// Returns whether connections must be closed after their next response.
    std::function<bool()> leaving;
};

/// \brief HTTP/1.1 server on one address; runs in one event loop.
///
/// Watches a connection while its request is being processed, so that it detects immediately when
/// the caller disconnects.
class http_listener
{
public:
    http_listener(boost::asio::io_context &loop, const socket_address &address,
                  listener_callbacks callbacks, call_id &lastCall);
    http_listener(const http_listener &) = delete;
    http_listener &operator=(const http_listener &) = delete;
    ~http_listener();

    /// \brief Sends the response to a request; drops it if the caller has disconnected.
    void respond(call_id call, const http_response &response);
    /// \brief Ends connections that are past their deadline; must be called a few times a second.
    void sweep(time_point now);
    /// \returns whether a request is being read or processed, or a response being sent.
    bool busy() const;
    std::size_t connections() const { return m_connections.size(); }

private:
    class connection;

    listener_callbacks m_callbacks;
    call_id &m_lastCall;
    connection_acceptor m_acceptor;
    std::unordered_set<std::shared_ptr<connection>> m_connections;
    std::unordered_map<call_id, std::shared_ptr<connection>> m_connectionsByCall;
};

} // namespace tamarackridge
