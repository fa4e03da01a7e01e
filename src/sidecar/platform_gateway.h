#pragma once

#include "sidecar/server_runner.h"
#include "tamarackridge/src/sidecar/published_set.h"
#include "tamarackridge/src/sidecar/sidecar_core.h"

#include <tl/expected.hpp>

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tamarackridge {

/// \brief Why a call to the platform's store gave no result.
enum class store_error : std::uint8_t {
    unreachable, ///< No answer, or the connection ended; a write may have taken effect.
    rejected, ///< The store refused the call; nothing was done.
    expired, ///< The records that were asked for are kept no longer.
    malformed, ///< The answer does not decode.
};

/// \returns the lower-case name of \a fault.
std::string_view toString(store_error error);

/// \brief A published set as it lies in the store.
struct stored_set
{
    std::optional<std::string> text; ///< Absent when none was published.
    std::int64_t next = 0; ///< Position after the newest record.
};

/// \brief The backend server of this VM says that it leaves.
struct leave_notice
{
    std::string instance;
    std::optional<std::int64_t> startedAt; ///< As in server_report, if the notice says so.
};

/// \brief A call that names no backend server to use.
struct invalid_notice
{
    std::string error;
};

/// \brief What the backend server of this VM says.
using server_notice = std::variant<server_report, leave_notice, invalid_notice>;

/// \brief The platform as the node sees it; all its names and formats are behind this interface.
class platform_gateway
{
public:
    template <typename Value>
    using handler = std::function<void(tl::expected<Value, store_error> result)>;

    platform_gateway() = default;
    platform_gateway(const platform_gateway &) = delete;
    platform_gateway &operator=(const platform_gateway &) = delete;
    virtual ~platform_gateway() = default;

    virtual header_names headers() const = 0;
    virtual server_response_names responseNames() const = 0;
    virtual tl::expected<published_set, std::string> decodeSet(std::string_view text) const = 0;
    virtual server_notice decodeNotice(const http_request &request) const = 0;

    /// \brief Reads the newest published set.
    virtual void readSet(handler<stored_set> done) = 0;
    /// \brief Waits for a set that was published at \a position or later. An answer without a set
    /// says that none came within some seconds.
    virtual void awaitSet(std::int64_t position, handler<stored_set> done) = 0;
    /// \brief Puts the endpoint of this node where others find it.
    virtual void putMember(const std::string &node, const std::string &endpoint,
                           handler<std::monostate> done) = 0;
    virtual void removeMember(const std::string &node, handler<std::monostate> done) = 0;
    virtual void listMembers(handler<std::vector<seed_peer>> done) = 0;
    /// \brief Ends calls that are past their time limit; called a few times a second.
    virtual void sweep(time_point now) = 0;
};

} // namespace tamarackridge
