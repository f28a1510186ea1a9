#include "ibislock/security/settings.h"
#include "ibislock/standins/certificate_authority.h"

#include <fstream>
#include <gtest/gtest.h>

namespace ibislock::security
{

namespace
{

using standins::CertificateAuthority;
using standins::CertificateOptions;
using standins::IssuedFiles;

constexpr Millis Hour{3600000};

TlsFiles filesOf(const IssuedFiles &issued)
{
    return {.certificate = issued.certificate, .privateKey = issued.privateKey, .authority = issued.authority};
}

class TlsTest : public testing::Test
{
protected:
    standins::TemporaryDirectory m_directory;
    CertificateAuthority m_authority{"deployment", m_directory.path()};
    CertificateAuthority m_stranger{"stranger", m_directory.path()};
};

TEST_F(TlsTest, ReadsACertificateOfTheDeployment)
{
    const auto material = loadTls(filesOf(m_authority.issue({.commonName = "entry1"})), "ibislock", wallMillis());
    ASSERT_TRUE(material) << material.error().message;
    EXPECT_EQ(material->commonName, "entry1");
    EXPECT_GT(material->expiresAt, wallMillis());
}

TEST_F(TlsTest, TakesOverAReplacedCertificateAndKeepsTheOldOneOtherwise)
{
    const TlsFiles files = filesOf(m_authority.issue({.commonName = "entry1"}));
    const auto store = TlsStore::open(files, "ibislock");
    ASSERT_TRUE(store) << store.error().message;
    const auto first = (*store)->current();
    m_authority.issue({.commonName = "entry1"});
    EXPECT_TRUE((*store)->refresh().value_or(false));
    const auto second = (*store)->current();
    EXPECT_NE(first->certificatePem, second->certificatePem);
    std::ofstream(files.privateKey) << "not a key";
    EXPECT_FALSE((*store)->refresh());
    EXPECT_EQ((*store)->current(), second);
}

/// Files with a mistake, and what the message of `check-settings` must contain.
struct MistakeCase
{
    const char *name;
    TlsFiles (*make)(const CertificateAuthority &authority, const CertificateAuthority &stranger);
    const char *expected;
};

class TlsMistakeTest : public TlsTest, public testing::WithParamInterface<MistakeCase>
{
};

TEST_P(TlsMistakeTest, IsNamedByTheSettingsCheck)
{
    const TlsFiles files = GetParam().make(m_authority, m_stranger);
    const auto errors = checkTls("a.ini", {.peers = files}, false, wallMillis());
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_NE(describe(errors[0]).find(GetParam().expected), std::string::npos) << describe(errors[0]);
}

const auto &cases()
{
    static const std::vector<MistakeCase> all{
        {"Expired",
         [](const CertificateAuthority &authority, const CertificateAuthority &) {
             return filesOf(authority.issue({.commonName = "a", .validFrom = -2 * Hour, .validUntil = -Hour}));
         },
         "has expired"},
        {"NotYetValid",
         [](const CertificateAuthority &authority, const CertificateAuthority &) {
             return filesOf(authority.issue({.commonName = "a", .validFrom = Hour, .validUntil = 2 * Hour}));
         },
         "is not valid yet"},
        {"MissingCertificate",
         [](const CertificateAuthority &authority, const CertificateAuthority &) {
             TlsFiles files = filesOf(authority.issue({.commonName = "a"}));
             files.certificate += ".gone";
             return files;
         },
         "can't read"},
        {"NoKeyNamed",
         [](const CertificateAuthority &authority, const CertificateAuthority &) {
             TlsFiles files = filesOf(authority.issue({.commonName = "a"}));
             files.privateKey.clear();
             return files;
         },
         "no file is named for the private key"},
        {"UnreadableCertificate",
         [](const CertificateAuthority &authority, const CertificateAuthority &) {
             TlsFiles files = filesOf(authority.issue({.commonName = "a"}));
             files.certificate = files.privateKey;
             return files;
         },
         "is not a certificate in PEM"},
        {"UnreadableKey",
         [](const CertificateAuthority &authority, const CertificateAuthority &) {
             TlsFiles files = filesOf(authority.issue({.commonName = "a"}));
             files.privateKey = files.certificate;
             return files;
         },
         "is not a private key in PEM"},
        {"MismatchedKey",
         [](const CertificateAuthority &authority, const CertificateAuthority &) {
             TlsFiles files = filesOf(authority.issue({.commonName = "a"}));
             files.privateKey = authority.issue({.commonName = "b"}).privateKey;
             return files;
         },
         "does not belong to the certificate"},
        {"OtherAuthority",
         [](const CertificateAuthority &authority, const CertificateAuthority &stranger) {
             TlsFiles files = filesOf(stranger.issue({.commonName = "a"}));
             files.authority = authority.file();
             return files;
         },
         "is not signed by"},
        {"OtherName",
         [](const CertificateAuthority &authority, const CertificateAuthority &) {
             return filesOf(authority.issue({.commonName = "a", .dnsNames = {"other"}}));
         },
         "does not carry the name ibislock"},
    };
    return all;
}

INSTANTIATE_TEST_SUITE_P(Cases, TlsMistakeTest, testing::ValuesIn(cases()),
                         [](const auto &it) { return it.param.name; });

} // namespace

} // namespace ibislock::security
