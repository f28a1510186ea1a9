// What target VMs do while the origin is unreachable, and when it is back.

#include "side_fixture.h"

namespace ibislock::side
{

namespace
{

/// Limit of requests to the origin in a second while it is unreachable.
constexpr int AttemptsInSecond = 20;

class OriginOutageTest : public SideTest
{
protected:
    void startVms(int vms)
    {
        m_limits = {.versionTime = Millis{6000}, .originMbps = 0.1};
        for (int n = 0; n < vms; ++n) {
            add(1);
        }
        start();
        m_loop.run_for(Millis{400});
    }

    void runUntilServed(int pieces)
    {
        const Millis end = steadyMillis() + Millis{5000};
        while (m_origin.piecesServed < pieces && steadyMillis() < end) {
            m_loop.run_one_for(std::chrono::milliseconds(5));
        }
        ASSERT_GE(m_origin.piecesServed, pieces);
    }

    /// Makes the origin unreachable for some seconds and counts the requests to it.
    void outage(int seconds)
    {
        m_origin.away = true;
        m_loop.run_for(Millis{1000} * seconds);
        m_origin.away = false;
        EXPECT_GT(m_origin.refused, 0) << "otherwise no VM would notice that the origin is back";
        EXPECT_LT(m_origin.refused, AttemptsInSecond * seconds);
    }
};

// 58 VMs sent 2,200 requests a second to an origin that was unreachable, and fetched several copies when it was back.
TEST_F(OriginOutageTest, EachMissingPieceIsFetchedOnceAfterAnOutageInTheMiddleOfAVersion)
{
    startVms(9);
    m_origin.delay = Millis{60};
    name(2);
    runUntilServed(2);
    outage(3);
    EXPECT_TRUE(runUntilLoaded(2));
    EXPECT_LE(m_origin.piecesServed, m_origin.weights.pieces + 1);
    expectNothingSpoilt();
}

TEST_F(OriginOutageTest, TheManifestIsRequestedByFewVmsDuringAnOutage)
{
    startVms(9);
    m_origin.away = true;
    name(2);
    outage(3);
    EXPECT_TRUE(runUntilLoaded(2));
    EXPECT_LE(m_origin.piecesServed, m_origin.weights.pieces + 1);
    EXPECT_LE(m_origin.manifestsServed, 6);
}

// The pieces of owners that are gone must not stay at the origin.
TEST_F(OriginOutageTest, OwnersThatStopDuringAnOutageAreReplaced)
{
    startVms(9);
    m_origin.delay = Millis{60};
    name(2);
    runUntilServed(2);
    m_origin.away = true;
    m_loop.run_for(Millis{300});
    m_vms[1]->daemon.reset();
    m_vms[4]->daemon.reset();
    m_vms.erase(m_vms.begin() + 4);
    m_vms.erase(m_vms.begin() + 1);
    outage(3);
    EXPECT_TRUE(runUntilLoaded(2));
    EXPECT_LE(m_origin.piecesServed, m_origin.weights.pieces + 2);
}

} // namespace

} // namespace ibislock::side
