#pragma once

#include <chrono>
#include <cstdio>
#include <mutex>
#include <stdexcept>
#include <string>

namespace review {

using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// \brief Writes what was sent, answered and run, a line for each event, with the time since start.
class record
{
public:
    explicit record(const std::string &fileName)
        : m_file(std::fopen(fileName.c_str(), "w"))
        , m_start(clock_type::now())
    {
        if (m_file == nullptr)
            throw std::runtime_error("cannot write " + fileName);
    }
    record(const record &) = delete;
    record &operator=(const record &) = delete;
    ~record() { static_cast<void>(std::fclose(m_file)); }

    void write(const std::string &text)
    {
        const std::chrono::duration<double> passed = clock_type::now() - m_start;
        const std::lock_guard lock(m_mutex);
        static_cast<void>(std::fprintf(m_file, "%8.3f %s\n", passed.count(), text.c_str()));
        static_cast<void>(std::fflush(m_file));
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file;
    clock_type::time_point m_start;
};

} // namespace review
