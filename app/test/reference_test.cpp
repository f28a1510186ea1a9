#include "reference.h"

#include "ibislock/base/ini.h"

#include <gtest/gtest.h>

namespace ibislock::app
{

namespace
{

TEST(ReferenceTest, PagesAgreeWithTheCode)
{
    const std::string directory = IBISLOCK_SOURCE_DIR "/docs/reference/";
    EXPECT_EQ(readFile(directory + "settings.md").value_or(""), settingsPage())
        << "run: ibislock reference settings > docs/reference/settings.md";
    EXPECT_EQ(readFile(directory + "counters.md").value_or(""), countersPage())
        << "run: ibislock reference counters > docs/reference/counters.md";
}

} // namespace

} // namespace ibislock::app
