#include "load/journal_check.h"

#include "load/echo_body.h"

namespace tamarackridge::load {
namespace {

constexpr std::size_t maxExamples = 20;

bool isWrite(std::string_view loadId)
{
    return loadId.starts_with(writeIdPrefix);
}

void count(std::size_t &counter, journal_check_result &report, std::string_view error,
           std::string_view loadId)
{
    ++counter;
    if (report.examples.size() < maxExamples)
        report.examples.push_back(std::string(error) + " " + std::string(loadId));
}

/// Run state `not-run` covers every earlier send of the request, so no execution may have started
/// before it was received, and none at all if the last response carries it.
bool isFalseNotRun(const request_record &request, const execution_history &history,
                   std::int64_t startNs)
{
    if (history.starts == 0 || !request.lastNotRunAt)
        return false;
    return request.state == run_state::not_run
           || history.firstStartNs < startNs + request.lastNotRunAt->count();
}

void checkRequest(const request_record &request, const execution_history &history,
                  std::int64_t startNs, journal_check_result &report)
{
    const bool write = isWrite(request.loadId);
    // The fleet cannot tell that two sends belong to one request if they carry no request id.
    const bool recognisable = write || request.sends == 1;
    if (recognisable && isFalseNotRun(request, history, startNs))
        count(report.falseNotRun, report, "not-run but started:", request.loadId);
    if (request.state == run_state::ran && history.starts == 0) {
        if (history.shed > 0)
            ++report.ranButShed;
        else
            count(report.falseRan, report, "ran but not seen:", request.loadId);
    }
    if (!write)
        return;
    ++report.writesChecked;
    if (request.outcome == request_outcome::complete && history.completed == 0)
        count(report.lostWrites, report, "answered but not completed:", request.loadId);
    if (request.state == run_state::unknown)
        ++report.unknownStates;
}

} // namespace

journal_check_result checkJournals(std::span<const request_record> requests,
                                   const history_index &index, std::int64_t startNs)
{
    journal_check_result report;
    for (const request_record &request : requests) {
        const auto found = index.find(request.loadId);
        checkRequest(request, found == index.end() ? execution_history() : found->second, startNs,
                     report);
    }
    for (const auto &[loadId, history] : index) {
        if (isWrite(loadId) && history.starts > 1)
            count(report.duplicateExecutions, report, "started more than once:", loadId);
    }
    return report;
}

} // namespace tamarackridge::load
