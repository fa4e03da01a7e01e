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
    std::uint32_t capacity = 1024; ///< Maximum number of entries; storage is preallocated.
    /// While there is a standing queue, its length is limited to the entries that can start within
    /// this time.
    duration maxQueueDelay = std::chrono::milliseconds(100);
    std::uint32_t minLength = 8; ///< Lower bound for the length limit that maxQueueDelay gives.
    shed_control_options shed;
};

/// \brief A request that waits for its turn on the backend server.
struct queue_entry
{
    std::uint64_t id = 0; ///< Unique among the waiting entries.
    std::uint8_t rank = 0; ///< Priority; a higher number is more important.
    time_point chainStart; ///< Start of the entire call chain: now minus the chain age.
    time_point deadline;
};

/// \brief Outcome of admission_queue::enqueue().
enum class admission : std::uint8_t {
    admitted,
    admitted_evicting, ///< Admitted in place of a lower-priority entry, which is refused.
    refused, ///< The entry is not in the queue.
};

/// \brief Result of admission_queue::enqueue().
struct admission_result
{
    admission kind = admission::refused;
    std::uint64_t evicted = 0; ///< Id of the refused entry; set with `admitted_evicting`.
    /// True with `refused` when the deadline cannot be met. A refusal without it means that the
    /// rank is shed, or that the queue is full of entries of higher priority.
    bool deadlineUnreachable = false;
};

/// \brief Bounded queue in front of the concurrency limit.
///
/// Entries are ordered by rank, then by the age of their call chain, so that a request that was
/// admitted at the start of a chain is not dropped further down in favour of a newer one. No
/// operation allocates memory, except takeExpired() when \a out has to grow.
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
    /// \brief Removes the entry that is to run next.
    /// \returns its id, if there is one; never the id of an entry whose deadline cannot be met.
    std::optional<std::uint64_t> popReady(time_point now);
    /// \brief Appends to \a out the entries that were dropped because their deadline cannot be met,
    /// by this call or by an earlier enqueue() or popReady().
    ///
    /// Must be called after those functions and on every tick.
    void takeExpired(time_point now, std::vector<std::uint64_t> &out);
    /// \brief Removes a cancelled entry.
    /// \returns false when \a id was not waiting.
    bool remove(std::uint64_t id);

    /// \brief Records the duration of a run that was not cancelled.
    void observeServiceTime(duration latency, time_point now)
    {
        m_serviceTime.observe(latency, now);
    }

    /// \returns the estimated duration of a run.
    duration serviceTime(time_point now) const { return m_serviceTime.estimate(now); }

    /// \returns the lowest rank that is admitted; 0 when nothing is shed.
    std::uint8_t shedThreshold(time_point now);

    std::uint32_t size() const;

private:
    void dropUnreachableDeadlines(time_point now);
    void observeDelay(time_point now);
    std::uint32_t allowedLength(time_point now) const;

    admission_queue_options m_options;
    std::unique_ptr<internal::waiting_set> m_waiting;
    std::vector<std::uint64_t> m_dropped;
    service_time_estimator m_serviceTime;
    shed_control m_shedControl;
};

} // namespace tamarackridge
