#include "node/log_workers.h"

#include "process/log.h"
#include "process/supervisor.h"

#include <algorithm>
#include <random>

namespace tamarackridge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds longestIdle{500};
// How long the log may hold back an empty answer. Each answer confirms the log's end, and the
// smallest max_unconfirmed_s is 10 s.
constexpr milliseconds longPoll{2000};
constexpr std::size_t recordsAtOnce = 256;
constexpr milliseconds firstBackoff{100};
constexpr milliseconds longestBackoff{5000};

// Doubling delays with jitter, so that the nodes of a fleet don't return to the log all at once.
class backoff
{
public:
    milliseconds next()
    {
        m_ceiling = std::min(m_ceiling * 2, longestBackoff);
        std::uniform_int_distribution<std::int64_t> spread(m_ceiling.count() / 2,
                                                           m_ceiling.count());
        return milliseconds(spread(m_engine));
    }
    void reset() { m_ceiling = firstBackoff; }

private:
    milliseconds m_ceiling = firstBackoff;
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
    m_filled.notify_one();
}

std::optional<append_log> log_appender::next(child_context &context)
{
    std::unique_lock lock(m_mutex);
    m_filled.wait_for(lock, longestIdle,
                      [&] { return !m_queue.empty() || context.stopRequested(); });
    if (m_queue.empty())
        return std::nullopt;
    append_log item = std::move(m_queue.front());
    m_queue.pop_front();
    return item;
}

void log_appender::run(child_context &context)
{
    // A stop waits for the queue: a leaving node's last appends release what it holds.
    for (;;) {
        context.progress();
        const std::optional<append_log> item = next(context);
        if (item)
            m_done(item->append, m_client.append(item->stream, item->data));
        else if (context.stopRequested())
            return;
    }
}

void log_appender::wake()
{
    m_filled.notify_one();
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
        const auto assigned = std::find_if(m_places.begin(), m_places.end(), [&](const place &p) {
            return p.stream == item.stream || p.stream.empty();
        });
        if (assigned == m_places.end()) {
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
    for (place &assigned : m_places) {
        if (assigned.stream == item.stream) {
            assigned.active = false;
            ++assigned.generation;
        }
    }
}

std::optional<log_readers::place> log_readers::assignment(std::size_t index, child_context &context)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, longestIdle,
                       [&] { return m_places[index].active || context.stopRequested(); });
    return m_places[index].active ? std::optional(m_places[index]) : std::nullopt;
}

bool log_readers::advance(std::size_t index, const place &read, const log_page &page)
{
    const std::lock_guard lock(m_mutex);
    place &assigned = m_places[index];
    if (assigned.generation != read.generation)
        return false;
    // Records below the oldest one are gone for good.
    assigned.from =
            page.records.empty() ? std::max(read.from, page.first) : page.records.back().offset + 1;
    return true;
}

void log_readers::run(std::size_t index, child_context &context)
{
    backoff delay;
    while (!context.stopRequested()) {
        context.progress();
        const std::optional<place> read = assignment(index, context);
        if (!read)
            continue;
        const tl::expected<log_page, error_kind> page =
                m_clients[index]->read(read->stream, read->from, recordsAtOnce, longPoll);
        if (!page) {
            context.waitFor(delay.next());
            continue;
        }
        delay.reset();
        if (advance(index, *read, *page))
            m_receive(read->stream, *page);
    }
}

void log_readers::wake()
{
    for (std::optional<log_client> &client : m_clients)
        client->interrupt();
    m_changed.notify_all();
}

} // namespace tamarackridge
