#pragma once

#include "tamarackridge/src/base/run_state.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace tamarackridge {

/// \brief All error kinds of the project.
///
/// \sa responseFor
enum class error_kind : std::uint8_t {
    // Errors in the caller's request.
    bad_request,
    request_too_large,
    headers_too_large,
    body_incomplete,
    unknown_route,
    method_not_allowed,
    key_missing,
    key_unknown,
    handle_invalid,
    request_id_required,
    request_id_invalid,
    request_id_expired,
    request_id_reused,
    request_id_refused,
    non_idempotent_under_idempotent,
    // Refusals because of load or policy.
    rate_exceeded,
    overloaded,
    deadline_exceeded,
    retry_budget_exhausted,
    request_quarantined,
    // State of the fleet.
    not_configured,
    configuration_unconfirmed,
    leaving,
    no_backend_server,
    owner_unreachable,
    // Outcomes of an attempted execution.
    outcome_unknown,
    backend_timeout,
    backend_failed,
    backend_answer_incomplete,
    cancelled,
    // Peers, platform log and operators.
    frame_invalid,
    protocol_mismatch,
    announcement_refused,
    log_unavailable,
    log_record_invalid,
    publish_conflict,
    configuration_invalid,
    settings_invalid,
    internal_error,
};

/// \brief The response that an error kind leads to.
struct error_response
{
    error_kind kind;
    std::string_view name; ///< Value of the `Tamarackridge-Error` header.
    int httpStatus;
    run_state state; ///< The run state if there was no earlier attempt; an earlier attempt may make
                     ///< it unknown.
    bool canResend; ///< Whether a resend of the same request can succeed.
    std::string_view message; ///< One sentence for the caller.
};

/// \returns the table entry of \a kind.
///
/// \code
/// const error_response &response = responseFor(error_kind::overloaded);
/// // response.httpStatus == 503, response.state == run_state::not_run
/// \endcode
const error_response &responseFor(error_kind kind);

/// \returns the complete table, ordered by kind.
std::span<const error_response> errorResponses();

} // namespace tamarackridge
