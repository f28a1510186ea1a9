#include "ibislock/base/settings.h"

#include <gtest/gtest.h>

namespace ibislock
{

namespace
{

std::vector<SettingSpec> specs()
{
    return {
        {.section = "http", .key = "port", .type = SettingType::Integer, .min = 1, .max = 65535},
        {.section = "http", .key = "address", .fallback = "127.0.0.1"},
        {.section = "http", .key = "rate", .type = SettingType::Real, .fallback = "1.5", .max = 10},
        {.section = "http", .key = "tls", .type = SettingType::Boolean, .fallback = "false"},
        {.section = "http", .key = "mode", .type = SettingType::Choice, .fallback = "fast", .choices = "fast,safe"},
        {.section = "peers", .fallback = "", .anyKey = true},
    };
}

TEST(SettingsTest, FillsInDefaults)
{
    const auto settings = parseSettings("a.ini", "[http]\nport = 80\n", specs());
    ASSERT_TRUE(settings) << describe(settings.error().front());
    EXPECT_EQ(settings->integer("http", "port"), 80);
    EXPECT_EQ(settings->text("http", "address"), "127.0.0.1");
    EXPECT_DOUBLE_EQ(settings->real("http", "rate"), 1.5);
    EXPECT_FALSE(settings->boolean("http", "tls"));
}

TEST(SettingsTest, ReportsAllMistakesAtOnce)
{
    const auto settings = parseSettings("a.ini", "[http]\nport = x\nprot = 1\n[htpt]\nport = 1\n", specs());
    ASSERT_FALSE(settings);
    EXPECT_EQ(settings.error().size(), 3U);
}

TEST(SettingsTest, ReturnsTheEntriesOfSectionsWithAnyKey)
{
    const auto settings = parseSettings("a.ini", "[http]\nport = 80\n[peers]\na = 1\nb = 2\n", specs());
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->entries("peers"), (std::map<std::string, std::string>{{"a", "1"}, {"b", "2"}}));
}

/// A document with one mistake, and the text that the error message must contain.
struct MistakeCase
{
    const char *name;
    const char *text;
    const char *expected;
};

class SettingsMistakeTest : public testing::TestWithParam<MistakeCase>
{
};

TEST_P(SettingsMistakeTest, NamesFileSectionKeyAndExpectation)
{
    const auto settings = parseSettings("a.ini", GetParam().text, specs());
    ASSERT_FALSE(settings);
    ASSERT_EQ(settings.error().size(), 1U);
    const std::string line = describe(settings.error().front());
    EXPECT_NE(line.find("a.ini"), std::string::npos) << line;
    EXPECT_NE(line.find(GetParam().expected), std::string::npos) << line;
}

INSTANTIATE_TEST_SUITE_P(
    Cases, SettingsMistakeTest,
    testing::Values(MistakeCase{"MissingRequired", "[http]\n", "[http] port: expected a whole number"},
                    MistakeCase{"OutOfRange", "[http]\nport = 0\n", "from 1 to 65535"},
                    MistakeCase{"NotABoolean", "[http]\nport = 1\ntls = maybe\n", "true or false"},
                    MistakeCase{"NotAChoice", "[http]\nport = 1\nmode = slow\n", "fast,safe"},
                    MistakeCase{"UnknownKey", "[http]\nport = 1\nprot = 1\n", "a known key"},
                    MistakeCase{"UnknownSection", "[http]\nport = 1\n[x]\ny = 1\n", "a known section"},
                    MistakeCase{"GivenTwice", "[http]\nport = 1\nport = 2\n", "only once"}),
    [](const auto &it) { return it.param.name; });

} // namespace

} // namespace ibislock
