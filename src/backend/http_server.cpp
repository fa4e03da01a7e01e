#include "backend/http_server.h"

#include "load/echo_body.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <ulfius.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <map>
#include <stdexcept>

namespace tamarackridge::backend {
namespace {

constexpr std::string_view crashMarker = "crash-this-server";

std::uint16_t portOfAddress(const sockaddr *address)
{
    sockaddr_in copy{};
    if (address == nullptr || address->sa_family != AF_INET)
        return 0;
    std::memcpy(&copy, address, sizeof copy);
    return ntohs(copy.sin_port);
}

/// \brief Maps the caller's port, which is unique on loopback, to the socket of its connection.
///
/// A handler needs the socket to detect that the caller has closed the connection, but ulfius
/// passes only the caller's address.
class connection_table
{
public:
    static void notify(void *self, MHD_Connection *connection, void **,
                       MHD_ConnectionNotificationCode code)
    {
        const MHD_ConnectionInfo *address =
                MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
        const MHD_ConnectionInfo *socket =
                MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        if (address == nullptr || socket == nullptr)
            return;
        connection_table &table = *static_cast<connection_table *>(self);
        const std::lock_guard lock(table.m_mutex);
        const std::uint16_t port = portOfAddress(address->client_addr);
        if (code == MHD_CONNECTION_NOTIFY_STARTED)
            table.m_sockets[port] = socket->connect_fd;
        else
            table.m_sockets.erase(port);
    }

    int socketOf(const sockaddr *address) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_sockets.find(portOfAddress(address));
        return found == m_sockets.end() ? -1 : found->second;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::uint16_t, int> m_sockets;
};

std::string_view header(const _u_request &request, const char *name)
{
    const char *value = u_map_get_case(request.map_header, name);
    return value == nullptr ? std::string_view() : std::string_view(value);
}

std::optional<std::chrono::milliseconds> deadlineOf(const _u_request &request)
{
    const std::string_view text = header(request, "Tamarackridge-Deadline-Ms");
    std::int64_t milliseconds = 0;
    const std::from_chars_result parsed =
            std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (text.empty() || parsed.ec != std::errc())
        return std::nullopt;
    return std::chrono::milliseconds(milliseconds);
}

server_request toServerRequest(const _u_request &request, int descriptor)
{
    server_request converted;
    converted.method = request.http_verb;
    converted.path = request.url_path;
    converted.loadId = header(request, std::string(load::loadIdHeader).c_str());
    converted.handle = header(request, "Tamarackridge-Handle");
    converted.body = {static_cast<const char *>(request.binary_body), request.binary_body_length};
    converted.deadline = deadlineOf(request);
    converted.crash = header(request, "X-Crash") == "1"
                      || converted.body.find(crashMarker) != std::string_view::npos;
    converted.descriptor = descriptor;
    return converted;
}

} // namespace

class http_server::implementation
{
public:
    implementation(std::uint16_t port, unsigned maxConnections, request_handler &handler)
        : m_handler(handler)
    {
        m_address.sin_family = AF_INET;
        m_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_address.sin_port = htons(port);
        // Ulfius rejects port 0. The port in MHD_OPTION_SOCK_ADDR below takes precedence over this
        // one.
        if (ulfius_init_instance(&m_instance, std::max<unsigned>(port, 1), &m_address, nullptr)
            != U_OK)
            throw std::runtime_error("cannot initialise the HTTP server");
        // Bodies are used unparsed; parsing form fields and checking UTF-8 would only cost time.
        m_instance.allowed_post_processor = U_POST_PROCESS_NONE;
        m_instance.check_utf8 = 0;
        ulfius_set_default_endpoint(&m_instance, &implementation::onRequest, this);
        if (!start(maxConnections)) {
            ulfius_clean_instance(&m_instance);
            throw std::runtime_error("cannot listen on 127.0.0.1:" + std::to_string(port));
        }
    }
    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;
    ~implementation()
    {
        ulfius_stop_framework(&m_instance);
        ulfius_clean_instance(&m_instance);
    }

    std::uint16_t port() const
    {
        // MHD_DAEMON_INFO_BIND_PORT returns the requested port, which may be 0.
        const MHD_DaemonInfo *info =
                MHD_get_daemon_info(m_instance.mhd_daemon, MHD_DAEMON_INFO_LISTEN_FD);
        sockaddr_storage address{};
        socklen_t length = sizeof address;
        sockaddr *generic = reinterpret_cast<sockaddr *>(&address);
        if (info == nullptr || getsockname(info->listen_fd, generic, &length) != 0)
            return 0;
        return portOfAddress(generic);
    }

private:
    bool start(unsigned maxConnections)
    {
        const auto pointer = [](auto *function) { return reinterpret_cast<intptr_t>(function); };
        std::array options{
                MHD_OptionItem{MHD_OPTION_NOTIFY_COMPLETED, pointer(&mhd_request_completed),
                               nullptr},
                MHD_OptionItem{MHD_OPTION_URI_LOG_CALLBACK, pointer(&ulfius_uri_logger), nullptr},
                MHD_OptionItem{MHD_OPTION_NOTIFY_CONNECTION, pointer(&connection_table::notify),
                               &m_connections},
                MHD_OptionItem{MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(maxConnections),
                               nullptr},
                MHD_OptionItem{MHD_OPTION_SOCK_ADDR, 0, &m_address},
                MHD_OptionItem{MHD_OPTION_END, 0, nullptr},
        };
        constexpr unsigned flags =
                MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
        return ulfius_start_framework_with_mhd_options(&m_instance, flags, options.data()) == U_OK;
    }

    static int onRequest(const _u_request *request, _u_response *ulfiusResponse, void *self)
    {
        const implementation &server = *static_cast<implementation *>(self);
        const int descriptor = server.m_connections.socketOf(request->client_address);
        const server_response response =
                server.m_handler.handle(toServerRequest(*request, descriptor));
        ulfius_set_binary_body_response(ulfiusResponse, response.status, response.body.data(),
                                        response.body.size());
        return U_CALLBACK_CONTINUE;
    }

    request_handler &m_handler;
    sockaddr_in m_address{};
    connection_table m_connections;
    _u_instance m_instance{};
};

http_server::http_server(std::uint16_t port, unsigned maxConnections, request_handler &handler)
    : m_implementation(std::make_unique<implementation>(port, maxConnections, handler))
{ }

http_server::~http_server() = default;

std::uint16_t http_server::port() const
{
    return m_implementation->port();
}

} // namespace tamarackridge::backend
