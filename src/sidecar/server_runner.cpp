#include "sidecar/server_runner.h"

#include <array>
#include <charconv>
#include <chrono>
#include <cmath>
#include <utility>

namespace tamarackridge {
namespace {

constexpr duration healthCheckTimeout = std::chrono::seconds(1);
constexpr int healthyStatus = 200;

error_kind errorOf(exchange_outcome end)
{
    constexpr std::array<error_kind, 5> kinds{
            error_kind::internal_error, error_kind::no_backend_server, error_kind::backend_failed,
            error_kind::backend_timeout, error_kind::cancelled};
    return kinds.at(static_cast<std::size_t>(end));
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

std::optional<double> parseRate(std::string_view text)
{
    double rate = 0;
    const auto [end, error] =
            std::from_chars(text.data(), text.data() + text.size(), rate, std::chars_format::fixed);
    const bool isNumber = error == std::errc() && end == text.data() + text.size();
    if (!isNumber || !std::isfinite(rate) || rate < 0)
        return std::nullopt;
    return rate;
}

} // namespace

void server_runner::run(const run_backend &item)
{
    response_match match;
    match.value = headerValue(item.request.headers, m_names.requestId);
    connection_reuse reuse =
            item.idempotent ? connection_reuse::any : connection_reuse::recently_used;
    if (match.value.empty())
        reuse = connection_reuse::none;
    else
        match.header = m_names.requestId;
    const run_id run = item.run;
    running_request work{0, match.value, monotonicNow()};
    work.exchange = m_pool.exchange(
            item.request, std::move(match), work.startedAt + item.timeout, reuse,
            [this, run](exchange_result result) { exchangeEnded(run, std::move(result)); });
    m_running.emplace(run, std::move(work));
}

void server_runner::cancel(run_id run)
{
    const auto found = m_running.find(run);
    if (found != m_running.end())
        m_pool.cancel(found->second.exchange);
}

void server_runner::check(const check_server &item, std::function<void(bool passed)> done)
{
    const http_request request{"GET", item.path, {{"Host", m_host}}, nullptr};
    m_pool.exchange(request, {}, monotonicNow() + healthCheckTimeout, connection_reuse::none,
                    [this, instance = item.instance,
                     done = std::move(done)](const exchange_result &result) {
                        const std::vector<http_header> &headers = result.response.headers;
                        done(result.end == exchange_outcome::completed
                             && result.response.status == healthyStatus
                             && headerValue(headers, m_names.instance) == instance
                             && headerValue(headers, m_names.leaving).empty());
                    });
}

server_condition server_runner::conditionOf(const http_response &response) const
{
    server_condition condition;
    condition.leaving = !headerValue(response.headers, m_names.leaving).empty();
    const std::string_view text = headerValue(response.headers, m_names.maxRate);
    if (text.empty())
        return condition;
    const std::optional<double> rate = parseRate(text);
    condition.rate = rate ? server_condition::rate_statement::limited
                          : server_condition::rate_statement::malformed;
    condition.maxRate = rate.value_or(0);
    return condition;
}

void server_runner::exchangeEnded(run_id run, exchange_result result)
{
    const running_request work = std::move(m_running.extract(run).mapped());
    backend_result outcome;
    outcome.bytesSent = result.bytesSent;
    if (result.end == exchange_outcome::completed)
        outcome.condition = conditionOf(result.response);
    if (result.end != exchange_outcome::completed) {
        outcome.connectionBroken = result.end == exchange_outcome::broken;
        outcome.response = tl::unexpected(errorOf(result.end));
    } else if (!headerValue(result.response.headers, m_names.notRun).empty()
               || result.response.status == 421) {
        outcome.bytesSent = false;
        outcome.response = tl::unexpected(error_kind::overloaded);
    } else if (isSuccess(result.response.status)
               && headerValue(result.response.headers, m_names.seal).empty()) {
        outcome.response = tl::unexpected(error_kind::backend_answer_incomplete);
    } else {
        outcome.response = std::move(result.response);
    }
    if (result.end == exchange_outcome::broken)
        m_probe.request();
    m_runEnded({run, work.requestId, monotonicNow() - work.startedAt, result.brokenBy}, outcome);
    m_done(run, std::move(outcome), result.end == exchange_outcome::refused);
}

} // namespace tamarackridge
