#pragma once

#include "http.h"

#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// \brief Writes what was sent, answered and run to a file, with the time since the start.
class event_record
{
public:
    explicit event_record(const std::string &fileName)
        : m_file(fileName)
    { }

    void write(const std::string &line)
    {
        const double seconds = std::chrono::duration<double>(steady::now() - m_start).count();
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_file << std::fixed << seconds << ' ' << line << '\n';
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady::time_point m_start = steady::now();
};

} // namespace review
