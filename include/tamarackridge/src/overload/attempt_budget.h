#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace tamarackridge {

/// \brief The number of runs on backend servers that one request may still cause.
///
/// A share is deducted here before it is sent to another node, so attempts are divided and never
/// copied: the sum over all nodes never exceeds the attempts that the entry node got from the
/// route. A share whose response is lost is never returned.
///
/// \code
/// attempt_budget budget(route.attempts);
/// const std::uint32_t share = budget.divide(); // sent as request_context::attempts
/// budget.returnUnused(share, response.attemptsUnused);
/// \endcode
/// \sa onward_attempts
class attempt_budget
{
public:
    explicit attempt_budget(std::uint32_t attempts = 0)
        : m_remaining(attempts)
    { }

    std::uint32_t remaining() const { return m_remaining; }

    /// \brief Takes the share of one dispatch: one run and half of the attempts left after it.
    ///
    /// The other half stays in this budget, so that a retry is possible when the response is lost.
    /// \returns the share, 0 when no attempts are left.
    std::uint32_t takeShare();

    /// \brief Takes up to \a wanted attempts.
    /// \returns the number of attempts taken.
    std::uint32_t take(std::uint32_t wanted);

    /// \brief Adds the unused attempts of a share to this budget again.
    /// \param share the value that divide() or take() returned.
    /// \param unused as reported by the receiver; values above \a share count as \a share.
    void returnUnused(std::uint32_t share, std::uint32_t unused);

private:
    std::uint32_t m_remaining;
};

/// \brief The attempts that one onward call may use.
struct onward_call_budget
{
    std::uint32_t attempts = 0; ///< Initial value of the call's attempt_budget, at least 1.
    std::uint32_t charged = 0; ///< The part of `attempts` that was taken from the parent.
    bool retry = false; ///< Whether the call was counted as a retry under this handle.
};

/// \brief The attempts left under one handle for the onward calls of a running request.
///
/// The first onward call with a given fingerprint gets one run that is not charged, since it is
/// part of the service's normal work. A repeated call is a retry by the backend server; all its
/// attempts are charged.
///
/// \code
/// onward_attempts onward(context.attempts - 1); // the run itself used one
/// std::optional<onward_call_budget> budget = onward.open(fingerprint);
/// // without a value: respond with `retry_budget_exhausted`
/// onward.close(*budget, call.remaining());
/// \endcode
class onward_attempts
{
public:
    explicit onward_attempts(std::uint32_t attempts = 0)
        : m_budget(attempts)
    { }

    /// \param fingerprint digest of the call's method, target and body.
    /// \returns the attempts of the call; nothing when it is a retry and no attempt is left.
    std::optional<onward_call_budget> open(std::uint64_t fingerprint);
    /// \param unused the attempts of \a budget that the call did not use.
    void close(const onward_call_budget &budget, std::uint32_t unused);

    /// \returns the attempts to report upstream as `attemptsUnused` when the run has ended.
    std::uint32_t unused() const { return m_budget.remaining(); }

private:
    bool recordCall(std::uint64_t fingerprint);

    attempt_budget m_budget;
    std::vector<std::uint64_t> m_callFingerprints;
};

} // namespace tamarackridge
