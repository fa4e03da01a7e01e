#pragma once

#include "tamarackridge/src/base/identity.h"
#include "tamarackridge/src/base/time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace tamarackridge {

/// \brief Number of the last frame that was received from each sender process.
///
/// A sender repeats frames after a reset, and a dispatch that is received twice would run twice. So
/// a sender's number is kept while it can repeat frames. When the table is full, the sender that
/// has been silent for longest is forgotten.
///
/// \code
/// received_frames frames(16 * 1024);
/// if (frames.advance(sender, number, now))
///     …; // the frame is new
/// \endcode
class received_frames
{
public:
    explicit received_frames(std::size_t maxSenders)
        : m_maxSenders(maxSenders)
    { }

    /// \returns the number of the last frame from \a sender; 0 if none is known.
    std::uint64_t lastOf(incarnation_id sender) const;
    /// \brief Records a frame. \returns false if it, or a later one, was received before.
    bool advance(incarnation_id sender, std::uint64_t number, time_point now);

private:
    struct entry
    {
        std::uint64_t number = 0;
        time_point receivedAt;
    };
    void forgetLongestSilent();

    std::size_t m_maxSenders;
    std::unordered_map<incarnation_id, entry> m_entries;
};

} // namespace tamarackridge
