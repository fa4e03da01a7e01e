#include "node/log_workers.h"

#include "process/log.h"
#include "process/supervisor.h"

#include <algorithm>
#include <random>

namespace tamarackridge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds maxIdleWait{500};
// How long the log may delay an empty response. Each response confirms the log's end, so this has
// to be well below the minimum of max_unconfirmed_s, which is 10 s.
constexpr milliseconds longPollTimeout{2000};
constexpr std::size_t maxRecordsPerRead = 256;
constexpr milliseconds initialBackoff{100};
constexpr milliseconds maxBackoff{5000};

// Exponential backoff with jitter, so that the nodes of a fleet do not all reconnect to the log at
// the same time.
class backoff
{
public:
    milliseconds next()
    {
        m_ceiling = std::min(m_ceiling * 2, maxBackoff);
        std::uniform_int_distribution<std::int64_t> spread(m_ceiling.count() / 2,
                                                           m_ceiling.count());
        return milliseconds(spread(m_engine));
    }
    void reset() { m_ceiling = initialBackoff; }

private:
    milliseconds m_ceiling = initialBackoff;
    std::minstd_rand m_engine{std::random_device{}()};
};

} // namespace

log_appender::log_appender(std::string address, completion done)
    : m_address(std::move(address))
    , m_done(std::move(done))
    , m_client(m_address)
{ }

void log_appender::append(append_log item)
{
    {
        const std::lock_guard lock(m_mutex);
        m_queue.push_back(std::move(item));
    }
    m_itemQueued.notify_one();
}

std::optional<append_log> log_appender::next(child_context &context)
{
    std::unique_lock lock(m_mutex);
    m_itemQueued.wait_for(lock, maxIdleWait,
                          [&] { return !m_queue.empty() || context.stopRequested(); });
    if (m_queue.empty())
        return std::nullopt;
    append_log item = std::move(m_queue.front());
    m_queue.pop_front();
    return item;
}

void log_appender::run(child_context &context)
{
    // The queue is emptied before a stop: the last appends of a leaving node release the quota
    // slots that it holds.
    for (;;) {
        context.reportProgress();
        const std::optional<append_log> item = next(context);
        if (item)
            m_done(item->append, m_client.append(item->stream, item->data));
        else if (context.stopRequested())
            return;
    }
}

void log_appender::wake()
{
    m_itemQueued.notify_one();
}

log_readers::log_readers(std::string address, receiver receive)
    : m_address(std::move(address))
    , m_receive(std::move(receive))
{
    for (std::optional<log_client> &client : m_clients)
        client.emplace(m_address);
}

void log_readers::read(const read_log &item)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto assigned = std::find_if(m_assignments.begin(), m_assignments.end(),
                                           [&](const stream_assignment &p) {
                                               return p.stream == item.stream || p.stream.empty();
                                           });
        if (assigned == m_assignments.end()) {
            logLine(log_level::error, "too many log streams", {{"stream", item.stream}});
            return;
        }
        *assigned = {item.stream, item.from, assigned->generation + 1, true};
    }
    m_changed.notify_all();
}

void log_readers::stop(const stop_reading &item)
{
    const std::lock_guard lock(m_mutex);
    for (stream_assignment &assigned : m_assignments) {
        if (assigned.stream == item.stream) {
            assigned.active = false;
            ++assigned.generation;
        }
    }
}

std::optional<log_readers::stream_assignment> log_readers::waitForAssignment(std::size_t index,
                                                                             child_context &context)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, maxIdleWait,
                       [&] { return m_assignments[index].active || context.stopRequested(); });
    return m_assignments[index].active ? std::optional(m_assignments[index]) : std::nullopt;
}

bool log_readers::advance(std::size_t index, const stream_assignment &previous,
                          const log_page &page)
{
    const std::lock_guard lock(m_mutex);
    stream_assignment &assigned = m_assignments[index];
    if (assigned.generation != previous.generation)
        return false;
    // If the log has removed old records, reading continues at the oldest record that exists.
    assigned.nextOffset = page.records.empty() ? std::max(previous.nextOffset, page.first)
                                               : page.records.back().offset + 1;
    return true;
}

void log_readers::run(std::size_t index, child_context &context)
{
    backoff delay;
    while (!context.stopRequested()) {
        context.reportProgress();
        const std::optional<stream_assignment> assignment = waitForAssignment(index, context);
        if (!assignment)
            continue;
        const tl::expected<log_page, error_kind> page = m_clients[index]->read(
                assignment->stream, assignment->nextOffset, maxRecordsPerRead, longPollTimeout);
        if (!page) {
            context.waitFor(delay.next());
            continue;
        }
        delay.reset();
        if (advance(index, *assignment, *page))
            m_receive(assignment->stream, *page);
    }
}

void log_readers::wake()
{
    for (std::optional<log_client> &client : m_clients)
        client->interrupt();
    m_changed.notify_all();
}

} // namespace tamarackridge
