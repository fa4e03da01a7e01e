#include "sidecar/sidecar_settings.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>

namespace tamarackridge {
namespace {

struct sidecar_settings_file : testing::Test
{
    ~sidecar_settings_file() override { std::remove(fileName.c_str()); }

    std::vector<settings_error> read(const std::string &zones)
    {
        std::ofstream(fileName) << R"({"node": {"zone": "bilbao", "name": "n1", "zones": )" << zones
                                << R"(}, "callers": {"address": "10.0.0.1:1"},
                                  "health": {"address": "10.0.0.1:2"},
                                  "backend": {"service": "agenda", "address": "10.0.0.1:3",
                                              "control": "10.0.0.1:4"},
                                  "peers": {"address": "10.0.0.1:5"},
                                  "metrics": {"address": "10.0.0.1:6"},
                                  "store": {"address": "10.0.0.2:7"}})";
        return readSidecarSettings(fileName, settings);
    }

    sidecar_settings settings;
    // Tests run side by side, each in a process of its own.
    std::string fileName =
            testing::TempDir() + "sidecar_settings_" + std::to_string(getpid()) + ".json";
};

TEST_F(sidecar_settings_file, reads_all_zones)
{
    EXPECT_TRUE(read(R"(["oviedo", "bilbao"])").empty());
    EXPECT_EQ(settings.zones.size(), 2U);
    EXPECT_EQ(settings.callers.text(), "10.0.0.1:1");
}

// Guards against zone shares that add up to more than the configured rate: a zone missing from the
// list would grant tokens in addition to the listed zones, which already share the entire rate.
TEST_F(sidecar_settings_file, rejects_a_zone_list_without_the_nodes_zone)
{
    for (const char *zones : {"[]", R"(["oviedo"])", R"("bilbao")", "[1]"}) {
        const std::vector<settings_error> errors = read(zones);
        ASSERT_FALSE(errors.empty()) << zones;
        EXPECT_EQ(errors.front().path.substr(0, 10), "node.zones") << zones;
    }
}

// Guards against a stop that uses half of the grace time, and against one that outlasts it.
TEST(stop_limits, follow_the_grace_time)
{
    for (const int grace : {6, 10, 30}) {
        sidecar_settings settings;
        settings.graceTime = std::chrono::seconds(grace);
        const stop_limits limits = stopLimits(settings);
        EXPECT_EQ(limits.admitted, limits.all) << grace;
        EXPECT_GT(limits.all, std::chrono::milliseconds(grace * 1000 * 5 / 6)) << grace;
        EXPECT_LE(limits.all, std::chrono::seconds(grace) - std::chrono::milliseconds(500))
                << grace;
    }
}

// Guards against a process that starts with a grace time other than the one that was meant.
TEST(stop_limits, a_grace_time_is_a_number_of_seconds)
{
    EXPECT_EQ(parseGraceTime("6").value(), std::chrono::seconds(6));
    EXPECT_EQ(parseGraceTime("6.5").value(), std::chrono::milliseconds(6500));
    EXPECT_FALSE(parseGraceTime("").value());
    for (const char *text : {"x", "6s", "6,5", " 6", "0", "-1", "nan", "1e9", "inf"})
        EXPECT_FALSE(parseGraceTime(text)) << text;
}

std::string textOf(const std::string &file)
{
    std::ifstream stream(TAMARACKRIDGE_SOURCE_DIR "/" + file);
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

// Guards against a deployment that does not tell the sidecar its grace time, and against a settings
// template that tools with a fixed list of fields cannot render.
TEST(stop_limits, the_deploy_file_passes_the_grace_time_on)
{
    EXPECT_NE(textOf("deploy/system.toml").find(" --grace_time_s={{bounds.graceS}}"),
              std::string::npos);
    const std::string settings = textOf("deploy/settings.json.in");
    ASSERT_FALSE(settings.empty());
    EXPECT_EQ(settings.find("bounds"), std::string::npos);
}

// Guards against requests that are admitted during a stop and end with SIGKILL, where the grace
// time is not known.
TEST(stop_limits, without_a_grace_time_admitted_requests_end_early)
{
    const stop_limits limits = stopLimits(sidecar_settings());
    EXPECT_LE(limits.admitted, std::chrono::seconds(5));
    EXPECT_GE(limits.all, std::chrono::milliseconds(8400)); // Five sixths of ten seconds.
    sidecar_settings shortStop;
    shortStop.maxStopSeconds = 2;
    EXPECT_EQ(stopLimits(shortStop).admitted, std::chrono::seconds(2));
    EXPECT_EQ(stopLimits(shortStop).all, std::chrono::seconds(2));
}

} // namespace
} // namespace tamarackridge
