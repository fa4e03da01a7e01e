#include "load/client_call.h"

#include "tamarackridge/src/base/error_kind.h"

#include <algorithm>

namespace tamarackridge::load {
namespace {

constexpr long idRequired = 428;
constexpr long tooManyRequests = 429;
constexpr long firstServerError = 500;
/// Limits how often the retry delay doubles.
constexpr unsigned maxDoublings = 10;

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
    if (!result.responseReceived)
        return request_outcome::no_response;
    if (result.status / 100 != 2)
        return request_outcome::refused;
    return result.bodyMatches ? request_outcome::complete : request_outcome::mismatched;
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
    // The fleet never executes a request id that it has refused, so a refusal carries a new id for
    // the next send.
    const bool refusedWithoutRunning =
            result.status == idRequired || record.state == run_state::not_run;
    if (refusedWithoutRunning && !result.issuedId.empty()
        && (firstId || result.status != idRequired))
        requestId = result.issuedId;
    // A 428 response only supplies the id, so the send that follows it does not count as a retry.
    if (result.status == idRequired && firstId && !requestId.empty())
        return duration::zero();
    if (!mayRetry(result))
        return std::nullopt;
    ++m_retries;
    return retryDelay(random);
}

void client_call::abandon(duration now)
{
    record.finished = now;
    record.outcome = request_outcome::no_response;
    record.status = 0;
    record.state.reset();
}

bool client_call::mayRetry(const send_result &result) const
{
    if (m_customer->retry.mode == retry_mode::none || m_retries >= m_customer->retry.retries)
        return false;
    if (!result.responseReceived)
        return true;
    for (const error_response &known : errorResponses()) {
        if (known.name == result.error)
            return known.canResend;
    }
    return result.status >= firstServerError || result.status == tooManyRequests;
}

duration client_call::retryDelay(random_source &random) const
{
    if (m_customer->retry.mode == retry_mode::immediate)
        return duration::zero();
    const duration maxDelay =
            m_customer->retry.baseDelay * (1LL << std::min(m_retries - 1, maxDoublings));
    // A jitter of up to one half prevents customers that failed together from retrying together.
    return std::chrono::duration_cast<duration>(maxDelay * (0.5 + 0.5 * random.unit()));
}

} // namespace tamarackridge::load
