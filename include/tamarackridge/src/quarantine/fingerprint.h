#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackridge {

/// \brief A 128-bit XXH3 hash of the parts of a request.
struct fingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const fingerprint &, const fingerprint &) = default;
    friend std::strong_ordering operator<=>(const fingerprint &, const fingerprint &) = default;
};

/// \brief The parts of a request that its identity covers.
///
/// Route and key are not among them: a new configuration can rename the route, and a customer can
/// have several keys.
struct fingerprint_parts
{
    std::string_view method;
    std::string_view path; ///< With the query.
    std::string_view customer;
    std::string_view body;
};

/// \brief Identifies a request for the purposes of quarantine.
///
/// A request that is sent again can have another query, whereas requests that differ in the query
/// alone can be independent of each other, such as the pages of a list. Both levels are therefore
/// distinguished.
///
/// \code
/// identityOf({"GET", "/list?page=1", "c", ""}).request
///         == identityOf({"GET", "/list?page=2", "c", ""}).request; // The variants differ.
/// \endcode
struct request_identity
{
    fingerprint request; ///< Without the query.
    fingerprint variant; ///< With the query; equal to `request` if there is none.

    friend auto operator<=>(const request_identity &, const request_identity &) = default;
};

/// \returns the identity of a request.
request_identity identityOf(const fingerprint_parts &parts);

/// \returns the fingerprint as 32 hexadecimal digits.
std::string toString(const fingerprint &value);

/// \brief Parses the format of toString().
/// \returns nothing if \a text does not have that format.
std::optional<fingerprint> parseFingerprint(std::string_view text);

/// \brief Provides the parts of a running request when its identity is needed.
class fingerprint_source
{
public:
    fingerprint_source() = default;
    fingerprint_source(const fingerprint_source &) = default;
    fingerprint_source &operator=(const fingerprint_source &) = default;
    virtual ~fingerprint_source() = default;

    /// \returns views that must stay valid until the run has finished.
    virtual fingerprint_parts parts() const = 0;
};

namespace internal {

/// \brief Uses part of the fingerprint, which is already a hash.
struct fingerprint_hash
{
    std::size_t operator()(const fingerprint &value) const noexcept { return value.low; }
};

} // namespace internal
} // namespace tamarackridge
