#pragma once

#include "tamarackridge/src/base/identity.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackridge {

/// \brief Secret with which one incarnation signs its request ids.
using ledger_secret = std::array<std::uint8_t, 16>;

/// \brief Identifies a request across resends, and names the only node that may decide to run it.
///
/// The text form is `<zone>.<node>.<incarnation>.<sequence>.<issued ms>.<MAC>`, the numbers in
/// hexadecimal. Zone and node names contain no dots.
struct request_id
{
    node_ref owner;
    std::uint64_t sequence = 0;
    std::uint64_t issuedMs = 0; ///< Milliseconds since the owner's ledger was created.
    std::uint64_t mac = 0;

    /// \returns the text form.
    std::string toString() const;
    /// \returns the id, or nullopt if \a text is malformed; does not check the MAC.
    static std::optional<request_id> parse(std::string_view text);
};

/// \returns the MAC of \a id, computed with \a secret.
std::uint64_t requestIdMac(const request_id &id, const ledger_secret &secret);

} // namespace tamarackridge
