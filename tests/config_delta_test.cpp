#include "fakes/sample_config.h"
#include "tamarackridge/src/base/seeded_random.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace tamarackridge;

namespace {

/// \returns the sample set with some objects randomly added, changed or removed.
config_set randomSet(random_source &random)
{
    config_objects objects = fakes::sampleObjects();
    objects.settings.maxUnconfirmed = std::chrono::seconds(10 + random.below(3));
    for (customer &object : objects.customers)
        object.rate = 1 + random.below(3);
    for (std::uint64_t count = random.below(4); count > 0; --count)
        objects.keys.push_back(issueKey(random.below(2) == 0 ? "acme" : "globex", random).entry);
    const auto isRemoved = [&random](const auto &) { return random.below(3) == 0; };
    std::erase_if(objects.routes, isRemoved);
    if (random.below(2) == 0)
        objects.zones.push_back({"z" + std::to_string(random.below(3)), 2});
    if (random.below(2) == 0)
        objects.services.push_back({"s" + std::to_string(random.below(3))});
    return config_set::create(std::move(objects)).value();
}

std::vector<std::string> errorsOf(const config_delta &delta)
{
    std::vector<std::string> lines;
    const tl::expected<config_set, config_errors> result = apply(fakes::sampleSet(), delta);
    if (!result) {
        for (const config_error &error : result.error())
            lines.push_back(toString(error));
    }
    return lines;
}

} // namespace

// Guards against a delta that omits or adds a change, also after conversion to JSON and back.
TEST(ConfigDelta, DifferenceLeadsFromOneSetToAnother)
{
    EXPECT_TRUE(rc::check("apply(a, difference(a, b)) == b", [](std::uint64_t seed) {
        seeded_random random(seed);
        const config_set from = randomSet(random);
        const config_set to = randomSet(random);
        const config_delta delta = difference(from, to);
        RC_ASSERT(apply(from, delta)->objects() == to.objects());
        RC_ASSERT(parseConfigDelta(toJson(delta)).value() == delta);
        RC_ASSERT(difference(to, to).empty());
    }));
}

// Guards against validating a delta without the set that results from it.
TEST(ConfigDelta, CompleteResultIsValidated)
{
    config_delta delta;
    delta.deletes = {{"customers", "acme"}, {"services", "tariffs"}};
    delta.upserts.keys = {{"k2", "globex", {}, {}}, {"k1", "acme", {}, {}}}; // In any order.
    const std::vector<std::string> expected = {
            "keys/k1.customer: 'acme' is not in 'customers'",
            "routes/status.service: 'tariffs' is not in 'services'",
            "routes/tariffs-get.service: 'tariffs' is not in 'services'"};
    EXPECT_EQ(errorsOf(delta), expected);
}

// Guards against accepting contradictory deltas, whose result would depend on the order of the
// steps.
TEST(ConfigDelta, ContradictionsAreErrors)
{
    config_delta delta;
    delta.upserts.customers = {{"acme", 1, 1}};
    delta.deletes = {{"customers", "acme"},
                     {"customers", "nobody"},
                     {"zones", "oviedo"},
                     {"zones", "oviedo"}};
    const std::vector<std::string> expected = {
            "customers/acme: the object is both changed and deleted",
            "customers/nobody: the object to delete does not exist",
            "zones/oviedo: the object is deleted twice"};
    EXPECT_EQ(errorsOf(delta), expected);
}

// Guards against ignoring unknown or malformed fields of a delta.
TEST(ConfigDelta, UnknownFieldsAreErrors)
{
    for (const char *text : {R"({"upsert": {}})", R"({"upserts": {"nodes": {}}})",
                             R"({"deletes": {"keys": "x"}})", R"({"deletes": {"settings": ["x"]}})",
                             R"({"upserts": {"customers": {"a": {"rate": 1}}}})", "[]"})
        EXPECT_FALSE(parseConfigDelta(text)) << text;
}
