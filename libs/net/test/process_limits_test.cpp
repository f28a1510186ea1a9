#include "ibislock/net/process_limits.h"

#include <fstream>
#include <gtest/gtest.h>

namespace ibislock::net
{

namespace
{

void write(const std::filesystem::path &file, const std::string &text)
{
    std::filesystem::create_directories(file.parent_path());
    std::ofstream(file) << text;
}

// Guards against a limit of a control group that isn't seen, as it is set above the process's own or in an older
// layout.
TEST(ProcessLimitsTest, TheLowestLimitOfAllControlGroupsApplies)
{
    std::string root = (std::filesystem::temp_directory_path() / "ibislock-groups-XXXXXX").string();
    ASSERT_NE(mkdtemp(root.data()), nullptr);
    EXPECT_FALSE(controlGroupLimit("0::/a/b\n", root));
    write(root + "/a/b/memory.max", "max\n");
    EXPECT_FALSE(controlGroupLimit("0::/a/b\n", root));
    write(root + "/a/memory.max", "3000\n");
    EXPECT_EQ(controlGroupLimit("0::/a/b\n", root), 3000U);
    write(root + "/a/b/memory.max", "2000\n");
    EXPECT_EQ(controlGroupLimit("0::/a/b\n", root), 2000U);
    write(root + "/memory/c/memory.limit_in_bytes", "1000\n");
    EXPECT_EQ(controlGroupLimit("4:cpu,memory:/c\n0::/a/b\n", root), 1000U);
    EXPECT_EQ(controlGroupLimit("4:cpu:/c\n0::/a\n", root), 3000U);
    EXPECT_FALSE(controlGroupLimit("not a group\n", root));
    std::filesystem::remove_all(root);
}

TEST(ProcessLimitsTest, ASettingBelowTheLimitsOfTheSystemApplies)
{
    EXPECT_EQ(availableMemoryMb(1), 1);
    EXPECT_LT(availableMemoryMb(1e12), 1e12);
}

} // namespace

} // namespace ibislock::net
