// The whole path with TLS between all processes and towards callers and operators.

#include "deployment.h"
#include "ibislock/standins/certificate_authority.h"

#include <gtest/gtest.h>

namespace ibislock::lab
{

namespace
{

constexpr Millis Patience{30000};
constexpr std::uint64_t ChunkBytes = 64 << 10;

security::TlsOptions tlsOf(const standins::IssuedFiles &files)
{
    return {.mode = security::TlsMode::Tls,
            .peers = {.certificate = files.certificate, .privateKey = files.privateKey, .authority = files.authority},
            .http = {.certificate = files.certificate, .privateKey = files.privateKey},
            .reloadInterval = Millis(20)};
}

class TlsDeploymentTest : public testing::Test
{
protected:
    TlsDeploymentTest()
    {
        for (EntryVm &vm : m_deployment.entries()) {
            vm.options.node.tls = tlsOf(m_authority.issue({.commonName = vm.name}));
        }
        for (TargetVm &vm : m_deployment.targets()) {
            vm.options.node.tls = tlsOf(m_authority.issue({.commonName = vm.name}));
        }
        m_deployment.start();
    }

    std::unique_ptr<httplib::SSLClient> clientFor(std::uint16_t port, const std::string &authority)
    {
        auto client = std::make_unique<httplib::SSLClient>("127.0.0.1", port);
        client->set_ca_cert_path(authority);
        client->enable_server_certificate_verification(true);
        client->set_bearer_token_auth(OperatorCredential);
        return client;
    }

    template <typename Condition>
    bool waitUntil(Condition &&condition) const
    {
        const Millis deadline = steadyMillis() + Patience;
        while (!condition() && steadyMillis() < deadline) {
            std::this_thread::sleep_for(Millis(5));
        }
        return condition();
    }

    standins::TemporaryDirectory m_directory;
    standins::CertificateAuthority m_authority{"deployment", m_directory.path()};
    Deployment m_deployment{{.domains = 1, .entriesPerDomain = 1, .targetsPerDomain = 2}};
};

TEST_F(TlsDeploymentTest, ServesATicketsVersion)
{
    entry::Daemon &entry = *m_deployment.entries()[0].daemon;
    const Digest root = m_deployment.store().addVersion("frost", "1", 4 * ChunkBytes, ChunkBytes, 1);
    auto client = clientFor(entry.administrationPort(), m_authority.file());
    const auto filed = client->Post("/v1/tickets", m_deployment.ticketFor(1, "1", root), "application/json");
    ASSERT_TRUE(filed) << httplib::to_string(filed.error());
    EXPECT_EQ(filed->status, 200) << filed->body;
    ASSERT_TRUE(m_deployment.waitUntilServing(root, Patience));
    auto caller = clientFor(entry.callersPort(), m_authority.file());
    caller->set_bearer_token_auth(CallerCredential);
    EXPECT_TRUE(waitUntil([&] {
        const auto answer = caller->Post("/v1/completions", R"({"model": "forecast", "prompt": "a", "max_tokens": 4})",
                                         "application/json");
        return answer && answer->status == 200;
    }));
}

/// Who connects to a target process's port, without checking whom it meets there.
struct PeerCase
{
    const char *name;
    bool showsCertificate;
    bool ofTheDeployment;
    Millis validUntil;
};

class TlsPeerTest : public TlsDeploymentTest, public testing::WithParamInterface<PeerCase>
{
};

TEST_P(TlsPeerTest, IsRefusedAndCounted)
{
    const standins::CertificateAuthority stranger("stranger", m_directory.path());
    const auto &issuer = GetParam().ofTheDeployment ? m_authority : stranger;
    const auto files = issuer.issue({.commonName = "entry9", .validUntil = GetParam().validUntil});
    target::Daemon &target = *m_deployment.targets()[0].daemon;
    const auto client = GetParam().showsCertificate
        ? std::make_unique<httplib::SSLClient>("127.0.0.1", target.rpcPort(), files.certificate, files.privateKey)
        : std::make_unique<httplib::SSLClient>("127.0.0.1", target.rpcPort());
    client->enable_server_certificate_verification(false);
    EXPECT_FALSE(client->Get("/"));
    EXPECT_TRUE(waitUntil([&] { return target.counters().value(Counter::PeersRefused) > 0; }));
}

INSTANTIATE_TEST_SUITE_P(Cases, TlsPeerTest,
                         testing::Values(PeerCase{"WithoutCertificate", false, true, Millis(3600000)},
                                         PeerCase{"OfAnotherAuthority", true, false, Millis(3600000)},
                                         PeerCase{"Expired", true, true, Millis(-60000)}),
                         [](const auto &it) { return it.param.name; });

TEST_F(TlsDeploymentTest, RefusesAndCountsAnOrderInPlainText)
{
    const rpc::EventLoop loop;
    rpc::Client client(loop, {.exchangeTimeout = Millis(1000)});
    target::Daemon &target = *m_deployment.targets()[0].daemon;
    const auto answer =
        client.submit("127.0.0.1:" + std::to_string(target.rpcPort()), {.id = "1", .entryVm = "entry1"});
    EXPECT_TRUE(waitUntil([&] { return target.counters().value(Counter::PeersRefused) > 0; }));
    EXPECT_EQ(target.counters().value(Counter::RequestsReceived), 0U);
}

TEST_F(TlsDeploymentTest, RefusesAndCountsARequestInTheNameOfAnotherVm)
{
    const auto &files = m_deployment.targets()[1].options.node.tls.peers;
    const auto store = security::TlsStore::open(files, "ibislock");
    ASSERT_TRUE(store) << store.error().message;
    const rpc::EventLoop loop;
    rpc::Client client(loop, {.tls = *store});
    target::Daemon &target = *m_deployment.targets()[0].daemon;
    const auto answer =
        client.submit("127.0.0.1:" + std::to_string(target.rpcPort()), {.id = "1", .entryVm = "entry1"});
    EXPECT_TRUE(waitUntil([&] { return target.counters().value(Counter::PeersRefused) > 0; }));
    EXPECT_EQ(target.counters().value(Counter::RequestsReceived), 0U);
}

TEST_F(TlsDeploymentTest, ShowsAReplacedCertificateWithoutARestart)
{
    EntryVm &vm = m_deployment.entries()[0];
    const standins::CertificateAuthority next("next", m_directory.path());
    const auto port = vm.daemon->administrationPort();
    ASSERT_TRUE(clientFor(port, m_authority.file())->Get("/v1/status"));
    EXPECT_FALSE(clientFor(port, next.file())->Get("/v1/status"));
    // The files of the certificate for HTTP are replaced by those of another authority.
    next.issue({.commonName = vm.name});
    EXPECT_TRUE(waitUntil([&] { return bool(clientFor(port, next.file())->Get("/v1/status")); }))
        << "the old certificate is still shown";
}

} // namespace

} // namespace ibislock::lab
