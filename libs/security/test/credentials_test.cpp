#include "ibislock/security/credential_store.h"
#include "ibislock/standins/certificate_authority.h"

#include <fstream>
#include <gtest/gtest.h>

namespace ibislock::security
{

namespace
{

constexpr const char *OldKey = "old-key-of-dala-members";
constexpr const char *NewKey = "new-key-of-dala-members";

void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream(path) << text;
}

TEST(CredentialsTest, AcceptsBothKeysDuringARotation)
{
    std::vector<CredentialError> errors;
    const auto keys = credentialsFrom({.workspaces = {{"dala", std::string(OldKey) + ", " + NewKey}}}, errors);
    EXPECT_TRUE(errors.empty());
    EXPECT_EQ(findCaller(keys, OldKey), "dala");
    EXPECT_EQ(findCaller(keys, NewKey), "dala");
    EXPECT_EQ(findCaller(keys, "another-key-altogether"), std::nullopt);
    EXPECT_EQ(findCaller(keys, ""), std::nullopt);
}

TEST(CredentialsTest, AcceptsAKeyOfWhichOnlyTheDigestIsWritten)
{
    std::vector<CredentialError> errors;
    const auto keys = credentialsFrom(
        {.operators = {{"aisha", "sha256:" + toHex(sha256(NewKey))}}, .roles = {{"aisha", "file"}}}, errors);
    EXPECT_TRUE(errors.empty());
    EXPECT_EQ(findOperator(keys, NewKey), (Operator{.name = "aisha", .role = OperatorRole::File}));
}

TEST(CredentialsTest, AnOperatorWithoutARoleMayOnlyView)
{
    std::vector<CredentialError> errors;
    const auto keys = credentialsFrom({.operators = {{"aisha", NewKey}}}, errors);
    EXPECT_EQ(findOperator(keys, NewKey)->role, OperatorRole::View);
}

/// A section with a mistake, and what its message must contain.
struct MistakeCase
{
    const char *name;
    CredentialSections sections;
    const char *expected;
};

class CredentialMistakeTest : public testing::TestWithParam<MistakeCase>
{
};

TEST_P(CredentialMistakeTest, NamesThePlaceAndNeverTheKey)
{
    std::vector<CredentialError> errors;
    credentialsFrom(GetParam().sections, errors);
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_NE(errors[0].expected.find(GetParam().expected), std::string::npos) << errors[0].expected;
    EXPECT_EQ(errors[0].expected.find("secret"), std::string::npos) << errors[0].expected;
}

INSTANTIATE_TEST_SUITE_P(
    Cases, CredentialMistakeTest,
    testing::Values(
        MistakeCase{"Short", {.workspaces = {{"a", "secret"}}}, "at least 16 characters"},
        MistakeCase{"Empty", {.workspaces = {{"a", ""}}}, "one or two keys"},
        MistakeCase{"Three", {.workspaces = {{"a", "secret-1,secret-2,secret-3"}}}, "one or two keys"},
        MistakeCase{"Digest", {.operators = {{"a", "sha256:secret"}}}, "hexadecimal digits"},
        MistakeCase{
            "Shared", {.workspaces = {{"a", "secret-secret-secret"}, {"b", "secret-secret-secret"}}}, "no other line"},
        MistakeCase{"Role", {.operators = {{"a", "secret-secret-secret"}}, .roles = {{"a", "root"}}}, "view or file"},
        MistakeCase{"NoOperator", {.roles = {{"a", "file"}}}, "an operator of the section"}),
    [](const auto &it) { return it.param.name; });

class CredentialStoreTest : public testing::Test
{
protected:
    standins::TemporaryDirectory m_directory;
    std::string m_file = m_directory.path() + "/keys.ini";
    Counters m_counters;
};

TEST_F(CredentialStoreTest, TakesOverAReplacedFileWithoutARestart)
{
    writeFile(m_file, std::string("[workspaces]\ndala = ") + OldKey + "\n");
    CredentialStore store({.file = m_file}, m_counters);
    EXPECT_EQ(findCaller(*store.current(), OldKey), "dala");
    writeFile(m_file, std::string("[workspaces]\ndala = ") + OldKey + ", " + NewKey + "\n");
    store.refresh();
    EXPECT_EQ(findCaller(*store.current(), OldKey), "dala");
    EXPECT_EQ(findCaller(*store.current(), NewKey), "dala");
    writeFile(m_file, std::string("[workspaces]\ndala = ") + NewKey + "\n");
    store.refresh();
    EXPECT_EQ(findCaller(*store.current(), OldKey), std::nullopt) << "a revoked key is still accepted";
}

TEST_F(CredentialStoreTest, KeepsTheKeysInForceWhenTheNewFileHasAMistake)
{
    writeFile(m_file, std::string("[workspaces]\ndala = ") + OldKey + "\n");
    CredentialStore store({.file = m_file}, m_counters);
    writeFile(m_file, "[workspaces]\ndala = short\n");
    store.refresh();
    EXPECT_EQ(findCaller(*store.current(), OldKey), "dala");
    EXPECT_EQ(m_counters.value(Counter::ReloadFailures), 1U);
}

} // namespace

} // namespace ibislock::security
