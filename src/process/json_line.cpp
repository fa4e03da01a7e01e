#include "process/json_line.h"

#include <array>
#include <utility>

namespace tamarackridge {
namespace {

constexpr std::string_view replacementCharacter = "\xef\xbf\xbd";

struct utf8_form
{
    unsigned char mask;
    unsigned char lead;
    std::size_t length;
    std::uint32_t minCodePoint; // Lower code points are overlong encodings.
};

constexpr std::array<utf8_form, 3> utf8Forms = {utf8_form{0xe0, 0xc0, 2, 0x80},
                                                utf8_form{0xf0, 0xe0, 3, 0x800},
                                                utf8_form{0xf8, 0xf0, 4, 0x10000}};

// Returns the length of the valid multi-byte character at the start of the text, or 0.
std::size_t utf8Length(std::string_view text)
{
    const auto first = static_cast<unsigned char>(text.front());
    for (const utf8_form &form : utf8Forms) {
        if ((first & form.mask) != form.lead || text.size() < form.length)
            continue;
        std::uint32_t codePoint = first & static_cast<unsigned char>(~form.mask);
        for (std::size_t i = 1; i < form.length; ++i) {
            const auto next = static_cast<unsigned char>(text[i]);
            if ((next & 0xc0U) != 0x80U)
                return 0;
            codePoint = (codePoint << 6U) | (next & 0x3fU);
        }
        const bool surrogate = codePoint >= 0xd800 && codePoint <= 0xdfff;
        return codePoint >= form.minCodePoint && codePoint <= 0x10ffff && !surrogate ? form.length
                                                                                     : 0;
    }
    return 0;
}

void appendEscape(unsigned char byte, std::string &out)
{
    constexpr std::string_view digits = "0123456789abcdef";
    out += "\\u00";
    out += digits[byte >> 4U];
    out += digits[byte & 0x0fU];
}

} // namespace

void appendJsonString(std::string_view text, std::string &out)
{
    out += '"';
    while (!text.empty()) {
        const auto byte = static_cast<unsigned char>(text.front());
        std::size_t consumed = 1;
        if (byte == '"' || byte == '\\') {
            out += '\\';
            out += text.front();
        } else if (byte < 0x20 || byte == 0x7f) {
            appendEscape(byte, out);
        } else if (byte < 0x80) {
            out += text.front();
        } else if (const std::size_t length = utf8Length(text); length > 0) {
            out += text.substr(0, length);
            consumed = length;
        } else {
            out += replacementCharacter;
        }
        text.remove_prefix(consumed);
    }
    out += '"';
}

json_line &json_line::add(std::string_view name, std::string_view value)
{
    addRaw(name, {});
    appendJsonString(value, m_text);
    return *this;
}

json_line &json_line::addRaw(std::string_view name, std::string_view json)
{
    if (m_text.size() > 1)
        m_text += ',';
    appendJsonString(name, m_text);
    m_text += ':';
    m_text += json;
    return *this;
}

std::string json_line::finish()
{
    m_text += '}';
    return std::move(m_text);
}

} // namespace tamarackridge
