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

private:
    struct record
    {
        std::string key;
        std::string value;
    };

    void accept();
    void serve(socket_handle connection);
    http_message respondTo(const http_message &request);
    std::string newestPage(const std::string &topic, const std::string &after);
    std::string records(const std::string &topic, std::size_t from, milliseconds wait);
    std::string append(const std::string &topic, std::string_view body);

    socket_handle m_listener;
    std::atomic<bool> m_stopped = false;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<record>> m_topics;
    std::mutex m_threadsMutex;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

} // namespace review
