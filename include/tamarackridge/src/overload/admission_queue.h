#pragma once

#include "tamarackridge/src/base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace tamarackridge {

/// \brief Settings of an admission_queue.
struct admission_queue_options
{
    std::uint32_t capacity = 1024;
    duration targetDelay = std::chrono::milliseconds(20);
    duration interval = std::chrono::milliseconds(100);
};

/// \brief A request that waits for a place on the backend server.
struct queue_entry
{
    std::uint64_t id = 0; ///< Unique among the waiting entries.
    std::uint8_t rank = 0; ///< Priority; a higher number is more important.
    time_point chainStart; ///< Now minus the chain age: when the whole call chain began.
    time_point deadline;
};

/// \brief What became of an entry.
enum class admission : std::uint8_t { admitted, refused, admitted_evicting };

/// \brief Answer of admission_queue::enqueue.
struct admission_result
{
    admission kind = admission::refused;
    std::uint64_t evicted = 0; ///< Set with `admitted_evicting`: this entry is refused instead.
};

/// \brief Bounded queue in front of the concurrency limit.
///
/// Entries leave by rank, then by the age of their whole call chain: a request that was admitted
/// at the top of a chain is not dropped further down in favour of a newer one.
///
/// \code
/// admission_queue queue;
/// const admission_result result = queue.enqueue(entry, now);
/// queue.takeExpired(now, dropped); // refuse these with `deadline_exceeded`
/// if (limit.inFlight() < limit.limit())
///     if (std::optional<std::uint64_t> id = queue.popReady(now))
///         run(*id);
/// \endcode
class admission_queue
{
public:
    explicit admission_queue(const admission_queue_options &options = {});

    admission_result enqueue(const queue_entry &entry, time_point now);
    /// \returns the entry that is to run next, if any.
    std::optional<std::uint64_t> popReady(time_point now);
    /// \brief Appends the entries that were dropped since their deadline cannot be met.
    void takeExpired(time_point now, std::vector<std::uint64_t> &out);
    /// \brief Removes a cancelled entry.
    /// \returns false when it was not waiting.
    bool remove(std::uint64_t id);

    /// \brief Tells how long a run took; entries that have less time left are dropped.
    void observeServiceTime(duration latency, time_point now);

    /// \returns the lowest rank still admitted, 0 when everything is.
    std::uint8_t shedThreshold(time_point now);

    std::uint32_t size() const;

private:
    struct waiting
    {
        queue_entry entry;
        time_point since;
    };

    admission_queue_options m_options;
    std::vector<waiting> m_waiting;
    std::uint8_t m_threshold = 0;
};

} // namespace tamarackridge
