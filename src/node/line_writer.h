#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace tamarackridge {

class child_context;

/// \brief Appends lines to a file on a separate thread.
///
/// If the pending lines exceed a size limit, further lines are dropped and counted, so that a slow
/// disk does not delay requests.
class line_writer
{
public:
    /// \param fileName empty: all lines are ignored.
    explicit line_writer(std::string fileName)
        : m_fileName(std::move(fileName))
    { }

    bool enabled() const { return !m_fileName.empty(); }
    void write(std::string_view line);
    std::uint64_t dropped() const { return m_dropped.load(std::memory_order_relaxed); }

    /// \brief Writes pending lines until \a context requests a stop; lines that are pending then
    /// are still written.
    void run(child_context &context);
    /// \brief Wakes run().
    void wake() { m_filled.notify_one(); }

private:
    std::string m_fileName;
    std::mutex m_mutex;
    std::condition_variable m_filled;
    std::string m_pending;
    std::atomic<std::uint64_t> m_dropped = 0;
};

} // namespace tamarackridge
