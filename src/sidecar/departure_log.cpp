#include "sidecar/departure_log.h"

#include "process/monotonic_time.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace tamarackridge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A backend server takes an acknowledgement that comes later than a second for none.
constexpr duration confirmationTimeout = milliseconds(800);

seconds unixTime()
{
    return std::chrono::duration_cast<seconds>(std::chrono::system_clock::now().time_since_epoch());
}

/// \brief Calls the handlers of the waiters for which \a ends holds; the others stay.
template <typename Waiter, typename Predicate>
void endWaiters(std::vector<Waiter> &waiters, bool recorded, Predicate ends)
{
    for (Waiter &waiting : std::exchange(waiters, {})) {
        if (ends(waiting))
            waiting.done(recorded);
        else
            waiters.push_back(std::move(waiting));
    }
}

} // namespace

departure_log::departure_log(platform_gateway &platform, std::string node, random_source &random,
                             departure_callbacks callbacks)
    : m_platform(platform)
    , m_node(std::move(node))
    , m_random(random)
    , m_callbacks(std::move(callbacks))
{ }

void departure_log::start()
{
    read();
}

void departure_log::recordFailure()
{
    ++m_errors;
    m_retryAt = monotonicNow() + m_retryDelay.next();
}

void departure_log::read()
{
    m_reading = true;
    m_platform.listDepartures(
            [this](const tl::expected<std::vector<stored_departure>, store_error> &list) {
                m_reading = false;
                if (!list) {
                    recordFailure();
                    return;
                }
                m_retryDelay.reset();
                takeList(*list);
            });
}

void departure_log::takeList(const std::vector<stored_departure> &list)
{
    const seconds now = unixTime();
    std::vector<std::string> expired;
    for (const stored_departure &item : list) {
        const seconds expiresAt(item.expiresAt);
        // The clocks of VMs differ.
        if (expiresAt + departureRetention < now)
            expired.push_back(item.departure.instance);
        if (item.node != m_node || expiresAt <= now)
            continue;
        m_found.push_back(item.departure);
        const time_point begin = monotonicNow();
        m_entries.try_emplace(item.departure.instance,
                              entry{item.departure, begin,
                                    begin + std::min(expiresAt - now, departureRetention), 0, false,
                                    true});
    }
    eraseOneOf(expired);
    m_readEra = m_platform.era();
    reportIfRead();
}

void departure_log::setFirstEra(store_era era)
{
    m_firstEra = era;
    reportIfRead();
}

void departure_log::reportIfRead()
{
    if (m_readEra && m_firstEra)
        m_callbacks.read({std::exchange(m_found, {}), *m_readEra == *m_firstEra});
}

void departure_log::eraseOneOf(const std::vector<std::string> &expired)
{
    if (expired.empty())
        return;
    m_platform.eraseDeparture(expired[m_random.below(expired.size())],
                              [this](const tl::expected<std::monostate, store_error> &result) {
                                  m_errors += result ? 0 : 1;
                              });
}

void departure_log::record(const server_departure &departure)
{
    entry &item = m_entries[departure.instance];
    item.departure = departure;
    item.beganAt = monotonicNow();
    item.expiresAt = item.beganAt + departureRetention;
    ++item.revision;
    item.recorded = false;
    if (!item.writing)
        write(item);
}

void departure_log::write(entry &item)
{
    item.writing = true;
    const std::int64_t expiresAt = (unixTime() + departureRetention).count();
    m_platform.putDeparture({m_node, item.departure, expiresAt},
                            [this, instance = item.departure.instance, revision = item.revision](
                                    const tl::expected<std::monostate, store_error> &result) {
                                written(instance, revision, result.has_value());
                            });
}

void departure_log::written(const std::string &instance, std::uint32_t revision, bool succeeded)
{
    if (!succeeded)
        recordFailure();
    const auto found = m_entries.find(instance);
    if (found == m_entries.end())
        return;
    entry &item = found->second;
    item.writing = false;
    if (!succeeded)
        return;
    m_retryDelay.reset();
    if (revision != item.revision) {
        write(item);
        return;
    }
    item.recorded = true;
    m_callbacks.recorded(item.departure, monotonicNow() - item.beganAt);
    endWaiters(m_waiters, true,
               [&instance](const waiter &item) { return item.instance == instance; });
}

void departure_log::whenRecorded(const std::string &instance,
                                 std::function<void(bool recorded)> done)
{
    const auto found = m_entries.find(instance);
    if (found == m_entries.end() || found->second.recorded)
        done(true);
    else
        m_waiters.push_back({instance, monotonicNow() + confirmationTimeout, std::move(done)});
}

void departure_log::storeRestored()
{
    for (auto &[instance, item] : m_entries) {
        ++item.revision;
        item.recorded = false;
        if (!item.writing)
            write(item);
    }
}

void departure_log::sweep(time_point now)
{
    endWaiters(m_waiters, false, [now](const waiter &item) { return now >= item.until; });
    if (now < m_retryAt)
        return;
    if (!m_readEra && !m_reading)
        read();
    for (auto item = m_entries.begin(); item != m_entries.end();) {
        if (now >= item->second.expiresAt && !item->second.writing) {
            eraseOneOf({item->first});
            item = m_entries.erase(item);
            continue;
        }
        if (!item->second.recorded && !item->second.writing)
            write(item->second);
        ++item;
    }
}

std::size_t departure_log::unrecorded() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
            m_entries, [](const auto &item) { return !item.second.recorded; }));
}

} // namespace tamarackridge
