#include "tamarackridge/src/ledger/request_id.h"

#include <gnutls/crypto.h>

#include <charconv>
#include <vector>

namespace tamarackridge {
namespace {

constexpr std::size_t partCount = 6;
constexpr std::size_t maxTextLength = 256;

std::string hex(std::uint64_t value)
{
    std::array<char, 16> buffer{};
    const std::to_chars_result end =
            std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, 16);
    return std::string(buffer.data(), end.ptr);
}

std::optional<std::uint64_t> parseHex(std::string_view text)
{
    std::uint64_t value = 0;
    const std::from_chars_result end =
            std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (end.ec != std::errc() || end.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::vector<std::string_view> splitAtDots(std::string_view text)
{
    std::vector<std::string_view> parts;
    std::size_t begin = 0;
    while (begin <= text.size() && parts.size() <= partCount) {
        const std::size_t dot = std::min(text.find('.', begin), text.size());
        parts.push_back(text.substr(begin, dot - begin));
        begin = dot + 1;
    }
    return parts;
}

std::string signedText(const request_id &id)
{
    return id.owner.zone + '.' + id.owner.name + '.' + hex(id.owner.incarnation) + '.'
           + hex(id.sequence) + '.' + hex(id.issuedMs);
}

} // namespace

std::string request_id::toString() const
{
    return signedText(*this) + '.' + hex(mac);
}

std::optional<request_id> request_id::parse(std::string_view text)
{
    if (text.size() > maxTextLength)
        return std::nullopt;
    const std::vector<std::string_view> parts = splitAtDots(text);
    if (parts.size() != partCount || parts[0].empty() || parts[1].empty())
        return std::nullopt;
    const std::optional<std::uint64_t> incarnation = parseHex(parts[2]);
    const std::optional<std::uint64_t> sequence = parseHex(parts[3]);
    const std::optional<std::uint64_t> issued = parseHex(parts[4]);
    const std::optional<std::uint64_t> mac = parseHex(parts[5]);
    if (!incarnation || !sequence || !issued || !mac)
        return std::nullopt;
    return request_id{
            {std::string(parts[0]), std::string(parts[1]), *incarnation}, *sequence, *issued, *mac};
}

std::uint64_t requestIdMac(const request_id &id, const ledger_secret &secret)
{
    const std::string text = signedText(id);
    std::array<std::uint8_t, 32> digest{};
    gnutls_hmac_fast(GNUTLS_MAC_SHA256, secret.data(), secret.size(), text.data(), text.size(),
                     digest.data());
    std::uint64_t mac = 0;
    for (std::size_t index = 0; index < sizeof(mac); ++index)
        mac = (mac << 8U) | digest[index];
    return mac;
}

} // namespace tamarackridge
