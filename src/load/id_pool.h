#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackridge::load {

/// \brief Unused request ids that one customer has obtained in batches.
class id_pool
{
public:
    /// \brief An unused request id.
    struct issued_id
    {
        std::string id;
        std::size_t target = 0; ///< Index of the target that issued it.
    };

    std::optional<issued_id> take();

    /// \returns whether a new batch should be requested now.
    bool needsBatch(std::chrono::nanoseconds now) const;
    void batchRequested() { m_batchPending = true; }
    /// \brief Adds the ids of a response `{"ids":["…"]}`; any other body delays the next request.
    void handleBatchResponse(std::string_view body, std::size_t target,
                             std::chrono::nanoseconds now);

    /// Number of ids in one batch.
    static constexpr int batchSize = 64;

private:
    std::deque<issued_id> m_ids;
    bool m_batchPending = false;
    std::chrono::nanoseconds m_notBefore{};
};

} // namespace tamarackridge::load
