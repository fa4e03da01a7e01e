#include "sidecar/connection_acceptor.h"

#include <chrono>
#include <utility>

namespace tamarackridge {
namespace {

// Without free file descriptors every accept fails immediately; retrying without a delay would use
// a whole core. Some descriptors usually become free again soon.
constexpr std::chrono::milliseconds retryPause(50);

} // namespace

connection_acceptor::connection_acceptor(boost::asio::io_context &loop,
                                         const socket_address &address, int backlog,
                                         accepted_callback accepted)
    : m_acceptor(loop)
    , m_timer(loop)
    , m_accepted(std::move(accepted))
{
    m_acceptor.open(tcp::v4());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(address.endpoint());
    m_acceptor.listen(backlog);
    accept();
}

void connection_acceptor::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (error) {
            acceptLater();
            return;
        }
        m_accepted(std::move(socket));
        accept();
    });
}

void connection_acceptor::acceptLater()
{
    m_timer.expires_after(retryPause);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            accept();
    });
}

} // namespace tamarackridge
