#include "ibislock/base/loop_stalls.h"
#include "ibislock/net/http_client.h"
#include "ibislock/peer/messages.h"
#include "ibislock/platform/listings.h"
#include "platform/log_capture.h"
#include "side_fixture.h"

#include <asio/ip/udp.hpp>
#include <optional>
#include <thread>

namespace ibislock::side
{

namespace
{

TEST_F(SideTest, AnAnnouncedVersionReachesAllEnginesWithOneCopyFromTheOrigin)
{
    for (int n = 0; n < 6; ++n) {
        add(1);
    }
    start();
    m_loop.run_for(std::chrono::milliseconds(400));
    name(2);
    ASSERT_TRUE(runUntilLoaded(2));
    EXPECT_EQ(m_origin.piecesServed, 8);
    expectNothingSpoilt();
    for (const auto &vm : m_vms) {
        EXPECT_EQ(vm->engine.orders, 1) << vm->ip;
    }
}

TEST_F(SideTest, AnEmptyEngineIsFilledByOtherVmsDuringAnOriginOutage)
{
    for (int n = 0; n < 3; ++n) {
        add(1);
    }
    start();
    m_loop.run_for(std::chrono::milliseconds(600)); // The VMs that hold the version fetch its manifest.
    m_origin.away = true;
    Vm &empty = add(0);
    ASSERT_TRUE(empty.daemon->start());
    EXPECT_TRUE(runUntilLoaded(1));
    EXPECT_EQ(m_origin.piecesServed, 0);
    expectNothingSpoilt();
}

TEST_F(SideTest, CorruptPiecesAreNeverLoaded)
{
    for (int n = 0; n < 4; ++n) {
        add(1);
    }
    start();
    m_origin.spoilt = 5;
    name(2);
    // A staged piece becomes corrupt after it was verified.
    const Millis end = steadyMillis() + Millis{5000};
    while (!m_vms[0]->engine.holdsWhole({.version = 2}) && steadyMillis() < end) {
        m_loop.run_one_for(std::chrono::milliseconds(5));
    }
    if (m_vms[0]->engine.orders == 0) {
        m_vms[0]->engine.staged[3] = "rotten";
    }
    ASSERT_TRUE(runUntilLoaded(2));
    expectNothingSpoilt();
}

TEST_F(SideTest, AnOrderThatIsAcceptedLateLoadsThePiecesThatWereStagedForIt)
{
    add(1);
    add(1);
    start();
    m_loop.run_for(std::chrono::milliseconds(300));
    lab::EngineStandIn &engine = m_vms[0]->engine;
    engine.orderDelay = Millis{2300}; // Longer than the daemon waits for a response.
    name(2);
    const Millis end = steadyMillis() + Millis{5000};
    while (!engine.holdsWhole({.version = 2}) && steadyMillis() < end) {
        m_loop.run_one_for(std::chrono::milliseconds(5));
    }
    m_loop.run_for(std::chrono::milliseconds(300));
    name(3); // While the order for version 2 is pending.
    m_loop.run_for(std::chrono::milliseconds(3000));
    engine.orderDelay = Millis{0};
    ASSERT_TRUE(runUntilLoaded(3));
    expectNothingSpoilt();
}

TEST_F(SideTest, AnOrderIsNotCountedAsFailedWhileItsEngineDoesNotRespond)
{
    constexpr Millis Silence{3700}; // Longer than the daemon waits for a response, and then for an effect.
    add(1);
    add(1);
    start();
    m_loop.run_for(std::chrono::milliseconds(300));
    lab::EngineStandIn &engine = m_vms[0]->engine;
    engine.orderDelay = Silence + Millis{800};
    name(2);
    const Millis end = steadyMillis() + Millis{10000};
    while (engine.delayedOrders == 0 && steadyMillis() < end) {
        m_loop.run_one_for(std::chrono::milliseconds(5));
    }
    ASSERT_EQ(engine.delayedOrders, 1);
    engine.away = true;
    name(3);
    m_loop.run_for(Silence);
    engine.away = false;
    m_loop.run_for(std::chrono::milliseconds(1200));
    engine.orderDelay = Millis{0};
    ASSERT_TRUE(runUntilLoaded(3));
    expectNothingSpoilt();
}

TEST_F(SideTest, AVersionThatIsAnnouncedDuringADistributionSupersedesIt)
{
    for (int n = 0; n < 4; ++n) {
        add(1);
    }
    start();
    m_loop.run_for(std::chrono::milliseconds(300));
    name(2);
    m_loop.run_for(std::chrono::milliseconds(150));
    name(3);
    ASSERT_TRUE(runUntilLoaded(3));
    expectNothingSpoilt();
}

TEST_F(SideTest, AVersionThatIsSupersededWhenMuchOfItIsStagedIsFinished)
{
    // The links are so slow that a copy takes a second, and the origin becomes unreachable when version 3 is announced.
    m_limits = {.linkMbps = 2, .versionTime = Millis{6000}};
    for (int n = 0; n < 4; ++n) {
        add(1);
    }
    start();
    m_loop.run_for(std::chrono::milliseconds(300));
    name(2);
    const Millis end = steadyMillis() + Millis{5000};
    const auto muchIsHere = [&] {
        return m_origin.piecesServed == 8 && std::all_of(m_vms.begin(), m_vms.end(), [](const auto &vm) {
                   int pieces = 0;
                   for (const auto &[piece, bytes] : vm->engine.staged) {
                       pieces += bytes == lab::pieceBytes({.version = 2}, piece) ? 1 : 0;
                   }
                   return pieces >= 3;
               });
    };
    while (!muchIsHere() && steadyMillis() < end) {
        m_loop.run_one_for(std::chrono::milliseconds(5));
    }
    ASSERT_TRUE(muchIsHere());
    m_origin.away = true;
    name(3);
    EXPECT_TRUE(runUntilLoaded(2));
    m_origin.away = false;
    EXPECT_TRUE(runUntilLoaded(3));
    EXPECT_EQ(m_origin.piecesServed, 16);
    expectNothingSpoilt();
}

TEST_F(SideTest, ANewerVersionIsPrefetchedWhileThePreviousOneWaitsForItsScheduledLoad)
{
    m_limits = {.versionTime = Millis{4800}};
    for (int n = 0; n < 4; ++n) {
        add(1);
    }
    start();
    m_loop.run_for(std::chrono::milliseconds(300));
    name(2);
    Vm &last = *m_vms[2]; // The schedule is ordered by domain and address: it is among the last.
    const Millis end = steadyMillis() + Millis{5000};
    while (!last.engine.holdsWhole({.version = 2}) && steadyMillis() < end) {
        m_loop.run_one_for(std::chrono::milliseconds(5));
    }
    name(3);
    m_loop.run_for(std::chrono::milliseconds(500));
    EXPECT_EQ(m_origin.piecesServed, 16) << "version 3 must be distributed to all VMs";
    EXPECT_TRUE(last.engine.holdsWhole({.version = 2})) << "the stage must hold version 2 until it is loaded";
    ASSERT_TRUE(runUntilLoaded(3));
    expectNothingSpoilt();
}

TEST_F(SideTest, PiecesThatAnEngineDoesNotAcceptAreKeptAndServedToOthers)
{
    Vm &lost = add(1);
    Vm &other = add(1);
    start();
    m_loop.run_for(std::chrono::milliseconds(300));
    name(2);
    const Millis end = steadyMillis() + Millis{5000};
    while (m_origin.piecesServed == 0 && steadyMillis() < end) {
        m_loop.run_one_for(std::chrono::milliseconds(5));
    }
    lost.engine.away = true;
    m_loop.run_for(std::chrono::milliseconds(2000));
    EXPECT_EQ(m_origin.piecesServed, 8) << "a piece must not be fetched again because it can't be staged";
    EXPECT_TRUE(other.engine.holdsWhole({.version = 2}));
    lost.engine.away = false;
    lost.engine.startedAt = 2;
    lost.engine.version = 0;
    lost.engine.orders = 0;
    EXPECT_TRUE(runUntilLoaded(2));
    EXPECT_EQ(m_origin.piecesServed, 8);
    expectNothingSpoilt();
}

TEST_F(SideTest, AnEngineThatRestartsWithNothingIsFilledAgain)
{
    add(1);
    add(1);
    start();
    m_loop.run_for(std::chrono::milliseconds(500));
    lab::EngineStandIn &engine = m_vms[1]->engine;
    engine.startedAt = 2;
    engine.version = 0;
    engine.orders = 0;
    engine.staged.erase(4);
    EXPECT_TRUE(runUntilLoaded(1));
    expectNothingSpoilt();
}

// Each read of a piece could hold 16 MB, 32 at a time: the daemon exceeded its memory and was killed again and again.
TEST_F(SideTest, AReadOfTheStageWithoutEndIsCutOff)
{
    constexpr std::size_t MostBytes = 1U << 20U; // Of each response: the limit, and bytes in transit.
    Vm &vm = add(1);
    vm.engine.endlessReads = true;
    start();
    m_loop.run_for(Millis{1000});
    ASSERT_GT(vm.engine.endlessResponses, 0);
    EXPECT_LT(vm.engine.endlessBytes / static_cast<std::size_t>(vm.engine.endlessResponses), MostBytes);
    vm.engine.endlessReads = false;
    name(2);
    EXPECT_TRUE(runUntilLoaded(2));
    expectNothingSpoilt();
}

TEST_F(SideTest, AnUnreachableVmDoesNotBlockTheOthers)
{
    for (int n = 0; n < 4; ++n) {
        add(1);
    }
    // A listed VM at whose address nothing listens.
    nlohmann::json gone = nlohmann::json::parse(m_vms[0]->listing());
    gone["Address"] = "127.0.1.99:9";
    m_store.append("i-gone", gone.dump());
    start();
    m_loop.run_for(std::chrono::milliseconds(300));
    name(2);
    ASSERT_TRUE(runUntilLoaded(2));
    expectNothingSpoilt();
}

TEST_F(SideTest, AnUnreachableVmDoesNotMakeItsWholeDomainFetchFromTheOrigin)
{
    for (int n = 0; n < 10; ++n) {
        add(1);
    }
    nlohmann::json gone = nlohmann::json::parse(m_vms[0]->listing());
    gone["Address"] = "127.0.1.0:9";
    m_store.append("i-gone", gone.dump());
    start();
    m_loop.run_for(std::chrono::milliseconds(300));
    m_origin.delay = Millis{100}; // No VM holds a piece when the others detect that its owner is unreachable.
    name(2);
    ASSERT_TRUE(runUntilLoaded(2));
    // The unreachable VM, one of six in its domain, owns at most two of the eight pieces; each domain fetches those
    // once.
    EXPECT_LE(m_origin.piecesServed, 8 + 2);
    expectNothingSpoilt();
}

/// A stand-in for an entry VM, as target VMs see it.
class EntryStandIn
{
public:
    EntryStandIn(asio::io_context &loop, const std::string &ip, std::uint16_t port)
        : m_socket(loop, {asio::ip::make_address_v4(ip), port})
    {
        m_socket.non_blocking(true);
    }

