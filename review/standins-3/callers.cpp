#include "callers.h"

namespace review {

http_message requestOf(const std::string &method, const std::string &target,
                       const std::string &requestId, milliseconds timeBudget,
                       const std::string &body)
{
    return {method + ' ' + target + " HTTP/1.1",
            {{"Host", deployment::host},
             {"X-Request-Id", requestId},
             {"X-Deadline-Ms", std::to_string(timeBudget.count())},
             {"X-Api-Key", deployment::key}},
            body};
}

kept_callers::kept_callers(const machine &place, std::size_t count, event_record &record)
    : m_place(place)
    , m_record(record)
{
    for (std::size_t number = 0; number < count; ++number)
        m_threads.emplace_back([this, number] { call(number); });
}

kept_callers::~kept_callers()
{
    finish();
}

caller_counts kept_callers::finish()
{
    m_stopped = true;
    for (std::thread &thread : m_threads)
        thread.join();
    m_threads.clear();
    return m_counts;
}

void kept_callers::call(std::size_t number)
{
    constexpr milliseconds timeBudget(6000);
    constexpr milliseconds allowance(500);
    constexpr milliseconds pause(20);
    std::size_t sent = 0;
    while (!m_stopped) {
        const socket_handle connection = connectTo(m_place.outbound);
        if (!connection.valid()) {
            std::this_thread::sleep_for(milliseconds(100));
            continue;
        }
        message_reader reader(connection.get());
        bool isOpen = true;
        for (bool isKept = false; isOpen && !m_stopped; isKept = true) {
            const std::string id =
                    m_place.name + "-c" + std::to_string(number) + '-' + std::to_string(++sent);
            const bool isPost = sent % 2 == 0;
            const http_message request =
                    requestOf(isPost ? "POST" : "GET", (isPost ? "/bookings/" : "/slots/") + id, id,
                              timeBudget, isPost ? "body of " + id : "");
            const steady::time_point deadline = steady::now() + timeBudget + allowance;
            http_message response;
            read_end end = read_end::closed;
            if (sendAll(connection.get(), format(request), deadline))
                end = reader.read(response, deadline);
            add(end, response, id, isKept);
            isOpen = end == read_end::complete && response.header("connection") != "close";
            std::this_thread::sleep_for(pause);
        }
    }
}

void kept_callers::add(read_end end, const http_message &response, const std::string &id,
                       bool isKept)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_counts.sent;
    if (end == read_end::complete && !response.header("X-Response-Seal").empty()) {
        ++m_counts.served;
        return;
    }
    if (end == read_end::complete) {
        ++m_counts.refused;
        m_record.write("caller " + id + " got " + response.firstLine);
    } else if (end == read_end::timeout) {
        ++m_counts.unanswered;
        m_record.write("caller " + id + " got nothing in its time budget");
    } else {
        ++m_counts.closed;
        if (isKept)
            m_counts.closedOnKept.push_back(id);
        m_record.write("caller " + id + " lost its connection"
                       + (isKept ? ", which it had kept" : ""));
    }
}

} // namespace review
