#include "child_process.h"

#include "ibislock/base/ini.h"
#include "ibislock/configuration/ticket.h"
#include "ibislock/standins/certificate_authority.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>

namespace ibislock::lab
{

namespace
{

namespace fs = std::filesystem;

constexpr std::string_view InstalledDirectory = "/etc/ibislock";

std::string textOf(const fs::path &file)
{
    const auto text = readFile(file.string());
    EXPECT_TRUE(text) << text.error().message;
    return text.value_or("");
}

std::vector<fs::path> filesOf(const std::string &deployment, const std::string &extension)
{
    std::vector<fs::path> files;
    for (const auto &entry : fs::directory_iterator(fs::path(IBISLOCK_SOURCE_DIR) / "docs/examples" / deployment)) {
        if (entry.path().extension() == extension) {
            files.push_back(entry.path());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

/// The example files of one deployment, installed in a directory of their own with certificates of an authority.
class ExamplesTest : public testing::TestWithParam<const char *>
{
protected:
    ExamplesTest()
        : m_authority("authority", m_directory.path())
    {
        fs::create_directories(m_directory.path() + "/tls");
        for (const char *name : {"entry", "target"}) {
            const auto files = m_authority.issue({.commonName = name});
            fs::copy_file(files.certificate, m_directory.path() + "/tls/" + name + ".pem");
            fs::copy_file(files.privateKey, m_directory.path() + "/tls/" + name + ".key");
        }
        fs::copy_file(m_authority.file(), m_directory.path() + "/tls/authority.pem");
    }

    std::string install(const fs::path &file) const
    {
        std::string text = textOf(file);
        for (std::size_t i = text.find(InstalledDirectory); i != std::string::npos;
             i = text.find(InstalledDirectory, i + m_directory.path().size())) {
            text.replace(i, InstalledDirectory.size(), m_directory.path());
        }
        const std::string installed = m_directory.path() + "/" + file.filename().string();
        std::ofstream(installed) << text;
        return installed;
    }

    standins::TemporaryDirectory m_directory;
    standins::CertificateAuthority m_authority;
};

TEST_P(ExamplesTest, SettingsPassTheChecks)
{
    const auto files = filesOf(GetParam(), ".ini");
    ASSERT_GT(files.size(), 3U);
    std::vector<std::string> installed;
    for (const fs::path &file : files) {
        installed.push_back(install(file));
    }
    const std::string log = m_directory.path() + "/check.log";
    for (const std::string &file : installed) {
        if (file.ends_with("credentials.ini")) {
            continue; // It is no daemon's file; the entry files name it, and it is checked with them.
        }
        ChildProcess check({IBISLOCK_BINARY, "check-settings", file}, log);
        EXPECT_EQ(check.wait(), 0) << textOf(log);
    }
}

TEST_P(ExamplesTest, TicketsAreWellFormed)
{
    const auto files = filesOf(GetParam(), ".json");
    ASSERT_FALSE(files.empty());
    for (const fs::path &file : files) {
        const auto ticket = configuration::ticketFromJson(textOf(file));
        EXPECT_TRUE(ticket) << file << ": " << ticket.error().message;
    }
}

INSTANTIATE_TEST_SUITE_P(Deployments, ExamplesTest, testing::Values("dala", "authority"),
                         [](const auto &test) { return std::string(test.param); });

} // namespace

} // namespace ibislock::lab
