#include "process/http_client.h"

#include "process/curl_loop.h"
#include "process/hop_headers.h"
#include "process/http_exchange.h"

#include <deque>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace tamarackridge {
namespace {

struct submission
{
    std::uint64_t id = 0;
    http_target target;
    http_request request;
    std::chrono::nanoseconds timeout{};
};

struct cancellation
{
    std::uint64_t id = 0;
};

using command = std::variant<submission, cancellation>;

} // namespace

class http_client::implementation
{
public:
    implementation(http_client_options options, completion onCompletion)
        : m_options(options)
        , m_onCompletion(std::move(onCompletion))
        , m_loop(options.maxIdleConnections)
    { }
    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;
    ~implementation()
    {
        for (const auto &[id, exchange] : m_exchanges)
            curl_multi_remove_handle(m_loop.handle(), exchange->handle());
    }

    void push(command next)
    {
        bool wake = false;
        {
            const std::lock_guard lock(m_mutex);
            wake = m_commands.empty();
            m_commands.push_back(std::move(next));
        }
        if (wake)
            m_loop.wake();
    }

    void wake() const { m_loop.wake(); }

    void runOnce(std::chrono::milliseconds maxWait)
    {
        m_loop.wait(maxWait);
        processCommands();
        m_loop.runTimers();
        completeFinishedTransfers();
    }

private:
    void processCommands()
    {
        while (std::optional<command> next = nextCommand()) {
            if (auto *const request = std::get_if<submission>(&*next))
                startExchange(*request);
            else
                cancelExchange(std::get<cancellation>(*next).id);
        }
    }

    // Removes one command at a time, so that no command is repeated or lost when a completion
    // throws.
    std::optional<command> nextCommand()
    {
        const std::lock_guard lock(m_mutex);
        if (m_commands.empty())
            return std::nullopt;
        std::optional<command> next(std::move(m_commands.front()));
        m_commands.pop_front();
        return next;
    }

    void startExchange(submission &request)
    {
        const std::uint64_t id = request.id;
        if (!isWellFormed(request.request)) {
            http_outcome outcome;
            outcome.response = tl::unexpected(error_kind::bad_request);
            m_onCompletion(id, std::move(outcome));
            return;
        }
        if (request.target.host.empty()) {
            m_onCompletion(id, http_outcome{});
            return;
        }
        auto exchange = std::make_unique<internal::http_exchange>(id, std::move(request.target),
                                                                  std::move(request.request),
                                                                  acquireHandle(), m_options);
        exchange->prepare(request.timeout);
        curl_multi_add_handle(m_loop.handle(), exchange->handle());
        m_exchanges.insert_or_assign(id, std::move(exchange));
    }

    void cancelExchange(std::uint64_t id)
    {
        const auto found = m_exchanges.find(id);
        if (found == m_exchanges.end())
            return;
        const std::unique_ptr<internal::http_exchange> exchange = std::move(found->second);
        m_exchanges.erase(found);
        // libcurl closes the connection of a transfer that is removed before it has finished.
        curl_multi_remove_handle(m_loop.handle(), exchange->handle());
        m_onCompletion(id, exchange->abort(error_kind::cancelled));
    }

    void completeFinishedTransfers()
    {
        int left = 0;
        while (const CURLMsg *const message = curl_multi_info_read(m_loop.handle(), &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            const CURLcode result = message->data.result;
            internal::http_exchange *finished = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &finished);
            curl_multi_remove_handle(m_loop.handle(), finished->handle());
            const auto found = m_exchanges.find(finished->id());
            const std::unique_ptr<internal::http_exchange> exchange = std::move(found->second);
            m_exchanges.erase(found);
            http_outcome outcome = exchange->finish(result);
            m_idleHandles.push_back(exchange->releaseHandle());
            m_onCompletion(exchange->id(), std::move(outcome));
        }
    }

    internal::curl_easy acquireHandle()
    {
        if (m_idleHandles.empty())
            return internal::curl_easy(curl_easy_init());
        internal::curl_easy handle = std::move(m_idleHandles.back());
        m_idleHandles.pop_back();
        return handle;
    }

    http_client_options m_options;
    completion m_onCompletion;
    internal::curl_loop m_loop;
    std::unordered_map<std::uint64_t, std::unique_ptr<internal::http_exchange>> m_exchanges;
    std::vector<internal::curl_easy> m_idleHandles;
    std::mutex m_mutex;
    std::deque<command> m_commands;
};

http_client::http_client(http_client_options options, completion onCompletion)
    : m_implementation(std::make_unique<implementation>(options, std::move(onCompletion)))
{ }

http_client::~http_client() = default;

void http_client::submit(std::uint64_t id, const http_target &target, http_request request,
                         std::chrono::nanoseconds timeout)
{
    m_implementation->push(submission{id, target, std::move(request), timeout});
}

void http_client::cancel(std::uint64_t id)
{
    m_implementation->push(cancellation{id});
}

void http_client::wake() const
{
    m_implementation->wake();
}

void http_client::runOnce(std::chrono::milliseconds maxWait)
{
    m_implementation->runOnce(maxWait);
}

} // namespace tamarackridge
