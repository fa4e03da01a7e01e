#pragma once

#include <string>
#include <string_view>

namespace tamarackridge::backend {

/// \brief One line of the execution journal.
struct journal_entry
{
    std::string_view event; ///< `start`, `end` or `shed`.
    std::string_view loadId;
    std::string_view method;
    std::string_view path;
    std::string_view outcome; ///< `done`, `cancelled`, `deadline`, `failed`, `crashed` or a reason.
};

/// \brief Appends one JSON line per event to a file.
///
/// A line is written by a single write(2) call without buffering, so it survives a crash of this
/// process that follows at once.
class journal
{
public:
    /// \param path file to append to; empty for no journal.
    /// \param instance written into every line.
    /// \throws std::runtime_error when the file cannot be opened.
    journal(const std::string &path, std::string instance);
    journal(const journal &) = delete;
    journal &operator=(const journal &) = delete;
    ~journal();

    void write(const journal_entry &entry);

private:
    int m_descriptor = -1;
    std::string m_instance;
};

} // namespace tamarackridge::backend
