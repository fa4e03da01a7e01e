#include "core/node/run_headers.h"

#include "core/node/forwarded_headers.h"

#include <chrono>
#include <string>
#include <utility>

namespace tamarackridge::internal {

void handle_headers::open(const starting_run &run, time_point now,
                          std::vector<http_header> &headers)
{
    constexpr std::size_t addedHeaderCount = 4;
    const request_context &context = run.context;
    running_request running;
    running.run = run.run;
    running.context = context;
    running.context.trace = run.span;
    running.attempts = onward_attempts(context.attempts > 0 ? context.attempts - 1 : 0);
    running.deadline = run.deadline;
    running.chainStart = run.chainStart;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(run.deadline - now);
    headers.reserve(headers.size() + addedHeaderCount);
    headers.push_back({std::string(header::handle), m_handles.open(std::move(running))});
    headers.push_back({std::string(header::deadline), std::to_string(left.count())});
    if (!context.customer.empty())
        headers.push_back({std::string(header::customer), context.customer});
    headers.push_back({std::string(header::traceparent), formatTraceparent(run.span)});
}

std::uint32_t handle_headers::close(run_id run, std::uint32_t attempts)
{
    running_request *running = m_handles.findRun(run);
    if (running == nullptr)
        return attempts;
    const std::uint32_t unused = running->attempts.unused();
    m_handles.close(run);
    return unused;
}

} // namespace tamarackridge::internal
