#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace tamarackridge::load {

/// \brief Header that marks all sends of one request of the load generator.
inline constexpr std::string_view loadIdHeader = "X-Load-Id";

/// \brief First character of the load id of a non-idempotent request.
inline constexpr char writeMark = 'w';
/// \brief First character of the load id of an idempotent request.
inline constexpr char readMark = 'r';

/// \brief Body of a backend stand-in's answer: a line that names the request and states length and
/// checksum of the request body and of the payload, then the payload.
/// \param payloadBytes length of the payload after the first line.
/// \sa isEchoOf
std::string makeEcho(std::string_view loadId, std::string_view requestBody,
                     std::size_t payloadBytes);

/// \returns whether \a answer is the whole, undamaged answer to exactly this request.
bool isEchoOf(std::string_view response, std::string_view loadId, std::string_view requestBody);

/// \returns length and checksum of \a text, as `<length>:<xxh3 in hex>`.
std::string digestOf(std::string_view text);

} // namespace tamarackridge::load
