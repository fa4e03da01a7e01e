#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackridge::load {

/// \brief Request ids that one customer has obtained in batches and not used yet.
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

    /// \returns whether a new batch should be asked for now.
    bool wantsBatch(std::chrono::nanoseconds now) const;
    void batchAsked() { m_asked = true; }
    /// \brief Takes the answer `{"ids":["…"]}`; anything else delays the next try.
    void batchAnswered(std::string_view body, std::size_t target, std::chrono::nanoseconds now);

    /// Ids in one batch.
    static constexpr int batchSize = 64;

private:
    std::deque<issued_id> m_ids;
    bool m_asked = false;
    std::chrono::nanoseconds m_notBefore{};
};

} // namespace tamarackridge::load