    void tell(const std::string &vm, bool wantsLoads)
    {
        const asio::ip::udp::endpoint to(asio::ip::make_address_v4(vm), m_socket.local_endpoint().port());
        m_socket.send_to(asio::buffer(peer::encode(peer::SubscribeMessage{.wantsLoads = wantsLoads})), to);
    }

    /// Tells a VM that the operators' topic ends at an offset now.
    void validate(const std::string &vm, std::int64_t end)
    {
        const asio::ip::udp::endpoint to(asio::ip::make_address_v4(vm), m_socket.local_endpoint().port());
        const peer::SubscribeMessage message{
            .operatorsWatermark = {.end = {.offset = end}, .announcementsEnd = {.offset = 0}, .age = Millis{0}}};
        m_socket.send_to(asio::buffer(peer::encode(message)), to);
    }

    /// Returns the load messages that have arrived.
    std::vector<peer::LoadMessage> loads()
    {
        std::vector<peer::LoadMessage> out;
        std::array<char, 1500> buf{};
        asio::error_code ec;
        for (std::size_t n = m_socket.receive(asio::buffer(buf), 0, ec); !ec;
             n = m_socket.receive(asio::buffer(buf), 0, ec)) {
            const auto message = peer::decodeDatagram({buf.data(), n});
            if (message && std::holds_alternative<peer::LoadMessage>(*message)) {
                out.push_back(std::get<peer::LoadMessage>(*message));
            }
        }
        return out;
    }

private:
    asio::ip::udp::socket m_socket;
};

TEST_F(SideTest, LoadsAreSentToSubscribersAndAllEntryVmsAreCounted)
{
    Vm &vm = add(1);
    start();
    EntryStandIn watches(m_loop, "127.0.1.101", m_peerPort);
    EntryStandIn isThere(m_loop, "127.0.1.102", m_peerPort);
    watches.tell(vm.ip, true);
    isThere.tell(vm.ip, false);
    m_loop.run_for(std::chrono::milliseconds(700));
    const auto loads = watches.loads();
    ASSERT_FALSE(loads.empty());
    EXPECT_EQ(loads.back().entryVmCount, 2);
    EXPECT_TRUE(isThere.loads().empty());
}

// It went on relying on other VMs, which by then relied on it. New versions were read when that expired.
TEST_F(SideTest, VmThatBecomesARelayReadsTheOperatorsTopicForOthers)
{
    constexpr Millis UntilItIsARelay{2500};
    constexpr Millis UntilItHasRead{500};
    Vm vm(m_loop, 1, m_peerPort, m_store.port(), m_limits);
    vm.engine.version = 1;
    start();
    ASSERT_TRUE(vm.daemon->start());
    EntryStandIn entry(m_loop, "127.0.1.101", m_peerPort);
    std::int64_t end = 1;
    const auto runValidated = [&](Millis time) {
        for (const Millis until = steadyMillis() + time; steadyMillis() < until;) {
            entry.validate(vm.ip, end);
            m_loop.run_for(std::chrono::milliseconds(50));
        }
    };
    runValidated(Millis{500});
    m_store.append("i-" + vm.ip, vm.listing());
    m_loop.run_for(std::chrono::milliseconds(20));
    ++end;
    runValidated(UntilItIsARelay);
    name(2);
    runValidated(UntilItHasRead);
    const auto sent = m_store.recordsSent.find({std::string(platform::OperatorsTopic), "version/m"});
    EXPECT_NE(sent, m_store.recordsSent.end());
}

TEST_F(SideTest, AStallOfTheEventLoopIsLoggedAndCounted)
{
    Vm &vm = add(1);
    std::uint16_t port = 0;
    {
        net::Listener probe(m_loop, [](const std::shared_ptr<net::Connection> &) {});
        ASSERT_FALSE(probe.open(vm.ip, 0));
        port = probe.port();
    }
    vm.daemon = std::make_unique<SideDaemon>(m_loop, vm.settings, SideOptions{.metricsPort = port});
    start();
    m_loop.run_for(std::chrono::milliseconds(50));
    lab::LogCapture log;
    std::this_thread::sleep_for(StallReportThreshold * 2);
    m_loop.poll();
    const auto lines = log.take("side: The event loop stalled.");
    ASSERT_FALSE(lines.empty());
    EXPECT_NE(lines[0].find(" stall_ms="), std::string::npos) << lines[0];

    net::HttpClient client(m_loop);
    std::optional<std::string> metrics;
    const auto exchange =
        client.call(vm.ip, port, "GET /metrics HTTP/1.1\r\n\r\n", {.timeout = Millis{5000}},
                    [&](net::ExchangeOutcome, const http::ResponseHead &, const std::string &body) { metrics = body; });
    while (!metrics) {
        m_loop.run_one();
    }
    const std::string name = "\nibislock_loop_longest_stall_ms ";
    const std::size_t at = metrics->find(name);
    ASSERT_NE(at, std::string::npos) << *metrics;
    EXPECT_GE(Millis{std::stoll(metrics->substr(at + name.size()))}, StallReportThreshold);
}

} // namespace

} // namespace ibislock::side
