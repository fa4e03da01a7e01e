#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace tamarackridge::load {

/// \brief Header that marks all sends of one request of the load generator.
inline constexpr std::string_view loadIdHeader = "X-Load-Id";

/// \brief First character of the load id of a non-idempotent request.
inline constexpr char writeIdPrefix = 'w';
/// \brief First character of the load id of an idempotent request.
inline constexpr char readIdPrefix = 'r';

/// \brief Body of a backend stand-in's response: one line with the load id and the length and
/// checksum of the request body and of the payload, followed by the payload. \param payloadBytes
/// length of the payload after the first line. \sa isEchoOf
std::string makeEcho(std::string_view loadId, std::string_view requestBody,
                     std::size_t payloadBytes);

/// \returns whether \a response is the complete and undamaged response to this request.
bool isEchoOf(std::string_view response, std::string_view loadId, std::string_view requestBody);

/// \returns length and checksum of \a text, as `<length>:<xxh3 in hex>`.
std::string digestOf(std::string_view text);

} // namespace tamarackridge::load
