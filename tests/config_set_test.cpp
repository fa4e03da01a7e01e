#include "tamarackridge/config"

#include "fakes/sample_config.h"

#include <gtest/gtest.h>

using namespace tamarackridge;

namespace {

std::vector<std::string> errorsOf(const std::string &text)
{
    std::vector<std::string> lines;
    const tl::expected<config_set, config_errors> set = parseConfigSet(text);
    if (!set) {
        for (const config_error &error : set.error())
            lines.push_back(error.object + "|" + error.field);
    }
    return lines;
}

} // namespace

// Guards against a set that changes when it is written and read again.
TEST(ConfigSet, RoundTripKeepsEveryField)
{
    const config_set set = fakes::sampleSet();
    const config_set again = parseConfigSet(toJson(set)).value();
    EXPECT_EQ(again.objects(), set.objects());
    EXPECT_EQ(toJson(again), toJson(set));
}

// Guards against a validation that stops at the first error, so that the operator needs one attempt
// per error.
TEST(ConfigSet, ListsAllErrorsWithObjectAndField)
{
    const std::vector<std::string> expected = {
            "customers/acme|rate",
            "customers/acme|speed",
            "keys/k.1|",
            "keys/k.1|customer",
            "keys/k.1|hmac",
            "keys/k.1|salt",
            "priorities/write|rank",
            "routes/a|deadline_ms",
            "routes/a|idempotent",
            "routes/a|methods",
            "routes/a|priority",
            "routes/b|methods",
            "routes/b|open",
            "routes/b|path_prefix",
            "routes/b|service",
            "settings|max_unconfirmed_s",
            "zones|",
            "|extra",
    };
    std::vector<std::string> found = errorsOf(R"({
        // Comments are allowed.
        "extra": 1,
        "settings": {"max_unconfirmed_s": 9},
        "priorities": {"lookup": {"rank": 1}, "write": {"rank": 1}},
        "services": {"ledger": {}},
        "customers": {"acme": {"rate": -5, "burst": 10, "speed": 1}},
        "keys": {"k.1": {"customer": "nobody", "salt": "zz"}},
        "routes": {
            "a": {"path_prefix": "/a", "methods": ["FETCH"], "service": "ledger",
                  "priority": "none", "deadline_ms": 1.5, "attempts": 1},
            "b": {"path_prefix": "/a/", "methods": ["GET"], "service": "billing",
                  "priority": "write", "open": true, "idempotent": false, "deadline_ms": 5,
                  "attempts": 1}}})");
    std::sort(found.begin(), found.end());
    std::vector<std::string> sorted = expected;
    std::sort(sorted.begin(), sorted.end());
    EXPECT_EQ(found, sorted);
}

// Guards against two routes for the same requests, of which one would be chosen by the order of
// definition.
TEST(ConfigSet, RefusesOnePrefixForOneMethodTwice)
{
    config_objects objects = fakes::sampleObjects();
    route copy = objects.routes.front();
    copy.name = "copy";
    objects.routes.push_back(copy);
    const tl::expected<config_set, config_errors> set = config_set::create(objects);
    ASSERT_FALSE(set.has_value());
    EXPECT_EQ(set.error().front().field, "path_prefix");
}

// Guards against repeated names, of which the JSON library would silently keep only the last.
TEST(ConfigSet, RefusesRepeatedNames)
{
    EXPECT_EQ(errorsOf(R"({"services": {"a": {}, "b": {}, "a": {}}})"),
              std::vector<std::string>{"|a"});
}

// Guards against reading input that is not a set as the empty set.
TEST(ConfigSet, RefusesOtherShapes)
{
    const char *const overflow = R"({"zones": {"z": {}}, "customers": {"a":
                                      {"rate": 18446744073709551615, "burst": 1}}})";
    for (const char *text :
         {"", "[]", "7", R"({"services": []})", R"({"services": {"a": 1}})", overflow})
        EXPECT_FALSE(parseConfigSet(text).has_value()) << text;
}
