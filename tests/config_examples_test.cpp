#include "tamarackridge/config"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <regex>

using namespace tamarackridge;

namespace {

std::string textOf(const std::string &deployment)
{
    std::ifstream input(std::string(TAMARACKRIDGE_SOURCE_DIR) + "/examples/" + deployment
                        + "/config.jsonc");
    return {std::istreambuf_iterator<char>(input), {}};
}

class config_examples : public ::testing::TestWithParam<const char *>
{ };

} // namespace

// Guards against examples that violate the validation rules or no longer match the size of the
// deployments.
TEST_P(config_examples, HaveExpectedSizeAndSafeRoutes)
{
    const tl::expected<config_set, config_errors> set = parseConfigSet(textOf(GetParam()));
    ASSERT_TRUE(set) << toString(set.error().front());
    const config_objects &objects = set->objects();
    EXPECT_EQ(objects.zones.size(), 4U);
    EXPECT_EQ(objects.services.size(), 4U);
    EXPECT_EQ(objects.customers.size(), 8U);
    std::size_t open = 0;
    for (const route &object : objects.routes) {
        const bool posts = object.methods == std::vector<std::string>{"POST"};
        EXPECT_EQ(object.idempotent, !posts) << object.name;
        const bool isBilling = object.name.find("invoices") != std::string::npos
                               || object.name.find("credit-notes") != std::string::npos
                               || object.name.find("confirmations") != std::string::npos;
        EXPECT_EQ(object.priority == "critical", posts && isBilling) << object.name;
        open += object.open ? 1 : 0;
    }
    EXPECT_EQ(open, 1U);
}

// Guards against documented demo keys that are not accepted.
TEST_P(config_examples, DocumentedKeysWork)
{
    const std::string text = textOf(GetParam());
    key_store store(3);
    store.install(std::make_shared<const config_set>(parseConfigSet(text).value()), 0);
    const std::regex line("//   (demo-([a-z-]+)\\.\\S+)");
    std::size_t keys = 0;
    for (std::sregex_iterator match(text.begin(), text.end(), line), end; match != end; ++match) {
        const tl::expected<const customer *, error_kind> owner = store.verify((*match)[1].str());
        ASSERT_TRUE(owner) << (*match)[1];
        EXPECT_EQ((*owner)->name, (*match)[2]);
        ++keys;
    }
    EXPECT_EQ(keys, 8U);
}

INSTANTIATE_TEST_SUITE_P(Deployments, config_examples, ::testing::Values("cordillera", "fotocasa"));
