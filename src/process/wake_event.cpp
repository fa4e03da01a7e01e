#include "process/wake_event.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <system_error>

namespace tamarackridge {

wake_event::wake_event()
    : m_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (m_descriptor < 0)
        throw std::system_error(errno, std::generic_category(), "eventfd");
}

wake_event::~wake_event()
{
    close(m_descriptor);
}

void wake_event::signal() const
{
    const std::uint64_t one = 1;
    static_cast<void>(write(m_descriptor, &one, sizeof one));
}

bool wake_event::consume() const
{
    std::uint64_t count = 0;
    return read(m_descriptor, &count, sizeof count) == sizeof count;
}

} // namespace tamarackridge
