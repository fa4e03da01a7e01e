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

/// \brief Appends records to the platform log, one after the other, on a thread of its own.
class log_appender
{
public:
    using completion =
            std::function<void(append_id append, tl::expected<std::int64_t, error_kind> offset)>;

    log_appender(std::string address, completion done);

    void append(append_log item);
    void run(child_context &context);
    void wake();

private:
    std::optional<append_log> next(child_context &context);

    std::string m_address;
    completion m_done;
    std::mutex m_mutex;
    std::condition_variable m_filled;
    std::deque<append_log> m_queue;
    log_client m_client;
};

/// \brief Polls the streams of the platform log that are to be read, one thread for each.
class log_readers
{
public:
    /// Upper bound of the number of streams; node_core reads `config`, `quota` and `members`.
    static constexpr std::size_t mostStreams = 4;

    using receiver = std::function<void(const std::string &stream, const log_page &page)>;

    log_readers(std::string address, receiver receive);

    /// \brief Starts or moves reading; has effect before the next page is delivered.
    void read(const read_log &item);
    void stop(const stop_reading &item);
    /// \brief Reads the stream that is assigned to place \a index.
    void run(std::size_t index, child_context &context);
    void wake();

private:
    struct place
    {
        std::string stream; ///< Empty while the place is free.
        std::int64_t from = 0;
        std::uint64_t generation = 0; ///< Changes with each assignment.
        bool active = false;
    };

    std::optional<place> assignment(std::size_t index, child_context &context);
    /// \returns false if the place was assigned anew since \a read was taken.
    bool advance(std::size_t index, const place &read, const log_page &page);

    std::string m_address;
    receiver m_receive;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::array<place, mostStreams> m_places;
    std::array<std::optional<log_client>, mostStreams> m_clients;
};

} // namespace tamarackridge
