#include "node/caller_server.h"

#include "node/error_reply.h"
#include "node/listen_socket.h"
#include "process/hop_headers.h"

#include <ulfius.h>

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <optional>
#include <stdexcept>
#include <thread>

namespace tamarackridge {
namespace {

// Stack size of a connection's thread; only the pages that are used occupy memory.
constexpr std::size_t connectionStackBytes = std::size_t{256} << 10U;
// Memory of a connection that libmicrohttpd needs in addition to the headers of request and
// response.
constexpr std::size_t connectionSpareBytes = std::size_t{4} << 10U;

// When the server stops, idle connections stay open for idleConnectionGrace and all others for at
// most stopTimeout.
constexpr std::chrono::milliseconds idleConnectionGrace{500};
constexpr std::chrono::seconds stopTimeout{5};
constexpr std::chrono::milliseconds stopPollInterval{5};

// State of the request that the current thread is reading; each connection has its own thread.
struct request_state
{
    MHD_Connection *connection = nullptr;
    std::string target;
    bool reading = false; // Set from the request line until onRequest() is called.
};

thread_local request_state currentRequest;

int socketOf(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *const info =
            MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info == nullptr ? -1 : info->connect_fd;
}

MHD_Result appendHeader(void *out, MHD_ValueKind, const char *name, std::size_t nameSize,
                        const char *value, std::size_t valueSize)
{
    static_cast<std::vector<http_header> *>(out)->push_back(
            {std::string(name, nameSize), std::string(value == nullptr ? "" : value, valueSize)});
    return MHD_YES;
}

// Reads the headers from libmicrohttpd, because ulfius keeps only one header of each name.
std::vector<http_header> currentHeaders()
{
    std::vector<http_header> headers;
    headers.reserve(16);
    MHD_get_connection_values_n(currentRequest.connection, MHD_HEADER_KIND, &appendHeader,
                                &headers);
    return headers;
}

std::size_t headerBytes(const std::vector<http_header> &headers)
{
    std::size_t size = 0;
    for (const http_header &header : headers)
        size += header.name.size() + header.value.size() + 4; // 4 for the colon, space, CR and LF.
    return size;
}

// Returns whether more than one header states where the body ends. A proxy and this server could
// then choose different ends, which allows request smuggling.
bool isBodyAmbiguous(const std::vector<http_header> &headers)
{
    std::size_t lengths = 0;
    std::size_t encodings = 0;
    for (const http_header &header : headers) {
        lengths += equalHeaderNames(header.name, "content-length") ? 1 : 0;
        encodings += equalHeaderNames(header.name, "transfer-encoding") ? 1 : 0;
    }
    return lengths + encodings > 1;
}

// Returns the name with the case of some letters changed; each number selects other letters.
std::string caseVariant(std::string name, std::size_t number)
{
    for (char &c : name) {
        const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        if (!letter)
            continue;
        if ((number & 1U) != 0)
            c = static_cast<char>(c ^ 0x20);
        number >>= 1U;
    }
    return name;
}

// Adds a header that may be repeated, e.g. Set-Cookie. The map of ulfius keeps only one value for
// each key but its keys are case-sensitive, unlike header names; each repetition is stored under a
// spelling that differs in case.
void addHeader(_u_map *map, const std::string &name, const std::string &value)
{
    std::string key = name;
    for (std::size_t i = 1; u_map_has_key(map, key.c_str()) != 0; ++i)
        key = caseVariant(name, i);
    u_map_put(map, key.c_str(), value.c_str());
}

void fillResponse(const http_response &response, bool close, _u_response *ulfiusResponse)
{
    ulfiusResponse->status = response.status;
    for (const http_header &header : response.headers) {
        if (!isHopHeader(header.name))
            addHeader(ulfiusResponse->map_header, header.name, header.value);
    }
    if (close)
        addHeader(ulfiusResponse->map_header, "Connection", "close");
    const std::string_view body = bodyView(response.body);
    if (!body.empty())
        ulfius_set_binary_body_response(ulfiusResponse, static_cast<unsigned>(response.status),
                                        body.data(), body.size());
}

// Writes an error response directly to the socket, because libmicrohttpd sends no response to a
// request that ended early. A caller that closed only its sending side still receives it.
void sendErrorDirectly(int socket, error_kind kind)
{
    const http_response response = errorReply(kind);
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " Error\r\n";
    for (const http_header &header : response.headers)
        text += header.name + ": " + header.value + "\r\n";
    const std::string_view body = bodyView(response.body);
    text += "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    text += body;
    static_cast<void>(send(socket, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
}

} // namespace

class caller_server::implementation
{
public:
    implementation(const caller_server_options &options, handler handle)
        : m_options(options)
        , m_handle(std::move(handle))
        , m_listenSocket(internal::openListenSocket(options.address, options.port))
        , m_port(internal::boundPort(m_listenSocket))
    {
        ulfius_init_instance(&m_instance, m_port, nullptr, nullptr);
        m_instance.max_post_body_size = m_options.maxBodyBytes + 1;
        m_instance.allowed_post_processor = U_POST_PROCESS_NONE;
        m_instance.check_utf8 = 0;
        ulfius_set_default_endpoint(&m_instance, &implementation::onRequest, this);
        start();
    }
    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;
    ~implementation()
    {
        stopListening();
        ulfius_stop_framework(&m_instance);
        ulfius_clean_instance(&m_instance);
    }

    void stopGracefully()
    {
        stopListening();
        const clock::time_point begin = clock::now();
        for (;;) {
            const clock::duration passed = clock::now() - begin;
            const bool idle = m_activeRequests.load(std::memory_order_relaxed) == 0;
            if (openConnections() == 0 || (idle && passed > idleConnectionGrace)
                || passed > stopTimeout)
                return;
            std::this_thread::sleep_for(stopPollInterval);
        }
    }

    void closeAfterResponses() { m_closeAfterResponses.store(true, std::memory_order_relaxed); }
    std::uint16_t port() const { return m_port; }

private:
    using clock = std::chrono::steady_clock;

    void stopListening()
    {
        if (m_listenSocket < 0)
            return;
        // Closing the socket resets the connections that wait to be accepted. Therefore new
        // connections are blocked first, and the server gets time to accept the waiting ones.
        internal::dropNewConnections(m_listenSocket);
        const clock::time_point begin = clock::now();
        while (internal::hasPendingConnection(m_listenSocket)
               && clock::now() - begin < idleConnectionGrace)
            std::this_thread::sleep_for(stopPollInterval);
        MHD_quiesce_daemon(m_instance.mhd_daemon);
        // The server's thread may still poll the socket.
        std::this_thread::sleep_for(stopPollInterval);
        close(m_listenSocket);
        m_listenSocket = -1;
    }

    unsigned openConnections() const
    {
        const MHD_DaemonInfo *const info =
                MHD_get_daemon_info(m_instance.mhd_daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
        return info == nullptr ? 0 : info->num_connections;
    }

    void start()
    {
        const auto option = [](MHD_OPTION name, std::intptr_t value, void *pointer = nullptr) {
            return MHD_OptionItem{name, value, pointer};
        };
        std::vector<MHD_OptionItem> options = {
                option(MHD_OPTION_NOTIFY_COMPLETED,
                       reinterpret_cast<std::intptr_t>(&implementation::onCompleted), this),
                option(MHD_OPTION_URI_LOG_CALLBACK,
                       reinterpret_cast<std::intptr_t>(&implementation::onRequestLine), this),
                option(MHD_OPTION_LISTEN_SOCKET, m_listenSocket),
                option(MHD_OPTION_STRICT_FOR_CLIENT, 1),
                option(MHD_OPTION_CONNECTION_LIMIT, m_options.maxConnections),
                option(MHD_OPTION_CONNECTION_TIMEOUT, m_options.idleTimeoutSeconds),
                option(MHD_OPTION_THREAD_STACK_SIZE, connectionStackBytes),
                option(MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                       static_cast<std::intptr_t>(m_options.maxHeaderBytes + maxResponseHeaderBytes
                                                  + connectionSpareBytes)),
                option(MHD_OPTION_END, 0)};
        constexpr unsigned flags =
                MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL_INTERNAL_THREAD | MHD_USE_ITC;
        if (ulfius_start_framework_with_mhd_options(&m_instance, flags, options.data()) != U_OK) {
            close(m_listenSocket);
            ulfius_clean_instance(&m_instance);
            throw std::runtime_error("the HTTP server did not start");
        }
    }

    // Called by libmicrohttpd after it has read the request line; returns the context for ulfius.
    static void *onRequestLine(void *self, const char *target, MHD_Connection *connection)
    {
        auto *const server = static_cast<implementation *>(self);
        server->m_activeRequests.fetch_add(1, std::memory_order_relaxed);
        currentRequest.connection = connection;
        currentRequest.target = target;
        currentRequest.reading = true;
        return ulfius_uri_logger(&server->m_instance, target);
    }

    static void onCompleted(void *self, MHD_Connection *connection, void **context,
                            MHD_RequestTerminationCode reason)
    {
        auto *const server = static_cast<implementation *>(self);
        if (currentRequest.reading && reason != MHD_REQUEST_TERMINATED_COMPLETED_OK
            && reason != MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN) {
            const auto *const progress = static_cast<connection_info_struct *>(*context);
            const bool headersRead = progress != nullptr && progress->callback_first_iteration == 0;
            sendErrorDirectly(socketOf(connection),
                              headersRead ? error_kind::body_incomplete : error_kind::bad_request);
        }
        currentRequest.reading = false;
        mhd_request_completed(&server->m_instance, connection, context, reason);
        server->m_activeRequests.fetch_sub(1, std::memory_order_relaxed);
    }

    static int onRequest(const _u_request *request, _u_response *ulfiusResponse, void *self)
    {
        auto *const server = static_cast<implementation *>(self);
        currentRequest.reading = false;
        std::vector<http_header> headers = currentHeaders();
        http_response response;
        const std::optional<error_kind> error = server->validationError(*request, headers);
        if (error) {
            response = errorReply(*error);
        } else {
            http_request converted{request->http_verb, std::move(currentRequest.target),
                                   std::move(headers), nullptr};
            if (request->binary_body_length > 0)
                converted.body = std::make_shared<const std::string>(
                        static_cast<const char *>(request->binary_body),
                        request->binary_body_length);
            response = server->handle(std::move(converted), {request->client_address,
                                                             socketOf(currentRequest.connection)});
        }
        fillResponse(response,
                     error || server->m_closeAfterResponses.load(std::memory_order_relaxed),
                     ulfiusResponse);
        return U_CALLBACK_COMPLETE;
    }

    http_response handle(http_request request, const caller_connection &connection)
    {
        // An exception must not pass through the C code of the server.
        try {
            return m_handle(std::move(request), connection);
        } catch (const std::exception &) {
            return errorReply(error_kind::internal_error);
        }
    }

    std::optional<error_kind> validationError(const _u_request &request,
                                              const std::vector<http_header> &headers) const
    {
        if (headerBytes(headers) + currentRequest.target.size() > m_options.maxHeaderBytes)
            return error_kind::headers_too_large;
        if (isBodyAmbiguous(headers))
            return error_kind::bad_request;
        if (request.binary_body_length > m_options.maxBodyBytes)
            return error_kind::request_too_large;
        return std::nullopt;
    }

    caller_server_options m_options;
    handler m_handle;
    int m_listenSocket;
    std::uint16_t m_port;
    _u_instance m_instance{};
    std::atomic<std::size_t> m_activeRequests = 0;
    std::atomic<bool> m_closeAfterResponses = false;
};

caller_server::caller_server(const caller_server_options &options, handler handle)
    : m_implementation(std::make_unique<implementation>(options, std::move(handle)))
{ }

caller_server::~caller_server() = default;

std::uint16_t caller_server::port() const
{
    return m_implementation->port();
}

void caller_server::closeAfterResponses()
{
    m_implementation->closeAfterResponses();
}

void caller_server::stopGracefully()
{
    m_implementation->stopGracefully();
}

} // namespace tamarackridge
