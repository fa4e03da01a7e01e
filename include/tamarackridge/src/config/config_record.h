#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/config/config_delta.h"
#include "tamarackridge/src/config/config_set.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace tamarackridge {

/// \brief A change that is applied only if \a base is the version in force at the record's offset.
struct publication
{
    std::string id; ///< Random; used to find the record when the response to its append was lost.
    std::int64_t base = -1; ///< -1: nothing has been published yet.
    config_delta delta;
};

/// \brief The complete set after the record at offset \a covered.
struct config_snapshot
{
    std::int64_t version = -1;
    std::int64_t covered = -1;
    config_set set;
};

using config_record = std::variant<publication, config_snapshot>;

std::string encodePublication(const publication &record);
std::string encodeSnapshot(std::int64_t version, std::int64_t covered, const config_set &set);

/// \returns the record, or error_kind::log_record_invalid.
tl::expected<config_record, error_kind> decodeConfigRecord(std::string_view data);

} // namespace tamarackridge
