#pragma once

namespace tamarackridge {

/// \brief Owns an eventfd that wakes a thread waiting in poll() or epoll_wait().
class wake_event
{
public:
    wake_event();
    wake_event(const wake_event &) = delete;
    wake_event &operator=(const wake_event &) = delete;
    ~wake_event();

    int descriptor() const { return m_descriptor; }
    /// \brief Makes the descriptor readable.
    void signal() const;
    /// \brief Resets the descriptor, so that it is not readable until the next signal().
    /// \returns whether it was readable.
    bool consume() const;

private:
    int m_descriptor;
};

} // namespace tamarackridge
