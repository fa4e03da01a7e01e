#pragma once

#include "log/log_store.h"
#include "platform/store_gateway.h"
#include "process/monotonic_time.h"
#include "sidecar/http_listener.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tamarackridge::fakes {

inline std::string queryOf(const std::string &target, const std::string &name)
{
    const std::size_t begin = target.find(name + '=');
    if (begin == std::string::npos)
        return {};
    const std::size_t from = begin + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

inline std::string base64(const std::string &text)
{
    constexpr std::string_view digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t byte = 0; byte < 3; ++byte)
            group = group << 8U
                    | (at + byte < text.size() ? static_cast<unsigned char>(text[at + byte]) : 0U);
        for (std::size_t digit = 0; digit < 4; ++digit)
            out += at + digit > text.size() ? '=' : digits[group >> (18 - 6 * digit) & 63U];
    }
    return out;
}

/// \brief Stand-in for the platform's store: serves its HTTP calls from the records of a log_store.
class platform_store
{
public:
    std::string oddItems; ///< JSON that each list of newest records contains besides its own.
    platform_store(boost::asio::io_context &loop, const socket_address &address)
        : m_loop(loop)
        , m_listener(std::make_unique<http_listener>(
                  loop, address,
                  listener_callbacks{[this](call_id call, const http_request &request) {
                                         calls.push_back(request.target);
                                         receive(call, request);
                                     },
                                     [this](call_id call) { forgetRead(call); },
                                     [this]() -> const caller_limits & { return m_limits; },
                                     [] { return false; }},
                  m_lastCall))
    { }

    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        m_history.push_back({topic, key, value});
        const std::string record = platform::encodeRecord(key, value);
        static_cast<void>(m_log.append(logName(topic), record.substr(4), monotonicNow()));
        m_newest[topic][key] = value;
        m_ends[topic] = end(topic);
        serveWaiting();
    }
    /// \brief Responds to the waiting reads whose records exist; call it when an outage ends.
    void serveWaiting()
    {
        if (unresponsive || failureStatus != 0)
            return;
        std::erase_if(m_waiting, [this](const waiting_read &item) {
            return read(item.call, item.topic, item.from);
        });
    }
    /// \returns the number of records that were written.
    std::size_t writes() const { return m_history.size(); }
    /// \brief Goes back to a copy that was made after the first \a count writes.
    void restore(std::size_t count)
    {
        std::vector<stored_put> kept = std::exchange(m_history, {});
        kept.resize(count);
        ++m_era;
        m_log = log_store(log_limits{});
        m_newest.clear();
        m_ends.clear();
        for (const stored_put &item : kept)
            put(item.topic, item.key, item.value);
    }
    /// \brief Answers the waiting reads with 503.
    void rejectWaiting()
    {
        for (const waiting_read &item : std::exchange(m_waiting, {}))
            respond(item.call, 503, "{}");
    }
    /// \returns the newest value of \a key, or an empty string.
    std::string newest(const std::string &topic, const std::string &key)
    {
        return m_newest[topic][key];
    }
    void trimTopic(const std::string &topic) { m_log.trimBelow(logName(topic), end(topic)); }

    std::vector<std::string> calls;
    std::vector<std::string> waits; ///< How long each read may wait, in milliseconds.
    int failureStatus = 0; ///< Status of every response, if not 0.
    std::string rejectedTopic; ///< Calls about this topic get 503.
    bool unresponsive = false;
    duration responseDelay{}; ///< From the arrival of a request until it is handled.
    std::string bodyOverride; ///< Body of every response, if not empty.

