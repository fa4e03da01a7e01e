#pragma once

#include "process/log_client.h"

#include "tamarackridge/src/node/action.h"

#include <array>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace tamarackridge {

class child_context;

/// \brief Appends records to the platform log, one at a time and in order, on a separate thread.
class log_appender
{
public:
    using completion =
            std::function<void(append_id append, tl::expected<std::int64_t, error_kind> offset)>;

    log_appender(std::string address, completion done);

    /// \brief Queues a record; its result is reported from the thread of run().
    void append(append_log item);
    /// \brief Appends until \a context requests a stop and the queue is empty.
    void run(child_context &context);
    void wake();

private:
    std::optional<append_log> next(child_context &context);

    std::string m_address;
    completion m_done;
    std::mutex m_mutex;
    std::condition_variable m_itemQueued;
    std::deque<append_log> m_queue;
    log_client m_client;
};

/// \brief Reads streams of the platform log by long polling, with one thread for each stream.
class log_readers
{
public:
    /// Maximum number of streams; node_core reads `config`, `quota` and `members`.
    static constexpr std::size_t maxStreams = 4;

    using receiver = std::function<void(const std::string &stream, const log_page &page)>;

    log_readers(std::string address, receiver receive);

    /// \brief Starts reading a stream, or continues at another offset if it is being read. Pages
    /// from the previous offset are no longer delivered.
    void read(const read_log &item);
    void stop(const stop_reading &item);
    /// \brief Reads the stream assigned to reader \a index until \a context requests a stop.
    void run(std::size_t index, child_context &context);
    void wake();

private:
    // What one reader reads.
    struct stream_assignment
    {
        std::string stream; ///< Empty: the reader is free.
        std::int64_t nextOffset = 0;
        std::uint64_t generation = 0; ///< Increased by each read() and stop().
        bool active = false;
    };

    /// \returns nothing if the reader is still inactive after a bounded wait.
    std::optional<stream_assignment> waitForAssignment(std::size_t index, child_context &context);
    /// \brief Moves the assignment past the records of \a page.
    /// \returns false if the assignment has changed since \a previous was copied from it.
    bool advance(std::size_t index, const stream_assignment &previous, const log_page &page);

    std::string m_address;
    receiver m_receive;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::array<stream_assignment, maxStreams> m_assignments;
    std::array<std::optional<log_client>, maxStreams> m_clients;
};

} // namespace tamarackridge
