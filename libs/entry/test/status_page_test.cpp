#include "status_page.h"

#include <gtest/gtest.h>
#include <regex>

namespace ibislock::entry
{

namespace
{

std::size_t countOf(const std::string &pattern)
{
    const std::string page(statusPage());
    const std::regex regex(pattern);
    return static_cast<std::size_t>(
        std::distance(std::sregex_iterator(page.begin(), page.end(), regex), std::sregex_iterator()));
}

TEST(StatusPageTest, HasOneScriptAndOneStyleThatThePolicyNames)
{
    EXPECT_EQ(countOf("<script"), 1U);
    EXPECT_EQ(countOf("<style"), 1U);
    const std::regex sources("default-src 'none'; script-src 'sha256-[A-Za-z0-9+/]{43}='; "
                             "style-src 'sha256-[A-Za-z0-9+/]{43}='; connect-src 'self'; .*frame-ancestors 'none'");
    EXPECT_TRUE(std::regex_match(statusPagePolicy(), sources)) << statusPagePolicy();
}

/// What a page under this policy and without outside assets must not contain.
struct Forbidden
{
    const char *name;
    const char *pattern;
};

class StatusPageContentTest : public testing::TestWithParam<Forbidden>
{
};

TEST_P(StatusPageContentTest, IsAbsent)
{
    EXPECT_EQ(countOf(GetParam().pattern), 0U) << GetParam().pattern;
}

INSTANTIATE_TEST_SUITE_P(StatusPage, StatusPageContentTest,
                         testing::Values(Forbidden{"OutsideAddress", "https?://"}, Forbidden{"Source", " src="},
                                         Forbidden{"Link", " href="}, Forbidden{"StyleUrl", "url\\("},
                                         Forbidden{"InlineHandler", " on[a-z]+="}, Forbidden{"InlineStyle", " style="},
                                         Forbidden{"MarkupFromData", "innerHTML|outerHTML|document\\.write"},
                                         Forbidden{"KeptCredential", "localStorage|sessionStorage|cookie"}),
                         [](const auto &test) { return std::string(test.param.name); });

} // namespace

} // namespace ibislock::entry
