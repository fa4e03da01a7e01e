#include "process/settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace tamarackridge {
namespace {

using testing::IsEmpty;
using testing::UnorderedElementsAre;

struct peer
{
    std::string name;
    std::uint16_t port = 0;
};

struct sample
{
    std::string name;
    bool flag = false;
    std::int64_t count = 3;
    std::string level = "info";
    std::vector<std::string> words;
    std::vector<peer> peers;

    std::vector<settings_field> fields()
    {
        return {stringField("node.name", name),
                boolField("node.flag", flag),
                integerField("limits.count", count, 1, 10),
                choiceField("level", level, {"info", "debug"}),
                stringListField("words", words),
                listField<peer>("peers", peers, [](peer &item) {
                    return std::vector<settings_field>{stringField("name", item.name),
                                                       portField("port", item.port)};
                })};
    }
    std::vector<std::string> read(std::string_view text)
    {
        std::vector<std::string> errors;
        for (const settings_error &error : readSettings(text, fields()))
            errors.push_back(toString(error));
        return errors;
    }
};

// Guards against a value that is checked but not stored, and against rejecting comments.
TEST(process_settings, stores_every_field)
{
    sample settings;
    EXPECT_THAT(settings.read(R"({
        // A comment.
        "node": {"name": "n1", "flag": true}, /* Another. */
        "limits": {"count": 10}, "level": "debug", "words": ["a", "b"],
        "peers": [{"name": "p", "port": 65535}]
    })"),
                IsEmpty());
    EXPECT_EQ(settings.name, "n1");
    EXPECT_TRUE(settings.flag);
    EXPECT_EQ(settings.count, 10);
    EXPECT_EQ(settings.level, "debug");
    EXPECT_EQ(settings.words.size(), 2U);
    ASSERT_EQ(settings.peers.size(), 1U);
    EXPECT_EQ(settings.peers[0].port, 65535);
}

// Guards against reporting only the first error, and against errors without their path.
TEST(process_settings, reports_every_error_with_its_path)
{
    sample settings;
    EXPECT_THAT(settings.read(R"({
        "node": {"flag": 1, "colour": "red"}, "limits": {"count": 11}, "level": "loud",
        "words": ["a", ""], "peers": [{"name": "p", "port": 1}, {"port": 0, "extra": {}}],
        "unknown": 1
    })"),
                UnorderedElementsAre(
                        "node.name: expected a non-empty string (the field is missing)",
                        "node.flag: expected true or false",
                        "node.colour: expected no field of this name",
                        "limits.count: expected an integer from 1 to 10",
                        "level: expected one of info debug",
                        "words: expected a list of non-empty strings",
                        "peers[1].name: expected a non-empty string (the field is missing)",
                        "peers[1].port: expected an integer from 1 to 65535",
                        "peers[1].extra: expected no field of this name",
                        "unknown: expected no field of this name"));
}

// Guards against values that a conversion would round or wrap into the valid range.
TEST(process_settings, numbers_are_not_converted)
{
    for (const char *const value :
         {"1.5", "\"3\"", "18446744073709551615", "1e400", "-1", "null"}) {
        sample settings;
        const std::string text =
                R"({"node": {"name": "n"}, "limits": {"count": )" + std::string(value) + "}}";
        EXPECT_EQ(settings.read(text).size(), 1U) << value;
        EXPECT_EQ(settings.count, 3) << value;
    }
}

// Guards against a duplicate name that silently replaces the first value, and against an exception
// on malformed settings.
TEST(process_settings, structural_errors_are_reported)
{
    sample settings;
    EXPECT_THAT(settings.read(R"({"node": {"name": "a", "name": "b"}})"),
                UnorderedElementsAre("name: expected a name that occurs only once"));
    EXPECT_THAT(
            settings.read(R"({"node": [], "peers": {}})"),
            UnorderedElementsAre("node: expected an object", "peers: expected a list of objects",
                                 "node.name: expected a non-empty string (the field is missing)"));
    EXPECT_THAT(settings.read("[]"), UnorderedElementsAre("settings: expected an object"));
    EXPECT_THAT(settings.read(R"({"node": )"),
                testing::ElementsAre(testing::StartsWith("settings: expected JSON")));
    EXPECT_EQ(readSettingsFile("/nonexistent", settings.fields()).size(), 1U);
}

} // namespace
} // namespace tamarackridge
