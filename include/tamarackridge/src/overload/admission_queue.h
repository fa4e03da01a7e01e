#pragma once

#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/overload/service_time_estimator.h"
#include "tamarackridge/src/overload/shed_control.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace tamarackridge {

namespace internal {
class waiting_set;
} // namespace internal

/// \brief Settings of an admission_queue.
struct admission_queue_options
{
    std::uint32_t capacity = 1024; ///< Storage for this many entries is allocated at once.
    /// While the queue stays long it is kept to the entries that run within this time.
    duration maxDelay = std::chrono::milliseconds(100);
    std::uint32_t minLength = 8; ///< The queue is not kept shorter than this.
    shed_control_options shed;
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
enum class admission : std::uint8_t {
    admitted,
    admitted_evicting, ///< Admitted; a less important entry is refused instead.
    refused, ///< The entry is not in the queue.
};

/// \brief Answer of admission_queue::enqueue.
struct admission_result
{
    admission kind = admission::refused;
    std::uint64_t evicted = 0; ///< Set with `admitted_evicting`.
    /// Set with `refused` when the deadline cannot be met; otherwise the rank is shed, or the queue
    /// is full of more important entries.
    bool deadlineUnreachable = false;
};

/// \brief Bounded queue in front of the concurrency limit.
///
/// Entries leave by rank, then by the age of their whole call chain: a request that was admitted
/// at the top of a chain is not dropped further down in favour of a newer one. No operation
/// allocates memory, apart from takeExpired() when \a out has to grow.
///
/// \code
/// admission_queue queue;
/// const admission_result result = queue.enqueue(entry, now);
/// while (limit.inFlight() < limit.limit()) {
///     const std::optional<std::uint64_t> id = queue.popReady(now);
///     if (!id)
///         break;
///     limit.tryAcquire();
///     run(*id);
/// }
/// queue.takeExpired(now, dropped); // refuse these with `deadline_exceeded`
/// \endcode
/// \sa shed_control, concurrency_limit
class admission_queue
{
public:
    explicit admission_queue(const admission_queue_options &options = {});
    admission_queue(const admission_queue &) = delete;
    admission_queue &operator=(const admission_queue &) = delete;
    ~admission_queue();

    admission_result enqueue(const queue_entry &entry, time_point now);
    /// \returns the entry that is to run next, if any; never one whose deadline cannot be met.
    std::optional<std::uint64_t> popReady(time_point now);
    /// \brief Appends the entries that were dropped because their deadline cannot be met, here or
    /// in an earlier call of enqueue() or popReady(). To be called after those and on every tick.
    void takeExpired(time_point now, std::vector<std::uint64_t> &out);
    /// \brief Removes a cancelled entry.
    /// \returns false when it was not waiting.
    bool remove(std::uint64_t id);

    /// \brief Tells how long a run took that was not cancelled.
    void observeServiceTime(duration latency, time_point now) { m_service.observe(latency, now); }

    /// \returns the lowest rank still admitted, 0 when everything is.
    std::uint8_t shedThreshold(time_point now);

    std::uint32_t size() const;

private:
    void dropHopeless(time_point now);
    void observeDelay(time_point now);
    std::uint32_t allowedLength(time_point now) const;

    admission_queue_options m_options;
    std::unique_ptr<internal::waiting_set> m_waiting;
    std::vector<std::uint64_t> m_dropped;
    service_time m_service;
    shed_control m_shed;
};

} // namespace tamarackridge
