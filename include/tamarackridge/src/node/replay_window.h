#pragma once

#include "tamarackridge/src/base/identity.h"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace tamarackridge {

/// \brief Accepts each sequence number of one sender incarnation at most once.
///
/// Numbers may arrive out of order within the last 1,024; older ones are refused, because they can
/// no longer be told from repetitions.
class replay_window
{
public:
    static constexpr std::size_t width = 1024;

    /// \returns whether \a sequence is new; it counts as seen from then on.
    bool accept(std::uint64_t sequence)
    {
        if (m_any && sequence <= m_highest && m_highest - sequence >= width)
            return false;
        if (!m_any || sequence > m_highest)
            advanceTo(sequence);
        else if (m_seen.test(sequence % width))
            return false;
        m_seen.set(sequence % width);
        return true;
    }

private:
    void advanceTo(std::uint64_t sequence)
    {
        if (!m_any || sequence - m_highest >= width) {
            m_seen.reset();
        } else {
            for (std::uint64_t skipped = m_highest + 1; skipped <= sequence; ++skipped)
                m_seen.reset(skipped % width);
        }
        m_highest = sequence;
        m_any = true;
    }

    std::bitset<width> m_seen;
    std::uint64_t m_highest = 0;
    bool m_any = false;
};

/// \brief The windows of all senders, in bounded memory.
///
/// When there are more senders than \a capacity, the one that was silent for longest is forgotten.
/// The capacity must therefore be above the number of incarnations that are alive at a time.
///
/// \code
/// replay_guard guard(8192);
/// if (!guard.accept(sender.life, sequence))
///     return; // A repeated frame.
/// \endcode
class replay_guard
{
public:
    explicit replay_guard(std::size_t capacity)
        : m_capacity(capacity)
    { }

    /// \returns whether \a sender sends \a sequence for the first time.
    bool accept(incarnation_id sender, std::uint64_t sequence)
    {
        const auto found = m_places.find(sender);
        if (found != m_places.end()) {
            m_recent.splice(m_recent.begin(), m_recent, found->second);
            return found->second->window.accept(sequence);
        }
        if (m_places.size() >= m_capacity) {
            m_places.erase(m_recent.back().sender);
            m_recent.pop_back();
        }
        m_recent.push_front({sender, {}});
        m_places.emplace(sender, m_recent.begin());
        return m_recent.front().window.accept(sequence);
    }

    std::size_t senders() const { return m_places.size(); }

private:
    struct sender_window
    {
        incarnation_id sender = 0;
        replay_window window;
    };

    std::size_t m_capacity;
    std::list<sender_window> m_recent; // Last heard first.
    std::unordered_map<incarnation_id, std::list<sender_window>::iterator> m_places;
};

} // namespace tamarackridge
