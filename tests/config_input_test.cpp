#include "fakes/config_history.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <array>

using namespace tamarackridge;

namespace {

/// \returns \a text with some bytes randomly changed, removed or repeated.
std::string damage(std::string text, random_source &random)
{
    for (std::uint64_t count = 1 + random.below(4); count > 0 && !text.empty(); --count) {
        const std::size_t position = random.below(text.size());
        switch (random.below(3)) {
        case 0:
            text[position] = "{}[]\",:0-9a\\\xff"[random.below(13)];
            break;
        case 1:
            text.erase(position, 1 + random.below(20));
            break;
        default:
            text.insert(position, text.substr(random.below(text.size()), 1 + random.below(20)));
        }
    }
    return text;
}

/// \returns \a path with its escapes decoded once, as a backend server would.
std::string decodeOnce(std::string_view path)
{
    std::string decoded;
    for (std::size_t index = 0; index < path.size(); ++index) {
        if (path[index] != '%') {
            decoded += path[index];
            continue;
        }
        decoded +=
                static_cast<char>(std::stoi(std::string(path.substr(index + 1, 2)), nullptr, 16));
        index += 2;
    }
    return decoded;
}

} // namespace

// Guards against crashes on damaged input and against accepted sets that change when they are
// written and read again.
TEST(ConfigInput, DamagedTextIsRefusedOrReadsBackTheSame)
{
    const std::string set = toJson(fakes::sampleSet());
    const std::string record = encodePublication({"p", -1, fakes::rateDelta("acme", 3)});
    EXPECT_TRUE(rc::check("damaged text", [&](std::uint64_t seed) {
        seeded_random random(seed);
        const tl::expected<config_set, config_errors> read = parseConfigSet(damage(set, random));
        if (read)
            RC_ASSERT(parseConfigSet(toJson(*read))->objects() == read->objects());
        else
            RC_ASSERT(!read.error().empty());
        const tl::expected<config_record, error_kind> decoded =
                decodeConfigRecord(damage(record, random));
        if (decoded)
            RC_ASSERT(std::holds_alternative<publication>(*decoded));
    }));
}

// Guards against accepting a path that has other segments after the backend server has decoded it.
TEST(ConfigInput, AcceptedPathsKeepTheirSegmentsWhenDecoded)
{
    EXPECT_TRUE(rc::check("decoded path", [](std::uint64_t seed) {
        seeded_random random(seed);
        constexpr std::array<std::string_view, 13> parts = {
                "/", ".", "..", "%25", "%2e", "%2F", "%5c", "%3b", "%20", "a", "2e", ";", "?"};
        std::string target = "/";
        for (std::uint64_t count = random.below(8); count > 0; --count)
            target += parts[random.below(parts.size())];
        const tl::expected<std::string_view, error_kind> path = requestPath(target);
        if (!path)
            return;
        const std::string decoded = decodeOnce(*path);
        RC_ASSERT(std::count(decoded.begin(), decoded.end(), '/')
                  == std::count(path->begin(), path->end(), '/'));
        // A trailing slash is allowed.
        const std::string closed = decoded.ends_with('/') ? decoded : decoded + "/";
        for (const char *trick : {"//", "/./", "/../", "\\", ";", "%"})
            RC_ASSERT(closed.find(trick) == std::string::npos);
    }));
}
