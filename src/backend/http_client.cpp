#include "backend/http_client.h"

#include "process/response_head.h"

#include <curl/curl.h>

#include <memory>
#include <new>

namespace tamarackridge::backend {
namespace {

/// Interval at which a running request checks whether it is cancelled. curl_easy_perform() would
/// check only once a second, so requests run through a multi handle.
constexpr int cancelCheckIntervalMs = 20;

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *body)
{
    static_cast<std::string *>(body)->append(data, size * count);
    return size * count;
}

using header_list = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

header_list makeHeaders(const std::vector<std::string> &lines)
{
    // An empty Expect header prevents libcurl from waiting for `100 Continue`.
    curl_slist *list = curl_slist_append(nullptr, "Expect:");
    for (const std::string &line : lines)
        list = curl_slist_append(list, line.c_str());
    return {list, &curl_slist_free_all};
}

void setBody(CURL *handle, const client_request &request)
{
    if (request.method == "GET")
        return;
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

} // namespace

/// \brief A libcurl easy handle and the multi handle that holds its connections.
class http_client::session
{
public:
    session()
        : m_easy(curl_easy_init())
        , m_multi(curl_multi_init())
    {
        if (m_easy == nullptr || m_multi == nullptr)
            throw std::bad_alloc();
    }
    session(const session &) = delete;
    session &operator=(const session &) = delete;
    ~session()
    {
        curl_easy_cleanup(m_easy);
        curl_multi_cleanup(m_multi);
    }

    CURL *handle() const { return m_easy; }

    /// \returns whether a complete response arrived before \a isCancelled returned true.
    bool perform(const std::function<bool()> &isCancelled)
    {
        curl_multi_add_handle(m_multi, m_easy);
        int running = 1;
        while (curl_multi_perform(m_multi, &running) == CURLM_OK && running > 0) {
            if (isCancelled && isCancelled())
                break;
            curl_multi_poll(m_multi, nullptr, 0, cancelCheckIntervalMs, nullptr);
        }
        int messagesLeft = 0;
        const CURLMsg *message =
                running > 0 ? nullptr : curl_multi_info_read(m_multi, &messagesLeft);
        const bool complete = message != nullptr && message->data.result == CURLE_OK;
        curl_multi_remove_handle(m_multi, m_easy);
        return complete;
    }

private:
    CURL *m_easy;
    CURLM *m_multi;
};

http_client::http_client()
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
}

http_client::~http_client() = default;

std::optional<client_response> http_client::send(const client_request &request,
                                                 const std::function<bool()> &isCancelled)
{
    std::unique_ptr<session> client = takeSession();
    CURL *handle = client->handle();
    curl_easy_reset(handle);
    const header_list headers = makeHeaders(request.headers);
    client_response response;
    internal::response_head head;
    head.install(handle);
    curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &response.body);
    setBody(handle, request);
    const bool complete = client->perform(isCancelled) && head.complete();
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &response.status);
    returnSession(std::move(client));
    return complete ? std::optional(std::move(response)) : std::nullopt;
}

std::unique_ptr<http_client::session> http_client::takeSession()
{
    const std::lock_guard lock(m_mutex);
    if (m_idle.empty())
        return std::make_unique<session>();
    std::unique_ptr<session> next = std::move(m_idle.back());
    m_idle.pop_back();
    return next;
}

void http_client::returnSession(std::unique_ptr<session> client)
{
    const std::lock_guard lock(m_mutex);
    m_idle.push_back(std::move(client));
}

} // namespace tamarackridge::backend
