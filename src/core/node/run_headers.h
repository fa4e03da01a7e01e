#pragma once

#include "core/node/trace.h"
#include "tamarackridge/src/base/http_message.h"
#include "tamarackridge/src/ledger/handle_table.h"
#include "tamarackridge/src/node/action.h"

#include <cstdint>
#include <vector>

namespace tamarackridge::internal {

/// \brief A run that is about to start on the local backend server.
struct starting_run
{
    run_id run = 0;
    const request_context &context;
    trace_context span;
    time_point deadline;
    time_point chainStart;
};

/// \brief Adds the headers that a node sends to its backend server with a request, and counts the
/// attempts of its onward calls.
class run_headers
{
public:
    run_headers() = default;
    run_headers(const run_headers &) = delete;
    run_headers &operator=(const run_headers &) = delete;
    virtual ~run_headers() = default;

    /// \brief Appends the headers for \a run to \a headers, which come from the caller.
    virtual void open(const starting_run &run, time_point now,
                      std::vector<http_header> &headers) = 0;
    /// \brief Must be called when the run has ended.
    /// \param attempts the attempts that the dispatch allowed.
    /// \returns the attempts that the run did not use.
    virtual std::uint32_t close(run_id run, std::uint32_t attempts) = 0;
};

/// \brief Gives each run a handle, which identifies its onward calls.
class handle_headers final : public run_headers
{
public:
    explicit handle_headers(handle_table &handles)
        : m_handles(handles)
    { }

    void open(const starting_run &run, time_point now, std::vector<http_header> &headers) override;
    std::uint32_t close(run_id run, std::uint32_t attempts) override;

private:
    handle_table &m_handles;
};

} // namespace tamarackridge::internal
