#pragma once

namespace tamarackridge {

/// \brief Wakes a thread that waits in poll(); an eventfd with an owner.
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
    /// \brief Makes the descriptor unreadable again.
    /// \returns whether it was readable.
    bool consume() const;

private:
    int m_descriptor;
};

} // namespace tamarackridge
