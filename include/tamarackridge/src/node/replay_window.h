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
/// Numbers may arrive out of order within a window of 1,024. Older numbers are refused, because
/// they can no longer be distinguished from repetitions.
class replay_window
{
public:
    static constexpr std::size_t width = 1024;

    /// \brief Marks \a sequence as seen.
    /// \returns whether \a sequence is new.
    bool accept(std::uint64_t sequence)
    {
        if (m_hasReceived && sequence <= m_highest && m_highest - sequence >= width)
            return false;
        if (!m_hasReceived || sequence > m_highest)
            advanceTo(sequence);
        else if (m_seen.test(sequence % width))
            return false;
        m_seen.set(sequence % width);
        return true;
    }

private:
    void advanceTo(std::uint64_t sequence)
    {
        if (!m_hasReceived || sequence - m_highest >= width) {
            m_seen.reset();
        } else {
            for (std::uint64_t skipped = m_highest + 1; skipped <= sequence; ++skipped)
                m_seen.reset(skipped % width);
        }
        m_highest = sequence;
        m_hasReceived = true;
    }

    std::bitset<width> m_seen;
    std::uint64_t m_highest = 0;
    bool m_hasReceived = false;
};

/// \brief Keeps one replay_window for each sender, in bounded memory.
///
/// If there are more senders than \a capacity, the least recently active one is evicted. The
/// capacity must therefore exceed the number of incarnations that are alive at the same time.
///
/// \code
/// replay_guard guard(8192);
/// if (!guard.accept(sender.incarnation, sequence))
///     return; // Repeated frame.
/// \endcode
class replay_guard
{
public:
    explicit replay_guard(std::size_t capacity)
        : m_capacity(capacity)
    { }

    /// \returns whether \a sequence is new from \a sender.
    bool accept(incarnation_id sender, std::uint64_t sequence)
    {
        const auto found = m_positions.find(sender);
        if (found != m_positions.end()) {
            m_recent.splice(m_recent.begin(), m_recent, found->second);
            return found->second->window.accept(sequence);
        }
        if (m_positions.size() >= m_capacity) {
            m_positions.erase(m_recent.back().sender);
            m_recent.pop_back();
        }
        m_recent.push_front({sender, {}});
        m_positions.emplace(sender, m_recent.begin());
        return m_recent.front().window.accept(sequence);
    }

    std::size_t senders() const { return m_positions.size(); }

private:
    struct sender_window
    {
        incarnation_id sender = 0;
        replay_window window;
    };

    std::size_t m_capacity;
    std::list<sender_window> m_recent; // Most recently active sender first.
    std::unordered_map<incarnation_id, std::list<sender_window>::iterator> m_positions;
};

} // namespace tamarackridge
