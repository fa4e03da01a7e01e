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

/// \brief What a listener asks of the rest of the process.
struct listener_callbacks
{
    /// A whole request; it is answered with http_listener::answer(), now or later.
    std::function<void(call_id call, http_request request)> request;
    /// The caller closed its connection before the answer.
    std::function<void(call_id call)> gone;
    std::function<const caller_limits &()> limits;
    /// Whether connections are to be closed after their next answer.
    std::function<bool()> leaving;
};

/// \brief HTTP/1.1 server on one address, for one event loop.
///
/// A connection is watched while its request is being decided, so that a caller that leaves is
/// noticed at once.
class http_listener
{
public:
    http_listener(boost::asio::io_context &loop, const socket_address &address,
                  listener_callbacks callbacks, call_id &lastCall);
    http_listener(const http_listener &) = delete;
    http_listener &operator=(const http_listener &) = delete;
    ~http_listener();

    /// \brief Sends the answer of a request; the answer of a caller that has left is dropped.
    void respond(call_id call, const http_response &response);
    /// \brief Closes connections that are past their time limit; called a few times a second.
    void sweep(time_point now);
    std::size_t connections() const { return m_connections.size(); }

private:
    class connection;

    listener_callbacks m_callbacks;
    call_id &m_lastCall;
    connection_acceptor m_acceptor;
    std::unordered_set<std::shared_ptr<connection>> m_connections;
    std::unordered_map<call_id, std::shared_ptr<connection>> m_byCall;
};

} // namespace tamarackridge
