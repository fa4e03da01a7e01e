#include "process/log_client.h"

#include "process/curl_loop.h"
#include "process/response_head.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace tamarackridge {
namespace {

using nlohmann::json;

constexpr std::size_t maxResponseBytes = std::size_t{64} << 20U;
constexpr std::chrono::milliseconds maxPollInterval{500};

std::optional<std::int64_t> integerAt(const json &object, const char *name)
{
    if (!object.is_object() || !object.contains(name) || !object[name].is_number_integer())
        return std::nullopt;
    return object[name].get<std::int64_t>();
}

std::optional<log_record> parseRecord(json &object)
{
    const std::optional<std::int64_t> offset = integerAt(object, "offset");
    const std::optional<std::int64_t> age = integerAt(object, "age_ms");
    if (!offset || !age || *age < 0 || !object.contains("data") || !object["data"].is_string())
        return std::nullopt;
    return log_record{*offset, std::chrono::milliseconds(*age),
                      std::move(object["data"].get_ref<std::string &>())};
}

std::optional<log_page> parsePage(json &response)
{
    const std::optional<std::int64_t> first = integerAt(response, "first");
    const std::optional<std::int64_t> next = integerAt(response, "next");
    if (!first || !next || !response.contains("records") || !response["records"].is_array())
        return std::nullopt;
    log_page page{*first, *next, {}};
    for (json &object : response["records"]) {
        std::optional<log_record> record = parseRecord(object);
        // Offsets must be strictly ascending, or a record would be applied twice or out of order.
        const bool ascending =
                record && (page.records.empty() || page.records.back().offset < record->offset);
        if (!ascending)
            return std::nullopt;
        page.records.push_back(std::move(*record));
    }
    return page;
}

std::size_t appendToBody(char *data, std::size_t size, std::size_t count, void *out)
{
    std::string &body = *static_cast<std::string *>(out);
    if (body.size() + size * count > maxResponseBytes)
        return 0;
    body.append(data, size * count);
    return size * count;
}

} // namespace

class log_client::implementation
{
public:
    implementation(std::string address, std::chrono::milliseconds timeout)
        : m_address(std::move(address))
        , m_timeout(timeout)
    {
        m_handle.reset(curl_easy_init());
    }

    // Sends one request: a POST when there is a body, otherwise a GET. The log may delay its
    // response by serverWait, which extends the timeout.
    tl::expected<json, error_kind> exchange(const std::string &path, const std::string *body,
                                            std::chrono::milliseconds serverWait)
    {
        std::string response;
        internal::curl_list headers;
        internal::transmission_guard guard;
        internal::response_head head;
        prepare(path, body, serverWait, headers, response);
        head.install(m_handle.get());
        // libcurl may resend a read, but a resent append could store the record twice.
        if (body != nullptr)
            guard.install(m_handle.get());
        long status = 0;
        if (perform() && head.complete())
            curl_easy_getinfo(m_handle.get(), CURLINFO_RESPONSE_CODE, &status);
        json parsed = json::parse(response, nullptr, false);
        if (status < 200 || status > 299 || parsed.is_discarded())
            return tl::unexpected(error_kind::log_unavailable);
        return parsed;
    }

    void interrupt()
    {
        m_interrupted.store(true, std::memory_order_release);
        m_loop.wake();
    }

private:
    // Returns whether the transfer succeeded. Unlike curl_easy_perform(), it can be interrupted.
    bool perform()
    {
        curl_multi_add_handle(m_loop.handle(), m_handle.get());
        const CURLMsg *message = nullptr;
        int left = 0;
        while (message == nullptr && !m_interrupted.load(std::memory_order_acquire)) {
            m_loop.runTimers();
            m_loop.wait(maxPollInterval);
            message = curl_multi_info_read(m_loop.handle(), &left);
        }
        const bool succeeded = message != nullptr && message->data.result == CURLE_OK;
        curl_multi_remove_handle(m_loop.handle(), m_handle.get());
        return succeeded;
    }

    void prepare(const std::string &path, const std::string *body,
                 std::chrono::milliseconds serverWait, internal::curl_list &headers,
                 std::string &response)
    {
        CURL *const handle = m_handle.get();
        curl_easy_reset(handle);
        internal::setCommonOptions(handle);
        curl_easy_setopt(handle, CURLOPT_URL, (m_address + path).c_str());
        curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(m_timeout.count()));
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                         static_cast<long>((m_timeout + serverWait).count()));
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &appendToBody);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &response);
        if (body == nullptr)
            return;
        internal::appendLine(headers, "Content-Type: application/json");
        internal::appendLine(headers, "Expect:");
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(body->size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body->data());
    }

    std::string m_address;
    std::chrono::milliseconds m_timeout;
    internal::curl_loop m_loop{1};
    internal::curl_easy m_handle;
    std::atomic<bool> m_interrupted = false;
};

log_client::log_client(std::string address, std::chrono::milliseconds timeout)
    : m_implementation(std::make_unique<implementation>(std::move(address), timeout))
{ }

log_client::~log_client() = default;

tl::expected<std::int64_t, error_kind> log_client::append(const std::string &stream,
                                                          const std::string &data)
{
    const tl::expected<json, error_kind> response = m_implementation->exchange(
            "/streams/" + stream + "/records", &data, std::chrono::milliseconds(0));
    if (!response)
        return tl::unexpected(response.error());
    const std::optional<std::int64_t> offset = integerAt(*response, "offset");
    if (!offset)
        return tl::unexpected(error_kind::log_unavailable);
    return *offset;
}

tl::expected<log_page, error_kind> log_client::read(const std::string &stream, std::int64_t from,
                                                    std::size_t max, std::chrono::milliseconds wait)
{
    const std::string path = "/streams/" + stream + "/records?from=" + std::to_string(from)
                             + "&max=" + std::to_string(max)
                             + "&wait_ms=" + std::to_string(wait.count());
    tl::expected<json, error_kind> response = m_implementation->exchange(path, nullptr, wait);
    if (!response)
        return tl::unexpected(response.error());
    std::optional<log_page> page = parsePage(*response);
    if (!page)
        return tl::unexpected(error_kind::log_unavailable);
    return std::move(*page);
}

void log_client::interrupt()
{
    m_implementation->interrupt();
}

} // namespace tamarackridge
