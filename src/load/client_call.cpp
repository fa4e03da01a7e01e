#include "load/client_call.h"

#include "tamarackridge/src/base/error_kind.h"

#include <algorithm>

namespace tamarackridge::load {
namespace {

constexpr long idRequired = 428;
constexpr long tooManyRequests = 429;
constexpr long firstServerError = 500;
/// Bounds the doubling of the pauses.
constexpr unsigned mostDoublings = 10;

std::optional<run_state> parseRunState(std::string_view text)
{
    for (const run_state state : {run_state::not_run, run_state::ran, run_state::unknown}) {
        if (text == toString(state))
            return state;
    }
    return std::nullopt;
}

request_outcome outcomeOf(const send_result &result)
{
    if (!result.answered)
        return request_outcome::no_answer;
    if (result.status / 100 != 2)
        return request_outcome::refused;
    return result.expectedBody ? request_outcome::whole : request_outcome::mismatched;
}

} // namespace

client_call::client_call(const load_customer &customer, request_record initial)
    : record(std::move(initial))
    , m_customer(&customer)
{ }

std::optional<duration> client_call::sendEnded(const send_result &result, duration now,
                                               random_source &random)
{
    record.finished = now;
    record.outcome = outcomeOf(result);
    record.status = result.status;
    record.error = result.error;
    record.state = parseRunState(result.runState);
    if (record.state == run_state::not_run)
        record.lastNotRunAt = now;
    const bool firstId = requestId.empty();
    // A refused id is never run, so a refusal hands out a fresh one for the next send.
    const bool refusedForGood = result.status == idRequired || record.state == run_state::not_run;
    if (refusedForGood && !result.issuedId.empty() && (firstId || result.status != idRequired))
        requestId = result.issuedId;
    // Using the id of the 428 answer is the first real send, not a retry.
    if (result.status == idRequired && firstId && !requestId.empty())
        return duration::zero();
    if (!mayRetry(result))
        return std::nullopt;
    ++m_retries;
    return pause(random);
}

void client_call::abandon(duration now)
{
    record.finished = now;
    record.outcome = request_outcome::no_answer;
    record.status = 0;
    record.state.reset();
}

bool client_call::mayRetry(const send_result &result) const
{
    if (m_customer->retry.mode == retry_mode::none || m_retries >= m_customer->retry.retries)
        return false;
    if (!result.answered)
        return true;
    for (const error_response &known : errorResponses()) {
        if (known.name == result.error)
            return known.canResend;
    }
    return result.status >= firstServerError || result.status == tooManyRequests;
}

duration client_call::pause(random_source &random) const
{
    if (m_customer->retry.mode == retry_mode::immediate)
        return duration::zero();
    const duration longest =
            m_customer->retry.base * (1LL << std::min(m_retries - 1, mostDoublings));
    // Jitter of one half keeps customers that failed together from returning together.
    return std::chrono::duration_cast<duration>(longest * (0.5 + 0.5 * random.unit()));
}

} // namespace tamarackridge::load
