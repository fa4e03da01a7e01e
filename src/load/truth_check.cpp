#include "load/truth_check.h"

#include "load/echo_body.h"

namespace tamarackridge::load {
namespace {

constexpr std::size_t mostExamples = 20;

bool isWrite(std::string_view loadId)
{
    return loadId.starts_with(writeMark);
}

void count(std::size_t &counter, truth_report &report, std::string_view error,
           std::string_view loadId)
{
    ++counter;
    if (report.examples.size() < mostExamples)
        report.examples.push_back(std::string(error) + " " + std::string(loadId));
}

/// A `not-run` covers every earlier send of the request, so no execution may have started before
/// it was received, and none at all when it is the last word.
bool isFalseNotRun(const request_record &request, const execution_history &history,
                   std::int64_t startNs)
{
    if (history.starts == 0 || !request.lastNotRunAt)
        return false;
    return request.state == run_state::not_run
           || history.firstStartNs < startNs + request.lastNotRunAt->count();
}

void checkRequest(const request_record &request, const execution_history &history,
                  std::int64_t startNs, truth_report &report)
{
    const bool write = isWrite(request.loadId);
    // A request without an id that was sent again cannot be recognised by the fleet.
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
    if (request.outcome == request_outcome::whole && history.completed == 0)
        count(report.lostWrites, report, "answered but not completed:", request.loadId);
    if (request.state == run_state::unknown)
        ++report.unknownStates;
}

} // namespace

truth_report checkTruth(std::span<const request_record> requests, const history_index &index,
                        std::int64_t startNs)
{
    truth_report report;
    for (const request_record &request : requests) {
        const auto found = index.find(request.loadId);
        checkRequest(request, found == index.end() ? execution_history() : found->second, startNs,
                     report);
    }
    for (const auto &[loadId, history] : index) {
        if (isWrite(loadId) && history.starts > 1)
            count(report.doubleRuns, report, "started more than once:", loadId);
    }
    return report;
}

} // namespace tamarackridge::load
