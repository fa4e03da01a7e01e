#pragma once

#include "http.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// \brief Stand-in for the platform's metadata store: topics with one partition, which keep all
/// records.
class store_stand_in
{
public:
    explicit store_stand_in(const endpoint &address);
    store_stand_in(const store_stand_in &) = delete;
    store_stand_in &operator=(const store_stand_in &) = delete;
    ~store_stand_in();

    /// \brief Writes a record as the operator does.
    void put(const std::string &topic, const std::string &key, const std::string &value);
    /// \brief Executes the next write to \a topic that contains \a text only after \a delay, and
    /// never answers it.
    void loseNextWrite(const std::string &topic, const std::string &text, milliseconds delay);
    /// \returns whether that write has been executed.
    bool hasExecutedLostWrite() const { return m_lostWriteExecuted; }

private:
    struct record
    {
        std::string key;
        std::string value;
    };

    void accept();
    void serve(socket_handle connection);
    /// \returns nothing if the request gets no answer.
    std::optional<http_message> respondTo(const http_message &request);
    bool isLost(const std::string &topic, const std::string &body);
    void executeLater(const std::string &topic, const std::string &body);
    std::string newestPage(const std::string &topic, const std::string &after);
    std::string records(const std::string &topic, std::size_t from, milliseconds wait);
    std::string append(const std::string &topic, std::string_view body);

    socket_handle m_listener;
    std::atomic<bool> m_stopped = false;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<record>> m_topics;
    std::string m_lostTopic; ///< Empty if no write is to be lost.
    std::string m_lostText;
    milliseconds m_lostDelay{};
    std::atomic<bool> m_lostWriteExecuted = false;
    std::mutex m_threadsMutex;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

} // namespace review
