#include "node/node_settings.h"

#include "tamarackridge/config"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

using namespace tamarackridge;

namespace {

std::string pathOf(const std::string &deployment, const std::string &file)
{
    return std::string(TAMARACKRIDGE_SOURCE_DIR) + "/examples/" + deployment + "/" + file;
}

class node_settings_examples : public ::testing::TestWithParam<const char *>
{ };

} // namespace

// Guards against an example that a node rejects, e.g. after a field was renamed or a limit changed.
TEST_P(node_settings_examples, AreValid)
{
    node_settings settings;
    for (const settings_error &error : readNodeSettings(pathOf(GetParam(), "node.jsonc"), settings))
        ADD_FAILURE() << toString(error);
}

// Guards against an example whose zone is not configured: its node could not hold quota slots.
TEST_P(node_settings_examples, NameAConfiguredZone)
{
    node_settings settings;
    readNodeSettings(pathOf(GetParam(), "node.jsonc"), settings);
    std::ifstream input(pathOf(GetParam(), "config.jsonc"));
    const std::string text{std::istreambuf_iterator<char>(input), {}};
    const tl::expected<config_set, config_errors> set = parseConfigSet(text);
    ASSERT_TRUE(set);
    EXPECT_NE(set->findZone(settings.zone), nullptr) << settings.zone;
    EXPECT_EQ(settings.seeds.size(), set->objects().zones.size()) << "one seed in each zone";
}

INSTANTIATE_TEST_SUITE_P(Deployments, node_settings_examples,
                         ::testing::Values("cordillera", "fotocasa"));
