#include "node/line_writer.h"

#include "process/supervisor.h"

#include <cstdio>
#include <memory>
#include <stdexcept>

namespace tamarackridge {
namespace {

constexpr std::size_t maxPendingBytes = std::size_t{4} << 20U;
constexpr std::chrono::milliseconds maxWait{500};

struct file_closer
{
    void operator()(std::FILE *file) const { std::fclose(file); }
};

} // namespace

void line_writer::write(std::string_view line)
{
    if (!enabled())
        return;
    const std::lock_guard lock(m_mutex);
    if (m_pending.size() + line.size() >= maxPendingBytes) {
        m_dropped.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    const bool wasEmpty = m_pending.empty();
    m_pending += line;
    m_pending += '\n';
    if (wasEmpty)
        m_filled.notify_one();
}

void line_writer::run(child_context &context)
{
    const std::unique_ptr<std::FILE, file_closer> file(std::fopen(m_fileName.c_str(), "ae"));
    if (!file)
        throw std::runtime_error("cannot append to " + m_fileName);
    std::string batch;
    bool stopping = false;
    while (!stopping) {
        context.reportProgress();
        {
            std::unique_lock lock(m_mutex);
            m_filled.wait_for(lock, maxWait,
                              [&] { return !m_pending.empty() || context.stopRequested(); });
            stopping = context.stopRequested();
            batch.swap(m_pending);
        }
        if (std::fwrite(batch.data(), 1, batch.size(), file.get()) != batch.size())
            throw std::runtime_error("cannot append to " + m_fileName);
        std::fflush(file.get());
        batch.clear();
    }
}

} // namespace tamarackridge
