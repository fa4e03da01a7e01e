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
    std::string_view outcome; ///< `done`, `cancelled`, `deadline`, `failed`, `crashed`, or the
                              ///< reason of a `shed`.
};

/// \brief Appends one JSON line per event to a file.
///
/// Each line is written unbuffered by a single write(2) call, so it survives a crash of this
/// process immediately afterwards.
class journal
{
public:
    /// \param path file to append to; if empty, no journal is written.
    /// \param instance written into every line.
    /// \throws std::runtime_error if the file cannot be opened.
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