private:
    static constexpr std::size_t maxRecords = 1000;

    struct stored_put
    {
        std::string topic;
        std::string key;
        std::string value;
    };
    struct waiting_read
    {
        call_id call = 0;
        std::string topic;
        std::int64_t from = 0;
    };

    static std::string logName(const std::string &topic)
    {
        return topic.substr(topic.find('.') + 1);
    }
    std::int64_t end(const std::string &topic)
    {
        return m_log.read(logName(topic), 0, maxRecords, monotonicNow()).next;
    }
    static std::string bigEndian(std::int64_t value)
    {
        std::string out;
        for (int shift = 56; shift >= 0; shift -= 8)
            out.push_back(static_cast<char>(value >> shift & 0xff));
        return out;
    }

    void respond(call_id call, int status, std::string body)
    {
        http_response item;
        item.status = status;
        item.headers.push_back({"Store-Era", std::to_string(m_era)});
        item.body = std::make_shared<const std::string>(bodyOverride.empty() ? std::move(body)
                                                                             : bodyOverride);
        m_listener->respond(call, item);
    }

    void receive(call_id call, const http_request &request)
    {
        if (responseDelay == duration::zero()) {
            handle(call, request);
            return;
        }
        const std::shared_ptr<boost::asio::steady_timer> timer =
                std::make_shared<boost::asio::steady_timer>(m_loop, responseDelay);
        timer->async_wait([this, timer, call, request](const boost::system::error_code &error) {
            if (!error)
                handle(call, request);
        });
    }

    void forgetRead(call_id call)
    {
        std::erase_if(m_waiting, [call](const waiting_read &item) { return item.call == call; });
    }

    void handle(call_id call, const http_request &request)
    {
        if (unresponsive)
            return;
        const std::string topic = queryOf(request.target, "topic");
        if (failureStatus != 0 || topic == rejectedTopic)
            respond(call, failureStatus != 0 ? failureStatus : 503, "{}");
        else if (request.target.starts_with("/api/log-newest"))
            respond(call, 200, newestPage(topic, queryOf(request.target, "after")));
        else if (request.target.starts_with("/api/log-append"))
            append(call, topic, std::string(bodyView(request.body)));
        else {
            waits.push_back(queryOf(request.target, "waitMs"));
            readOrWait({call, topic, std::stoll(queryOf(request.target, "from"))},
                       waits.back() != "0");
        }
    }

    void readOrWait(const waiting_read &item, bool mayWait)
    {
        if (read(item.call, item.topic, item.from))
            return;
        if (mayWait)
            m_waiting.push_back(item);
        else
            respond(item.call, 200, bigEndian(end(item.topic)) + bigEndian(0));
    }

    std::string newestPage(const std::string &topic, const std::string &after)
    {
        constexpr std::size_t pageSize = 2;
        std::string items;
        std::size_t count = 0;
        bool more = false;
        for (const auto &[key, value] : m_newest[topic]) {
            if (key <= after && !after.empty())
                continue;
            more = count == pageSize;
            if (more)
                break;
            items += (count++ == 0 ? "" : ",");
            items += R"({"key":")" + key + R"(","value":")" + base64(value) + R"(","offset":0})";
        }
        if (!oddItems.empty())
            items += (count == 0 ? "" : ",") + oddItems;
        return R"({"items":[)" + items + R"(],"hasMore":)" + (more ? "true" : "false")
               + R"(,"end":)" + std::to_string(m_ends[topic]) + "}";
    }

    void append(call_id call, const std::string &topic, const std::string &body)
    {
        const std::optional<platform::record_page> page =
                platform::decodeRecords(std::string(16, '\0') + body);
        for (const platform::keyed_record &record : page->records) {
            if (record.value.empty())
                m_newest[topic].erase(record.key);
            else
                put(topic, record.key, record.value);
        }
        respond(call, 200, R"({"offset":0,"end":1})");
    }

    bool read(call_id call, const std::string &topic, std::int64_t from)
    {
        const stream_page page = m_log.read(logName(topic), from, 100, monotonicNow());
        if (from < page.first || from > end(topic)) {
            respond(call, 410, R"({"first":)" + std::to_string(page.first) + "}");
            return true;
        }
        if (page.records.empty())
            return false;
        std::string body = bigEndian(page.next) + bigEndian(page.first);
        for (const log_record &record : page.records) {
            body += bigEndian(static_cast<std::int64_t>(record.data.size())).substr(4);
            body += record.data;
        }
        respond(call, 200, body);
        return true;
    }

    boost::asio::io_context &m_loop;
    call_id m_lastCall = 0;
    caller_limits m_limits;
    int m_era = 1;
    std::vector<stored_put> m_history;
    log_store m_log{log_limits{}};
    std::map<std::string, std::map<std::string, std::string>> m_newest;
    std::map<std::string, std::int64_t> m_ends;
    std::vector<waiting_read> m_waiting;
    std::unique_ptr<http_listener> m_listener;
};

} // namespace tamarackridge::fakes
