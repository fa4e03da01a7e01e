#pragma once

#include "tamarackridge/src/base/run_state.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace tamarackridge {

/// \brief The closed list of error kinds of the whole project.
///
/// \sa responseFor
enum class error_kind : std::uint8_t {
    // Faults of the caller's request.
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
    // Refusals under load and policy.
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
    // Outcomes of an execution.
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

/// \brief The answer that belongs to an error kind.
struct error_response
{
    error_kind kind;
    std::string_view name; ///< Value of the `Tamarackridge-Error` header.
    int httpStatus;
    run_state state; ///< Strongest statement this kind allows; an earlier send may weaken it.
    bool canResend; ///< Whether sending the same request again can succeed.
    std::string_view message; ///< One sentence for the caller.
};

/// \returns the table entry of \a kind.
///
/// \code
/// const error_response &answer = responseFor(error_kind::overloaded);
/// // answer.httpStatus == 503, answer.state == run_state::not_run
/// \endcode
const error_response &responseFor(error_kind kind);

/// \returns the whole table, ordered by kind.
std::span<const error_response> errorResponses();

} // namespace tamarackridge
