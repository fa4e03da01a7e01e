#include "scenario/script.h"

#include <array>
#include <charconv>
#include <sstream>

namespace tamarackridge::scenario {
namespace {

constexpr std::array<std::string_view, 7> untimedVerbs{"seed", "zones",  "customer", "latency",
                                                       "run",  "expect", "mode"};

bool isUntimedVerb(std::string_view verb)
{
    for (std::string_view known : untimedVerbs) {
        if (known == verb)
            return true;
    }
    return false;
}

std::vector<std::string> splitIntoWords(const std::string &text)
{
    std::istringstream stream(text.substr(0, text.find('#')));
    std::vector<std::string> words;
    std::string word;
    while (stream >> word)
        words.push_back(word);
    return words;
}

tl::expected<script_line, script_error> parseLine(std::vector<std::string> words,
                                                  std::size_t number)
{
    script_line line;
    line.number = number;
    if (words.front() == "at") {
        if (words.size() < 3)
            return tl::unexpected(script_error{number, "expected 'at TIME VERB …'"});
        line.at = parseDuration(words[1]);
        if (!line.at)
            return tl::unexpected(script_error{number, "'" + words[1] + "' is not a duration"});
        words.erase(words.begin(), words.begin() + 2);
    }
    line.verb = words.front();
    line.arguments.assign(words.begin() + 1, words.end());
    if (isUntimedVerb(line.verb) == line.at.has_value())
        return tl::unexpected(script_error{
                number, line.at ? "'" + line.verb + "' must not have 'at TIME' before it"
                                : "'" + line.verb + "' needs 'at TIME' before it"});
    return line;
}

} // namespace

std::optional<std::string> script_line::option(std::string_view name) const
{
    for (std::size_t index = 0; index + 1 < arguments.size(); ++index) {
        if (arguments[index] == name)
            return arguments[index + 1];
    }
    return std::nullopt;
}

tl::expected<std::vector<script_line>, script_error> parseScript(std::istream &in)
{
    std::vector<script_line> lines;
    std::string text;
    for (std::size_t number = 1; std::getline(in, text); ++number) {
        std::vector<std::string> words = splitIntoWords(text);
        if (words.empty())
            continue;
        tl::expected<script_line, script_error> line = parseLine(std::move(words), number);
        if (!line)
            return tl::unexpected(line.error());
        lines.push_back(std::move(*line));
    }
    return lines;
}

std::optional<double> parseNumber(std::string_view text)
{
    double value = 0;
    const std::from_chars_result end =
            std::from_chars(text.data(), text.data() + text.size(), value);
    if (end.ec != std::errc() || end.ptr != text.data() + text.size() || value < 0)
        return std::nullopt;
    return value;
}

std::optional<duration> parseDuration(std::string_view text)
{
    const std::size_t unitBegin = text.find_first_not_of("0123456789.");
    if (unitBegin == std::string_view::npos)
        return std::nullopt;
    const std::optional<double> value = parseNumber(text.substr(0, unitBegin));
    const std::string_view unit = text.substr(unitBegin);
    const double factor = unit == "ms" ? 1e-3 : unit == "s" ? 1.0 : unit == "m" ? 60.0 : 0.0;
    if (!value || factor == 0.0)
        return std::nullopt;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(*value * factor));
}

std::vector<std::string> splitAtCommas(std::string_view text)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin <= text.size()) {
        const std::size_t comma = std::min(text.find(',', begin), text.size());
        parts.emplace_back(text.substr(begin, comma - begin));
        begin = comma + 1;
    }
    return parts;
}

} // namespace tamarackridge::scenario
