// What target VMs do about manifests that are wrong, from the origin or from another VM.

#include "ibislock/base/digest.h"
#include "ibislock/weights/piece_sources.h"
#include "piece_exchange.h"
#include "side_fixture.h"

namespace ibislock::side
{

namespace
{

// One wrong digit in the manifest kept a version from all engines: all VMs took it over and fetched one piece for ever.
TEST_F(SideTest, AWrongManifestOfTheOriginIsNotBelieved)
{
    for (int n = 0; n < 4; ++n) {
        add(1);
    }
    start();
    m_loop.run_for(Millis{300});
    m_origin.wrongManifests = 1;
    name(2);
    EXPECT_TRUE(runUntilLoaded(2));
    EXPECT_LE(m_origin.piecesServed, 16);
    expectNothingSpoilt();
}

TEST_F(SideTest, ManifestsThatAreWrongInDifferentDigestsAreNotBelieved)
{
    for (int n = 0; n < 4; ++n) {
        add(1);
    }
    start();
    m_loop.run_for(Millis{300});
    m_origin.wrongManifests = 5;
    name(2);
    EXPECT_TRUE(runUntilLoaded(2));
    expectNothingSpoilt();
}

// A manifest without its last digest passed off an incomplete version as complete; engines loaded a piece of the old
// one.
TEST_F(SideTest, AManifestThatLacksPiecesIsNotBelieved)
{
    for (int n = 0; n < 4; ++n) {
        add(1);
    }
    start();
    m_loop.run_for(Millis{300});
    m_origin.shortManifests = 2;
    name(2);
    EXPECT_TRUE(runUntilLoaded(2));
    expectNothingSpoilt();
}

/// A VM of an earlier release, which believed a wrong manifest and is the first to be asked for it.
class WrongManifestTest : public SideTest
{
protected:
    /// Adds the VM in another domain than that of `vm`, which requests the manifest from it first.
    void addWrongVm(const Vm &vm)
    {
        const std::string ip = "127.0.1.100";
        const auto sources = weights::pieceSources(peer::ManifestIndex, vm.ip, vm.domain, {{.vm = ip, .domain = "a"}});
        ASSERT_EQ(sources.front().vm, ip);
        m_exchange = std::make_unique<PieceExchange>(
            m_loop, m_peerPort, Millis{1},
            PieceStore{
                .holds = [this](const peer::PieceMessage &request) { return holds(request); },
                .read =
                    [this](const peer::PieceMessage &request, const std::function<void(peer::PieceMessage)> &done) {
                        read(request, done);
                    }});
        ASSERT_FALSE(m_exchange->open(ip));
        m_store.append("i-" + ip,
                       nlohmann::json{{"Service", "s"},
                                      {"Address", ip + ":1"},
                                      {"Zone", "a"},
                                      {"Version", "v1"},
                                      {"Slots", 16},
                                      {"State", "ready"},
                                      {"ColdLeftMs", 0},
                                      {"Sequence", 1}}
                           .dump());
    }

    /// Of version 2 the VM holds the manifest only.
    std::optional<bool> holds(const peer::PieceMessage &request) const
    {
        return request.version == 2 && request.index == peer::ManifestIndex ? std::optional(true) : std::nullopt;
    }

    void read(const peer::PieceMessage &request, const std::function<void(peer::PieceMessage)> &done)
    {
        peer::PieceMessage answer = request;
        answer.content = peer::PieceContent::Manifest;
        for (int piece = 0; piece < m_origin.weights.pieces - m_missingDigests; ++piece) {
            answer.digests.push_back(sha256(lab::pieceBytes({.version = 2}, piece == 3 ? 99 : piece)));
        }
        ++m_manifestsSent;
        done(std::move(answer));
    }

    int m_missingDigests = 0;
    int m_manifestsSent = 0;
    std::unique_ptr<PieceExchange> m_exchange;
};

TEST_F(WrongManifestTest, OneOfAnotherVmIsReplacedByThatOfTheOrigin)
{
    addWrongVm(add(1));
    start();
    m_loop.run_for(Millis{300});
    name(2);
    EXPECT_TRUE(runUntilLoaded(2));
    EXPECT_GT(m_manifestsSent, 0);
    EXPECT_LE(m_origin.piecesServed, 2 * m_origin.weights.pieces);
    expectNothingSpoilt();
}

TEST_F(WrongManifestTest, OneOfAnotherVmThatLacksPiecesIsNotBelieved)
{
    m_missingDigests = 1;
    addWrongVm(add(1));
    start();
    m_loop.run_for(Millis{300});
    name(2);
    EXPECT_TRUE(runUntilLoaded(2));
    EXPECT_GT(m_manifestsSent, 0);
    expectNothingSpoilt();
}

} // namespace

} // namespace ibislock::side
