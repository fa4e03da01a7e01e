#include "log/log_server.h"

#include <arpa/inet.h>
#include <spdlog/spdlog.h>
#include <ulfius.h>

#include <exception>

namespace tamarackridge {
namespace {

std::optional<std::string> parameter(const _u_request *request, const char *name)
{
    const char *value = u_map_get(request->map_url, name);
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

std::string requestBody(const _u_request *request)
{
    return {static_cast<const char *>(request->binary_body), request->binary_body_length};
}

int send(_u_response *ulfiusResponse, const http_response &response)
{
    for (const http_header &header : response.headers)
        ulfius_add_header_to_response(ulfiusResponse, header.name.c_str(), header.value.c_str());
    const std::string_view body = bodyView(response.body);
    ulfius_set_binary_body_response(ulfiusResponse, static_cast<unsigned int>(response.status),
                                    body.data(), body.size());
    return U_CALLBACK_COMPLETE;
}

http_response appendRecord(log_service &service, const _u_request *request)
{
    return service.append(parameter(request, "name").value_or(""), requestBody(request));
}

http_response readRecords(log_service &service, const _u_request *request)
{
    return service.read(
            parameter(request, "name").value_or(""),
            {parameter(request, "from"), parameter(request, "max"), parameter(request, "wait_ms")});
}

http_response setFaults(log_service &service, const _u_request *request)
{
    return service.setFaults(requestBody(request));
}

http_response showFaults(log_service &service, const _u_request *)
{
    return service.showFaults();
}

http_response unknownPath(log_service &, const _u_request *)
{
    return {404,
            {{"Content-Type", "application/json"}},
            std::make_shared<const std::string>(
                    R"({"error":"not_found","message":"Expected /streams/{name}/records or /faults."})")};
}

/// \brief Adapts one of the functions above to an ulfius callback, which must not throw.
template <http_response (*handler)(log_service &, const _u_request *)>
int handle(const _u_request *request, _u_response *ulfiusResponse, void *service)
{
    try {
        return send(ulfiusResponse, handler(*static_cast<log_service *>(service), request));
    } catch (const std::exception &error) {
        spdlog::error("request handler failed: {}", error.what());
        return U_CALLBACK_ERROR;
    }
}

} // namespace

struct log_server::instance
{
    _u_instance http{};
    sockaddr_in address{};
    bool initialised = false;
    bool started = false;
    log_service *service = nullptr;
};

log_server::log_server(log_service &service, const std::string &address, std::uint16_t port)
    : m_instance(std::make_unique<instance>())
{
    m_instance->service = &service;
    m_instance->address.sin_family = AF_INET;
    m_instance->address.sin_port = htons(port);
    if (inet_pton(AF_INET, address.c_str(), &m_instance->address.sin_addr) != 1)
        return;
    _u_instance &http = m_instance->http;
    m_instance->initialised =
            ulfius_init_instance(&http, port, &m_instance->address, nullptr) == U_OK;
    if (!m_instance->initialised)
        return;
    // Ulfius truncates longer bodies. The extra byte distinguishes a truncated body from one of the
    // maximum size.
    http.max_post_body_size = service.maxRecordBytes() + 1;
    http.allowed_post_processor = U_POST_PROCESS_NONE;
    ulfius_add_endpoint_by_val(&http, "POST", "/streams", "/:name/records", 0,
                               &handle<appendRecord>, &service);
    ulfius_add_endpoint_by_val(&http, "GET", "/streams", "/:name/records", 0, &handle<readRecords>,
                               &service);
    ulfius_add_endpoint_by_val(&http, "POST", "/faults", nullptr, 0, &handle<setFaults>, &service);
    ulfius_add_endpoint_by_val(&http, "GET", "/faults", nullptr, 0, &handle<showFaults>, &service);
    ulfius_set_default_endpoint(&http, &handle<unknownPath>, &service);
    m_instance->started = ulfius_start_framework(&http) == U_OK;
}

log_server::~log_server()
{
    if (m_instance->started) {
        m_instance->service->close(); // Open long polls would delay the shutdown.
        ulfius_stop_framework(&m_instance->http);
    }
    if (m_instance->initialised)
        ulfius_clean_instance(&m_instance->http);
}

bool log_server::listening() const
{
    return m_instance->started;
}

} // namespace tamarackridge
