#pragma once

#include "http.h"
#include "record.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace review {

/// \brief Stand-in for the platform's store: keyed topics with one partition each.
class store
{
public:
    store(address listenAddress, record &log)
        : m_address(std::move(listenAddress))
        , m_log(log)
    {
        serveForever(m_address, [this](const tcp_socket &socket) { serve(socket); });
    }

    const address &listenAddress() const { return m_address; }

    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        m_topics[topic].push_back({key, value});
        m_changed.notify_all();
    }

    /// \brief Executes the next append to \a topic only \a delay later, and never answers it.
    void loseNextAppend(const std::string &topic, milliseconds delay)
    {
        const std::lock_guard lock(m_mutex);
        m_lostTopic = topic;
        m_lostDelay = delay;
    }

private:
    struct entry
    {
        std::string key;
        std::string value; ///< Empty when the key was dropped.
    };

    static std::string bigEndian(std::uint64_t value, int size)
    {
        std::string result;
        for (int shift = 8 * (size - 1); shift >= 0; shift -= 8)
            result.push_back(static_cast<char>(value >> static_cast<unsigned>(shift) & 0xffU));
        return result;
    }

    static std::string base64(std::string_view bytes)
    {
        constexpr std::string_view digits =
                "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string result;
        for (std::size_t index = 0; index < bytes.size(); index += 3) {
            const std::string_view part = bytes.substr(index, 3);
            unsigned group = 0;
            for (std::size_t offset = 0; offset < 3; ++offset) {
                const char byte = offset < part.size() ? part[offset] : '\0';
                group = group << 8U | static_cast<unsigned char>(byte);
            }
            for (std::size_t digit = 0; digit < 4; ++digit)
                result += digit > part.size() ? '=' : digits[group >> (18 - 6 * digit) & 0x3fU];
        }
        return result;
    }

    static std::string queryValue(const std::string &target, const std::string &name)
    {
        const std::size_t begin = target.find(name + '=');
        if (begin == std::string::npos)
            return {};
        const std::size_t value = begin + name.size() + 1;
        return target.substr(value, target.find('&', value) - value);
    }

    void serve(const tcp_socket &socket)
    {
        http_reader reader(socket);
        http_message request;
        bool isLost = false;
        while (reader.read(request, {}) == read_end::complete) {
            // A connection on which an answer is lost returns nothing further.
            isLost = isLost || loses(request);
            if (!isLost && !socket.send(handle(request).text()))
                return;
        }
    }

    /// \returns the first record of an append, as text.
    static std::string keyAndValue(const http_message &append)
    {
        constexpr std::size_t lengths = 5; // Of the record and of the key.
        return append.body.size() < lengths ? std::string() : append.body.substr(lengths);
    }

    bool loses(const http_message &request)
    {
        milliseconds delay{};
        {
            const std::lock_guard lock(m_mutex);
            const bool isAppend = request.target().starts_with("/api/log-append");
            if (m_lostTopic.empty() || !isAppend
                || queryValue(request.target(), "topic") != m_lostTopic)
                return false;
            m_lostTopic.clear();
            delay = m_lostDelay;
        }
        std::thread([this, request, delay] {
            std::this_thread::sleep_for(delay);
            handle(request);
            m_log.write("store executes the append late whose answer was lost: "
                        + keyAndValue(request));
        }).detach();
        m_log.write("store loses the answer to an append, executed later: " + keyAndValue(request));
        return true;
    }

    http_message handle(const http_message &request)
    {
        const std::string target = request.target();
        const std::string topic = queryValue(target, "topic");
        if (target.starts_with("/api/log-append"))
            return append(topic, request.body);
        if (target.starts_with("/api/log-newest"))
            return newest(topic, queryValue(target, "after"));
        if (target.starts_with("/api/log-read"))
            return read(topic, std::strtoull(queryValue(target, "from").c_str(), nullptr, 10),
                        milliseconds(std::atoi(queryValue(target, "waitMs").c_str())));
        return response(404, "{}");
    }

    http_message append(const std::string &topic, std::string_view records)
    {
        const std::lock_guard lock(m_mutex);
        std::vector<entry> &list = m_topics[topic];
        const std::size_t offset = list.size();
        while (records.size() > 4) {
            std::size_t length = 0;
            for (char byte : records.substr(0, 4))
                length = length << 8U | static_cast<unsigned char>(byte);
            const std::string_view content = records.substr(4, length);
            const std::size_t keySize = static_cast<unsigned char>(content.front());
            list.push_back({std::string(content.substr(1, keySize)),
                            std::string(content.substr(1 + keySize))});
            records.remove_prefix(4 + length);
        }
        m_changed.notify_all();
        return response(200, "{\"offset\":" + std::to_string(offset)
                                     + ",\"end\":" + std::to_string(list.size()) + '}');
    }

    http_message newest(const std::string &topic, const std::string &after)
    {
        const std::lock_guard lock(m_mutex);
        const std::vector<entry> &list = m_topics[topic];
        std::map<std::string, std::size_t> last;
        for (std::size_t offset = 0; offset < list.size(); ++offset)
            last[list[offset].key] = offset;
        std::string items;
        for (const auto &[key, offset] : last) {
            if (key <= after || list[offset].value.empty())
                continue;
            items.append(items.empty() ? "{" : ",{").append(R"("key":")").append(key);
            items.append(R"(","value":")").append(base64(list[offset].value));
            items.append(R"(","offset":)").append(std::to_string(offset)).append("}");
        }
        return response(200, "{\"items\":[" + items + "],\"hasMore\":false,\"end\":"
                                     + std::to_string(list.size()) + '}');
    }

    http_message read(const std::string &topic, std::size_t from, milliseconds wait)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, wait, [&] { return m_topics[topic].size() > from; });
        const std::vector<entry> &list = m_topics[topic];
        std::string body = bigEndian(list.size(), 8) + bigEndian(0, 8);
        for (std::size_t offset = from; offset < list.size(); ++offset) {
            const auto &[key, value] = list[offset];
            body += bigEndian(1 + key.size() + value.size(), 4) + bigEndian(key.size(), 1) + key
                    + value;
        }
        return response(200, std::move(body));
    }

    address m_address;
    record &m_log;
    std::string m_lostTopic; ///< Empty if no answer is to be lost.
    milliseconds m_lostDelay{};
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<entry>> m_topics;
};

} // namespace review
