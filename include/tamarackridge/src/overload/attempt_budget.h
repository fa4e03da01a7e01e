#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace tamarackridge {

/// \brief The runs on backend servers that one request may still cause.
///
/// Every part that leaves the object is deducted first, so parts are divided and never copied: the
/// sum over all nodes never exceeds what the entry node took from the route. A part whose answer
/// is lost is never given back.
///
/// \code
/// attempt_budget budget(route.attempts);
/// const std::uint32_t part = budget.divide(); // goes into request_context::attempts
/// budget.returnUnused(part, answer.attemptsUnused);
/// \endcode
/// \sa onward_attempts
class attempt_budget
{
public:
    explicit attempt_budget(std::uint32_t attempts = 0)
        : m_remaining(attempts)
    { }

    std::uint32_t remaining() const { return m_remaining; }

    /// \brief Takes the part for one dispatch: one run and half of what is left after it.
    ///
    /// The other half stays here, so that a lost answer leaves something to try again with.
    /// \returns the part, 0 when nothing is left.
    std::uint32_t takeShare();

    /// \brief Takes up to \a wanted attempts.
    /// \returns the number taken.
    std::uint32_t take(std::uint32_t wanted);

    /// \brief Returns the unused rest of a part.
    /// \param part what divide() or take() returned.
    /// \param unused as reported by the receiver; more than \a part counts as \a part.
    void returnUnused(std::uint32_t part, std::uint32_t unused);

private:
    std::uint32_t m_remaining;
};

/// \brief The attempts of an onward call.
struct onward_call_budget
{
    std::uint32_t attempts = 0; ///< For the attempt_budget of the onward call, at least 1.
    std::uint32_t charged = 0; ///< Of these, taken from the parent.
    bool retry = false; ///< Whether the same call was made before under this handle.
};

/// \brief The attempts left under one handle, for onward calls of the running request.
///
/// The first onward call with a fingerprint brings its own run, since it is part of the service's
/// normal work. A repeated one is a retry by the backend server and is charged for.
///
/// \code
/// onward_attempts onward(context.attempts - 1); // the run itself took one
/// std::optional<onward_call_budget> part = onward.open(fingerprint);
/// // no part: answer `retry_budget_exhausted`
/// onward.close(*part, call.remaining());
/// \endcode
class onward_attempts
{
public:
    explicit onward_attempts(std::uint32_t attempts = 0)
        : m_budget(attempts)
    { }

    /// \param fingerprint digest of the call's method, target and body.
    /// \returns the call's part, or nothing when it is a retry and no attempt is left.
    std::optional<onward_call_budget> open(std::uint64_t fingerprint);
    /// \param unused what is left of \a part's attempts after the call.
    void close(const onward_call_budget &part, std::uint32_t unused);

    /// \returns what goes back upstream as `attemptsUnused` when the run has ended.
    std::uint32_t unused() const { return m_budget.remaining(); }

private:
    bool rememberCall(std::uint64_t fingerprint);

    attempt_budget m_budget;
    std::vector<std::uint64_t> m_calls;
};

} // namespace tamarackridge
