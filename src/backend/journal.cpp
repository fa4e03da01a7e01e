#include "backend/journal.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <stdexcept>

namespace tamarackridge::backend {

journal::journal(const std::string &path, std::string instance)
    : m_instance(std::move(instance))
{
    if (path.empty())
        return;
    m_descriptor = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (m_descriptor < 0)
        throw std::runtime_error("cannot open the journal " + path);
}

journal::~journal()
{
    if (m_descriptor >= 0)
        close(m_descriptor);
}

void journal::write(const journal_entry &entry)
{
    if (m_descriptor < 0)
        return;
    const std::chrono::nanoseconds now = std::chrono::steady_clock::now().time_since_epoch();
    nlohmann::json line{{"event", entry.event},   {"load_id", entry.loadId},
                        {"method", entry.method}, {"path", entry.path},
                        {"instance", m_instance}, {"steady_ns", now.count()}};
    if (!entry.outcome.empty())
        line["outcome"] = entry.outcome;
    const std::string text =
            line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    if (::write(m_descriptor, text.data(), text.size()) != static_cast<ssize_t>(text.size()))
        throw std::runtime_error("cannot write to the journal");
}

} // namespace tamarackridge::backend
