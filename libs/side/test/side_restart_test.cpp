// What target VMs do when all start at once behind a restart: engines have nothing loaded, and parts of the wanted
// version staged.

#include "ibislock/net/timer.h"
#include "ibislock/weights/origin_turns.h"
#include "ibislock/weights/piece_holdings.h"
#include "piece_exchange.h"
#include "platform/log_capture.h"
#include "side_fixture.h"

#include <set>

namespace ibislock::side
{

namespace
{

constexpr std::int64_t WantedVersion = 2;

/// The weights that are announced.
lab::WeightsStandIn wanted()
{
    return {.version = WantedVersion};
}

/// Target VMs of two domains that restart together.
class RestartTest : public SideTest
{
protected:
    /// Adds VMs without weights.
    void addEmpty(int vms)
    {
        for (int n = 0; n < vms; ++n) {
            add(0).engine.expected = wanted();
        }
    }

    /// Returns the other VMs as those of a VM.
    std::vector<weights::DistributionMember> othersOf(const Vm &vm) const
    {
        std::vector<weights::DistributionMember> out;
        for (const auto &other : m_vms) {
            if (other->ip != vm.ip) {
                out.push_back({.vm = other->ip, .domain = other->domain});
            }
        }
        return out;
    }

    /// Returns the addresses of all VMs.
    std::vector<std::string> addresses() const
    {
        std::vector<std::string> out;
        for (const auto &vm : m_vms) {
            out.push_back(vm->ip);
        }
        return out;
    }

    /// Announces the wanted version before the VMs start.
    void startBehindAnnouncement()
    {
        name(WantedVersion);
        start();
    }
};

// Who is to fetch a piece asked a few VMs for it and then the origin, whatever all others had staged.
TEST_F(RestartTest, PiecesThatAnyVmHasStagedAreNotFetchedFromTheOrigin)
{
    addEmpty(12);
    for (int piece = 0; piece < wanted().pieces; ++piece) {
        // The VM of its domain that comes last in the order of the piece, so that no other VM looks for it there.
        const auto last = std::max_element(m_vms.begin(), m_vms.end(), [&](const auto &a, const auto &b) {
            const auto place = [&](const Vm &vm) {
                return weights::originRank(piece, vm.ip, vm.domain, othersOf(vm)).inDomain;
            };
            return place(*a) < place(*b);
        });
        (*last)->engine.staged[piece] = pieceBytes(wanted(), piece);
    }
    startBehindAnnouncement();
    EXPECT_TRUE(runUntilLoaded(WantedVersion));
    EXPECT_EQ(m_origin.piecesServed, 0);
    expectNothingSpoilt();
}

/// A VM that responds, but has nothing and fetches nothing.
class IdleVm
{
public:
    IdleVm(asio::io_context &loop, const std::string &ip, std::uint16_t port)
        : m_exchange(loop, port, Millis{1},
                     PieceStore{.holds = [this](const peer::PieceMessage &request) { return record(request); },
                                .read =
                                    [](const peer::PieceMessage &, const std::function<void(peer::PieceMessage)> &) {
                                    }})
        , m_opened(m_exchange.open(ip))
    {
        EXPECT_FALSE(m_opened);
    }

    /// Returns when the first long poll ends that it got; nothing without one.
    std::optional<Millis> firstPollEnd() const
    {
        return m_firstPollEnd;
    }

private:
    std::optional<bool> record(const peer::PieceMessage &request)
    {
        if (request.waitMs > LeastLongPoll && !m_firstPollEnd) {
            m_firstPollEnd = steadyMillis() + Millis{request.waitMs};
        }
        return false;
    }

    static constexpr std::uint32_t LeastLongPoll = 2000;

    PieceExchange m_exchange;
    std::optional<Millis> m_firstPollEnd;
    asio::error_code m_opened;
};

// A listing of before a restart made a VM the owner of pieces; others waited for it for seconds behind its removal.
TEST_F(RestartTest, AVmWhoseListingIsRemovedIsNotWaitedFor)
{
    const std::string ip = "127.0.1.100";
    IdleVm idle(m_loop, ip, m_peerPort);
    m_store.append("i-idle",
                   nlohmann::json{{"Service", "s"},
                                  {"Address", ip + ":1"},
                                  {"Zone", "a"},
                                  {"Version", "v1"},
                                  {"Slots", 16},
                                  {"State", "ready"},
                                  {"ColdLeftMs", 0},
                                  {"Sequence", 1}}
                       .dump());
    addEmpty(6);
    startBehindAnnouncement();
    const Millis end = steadyMillis() + Millis{5000};
    while (!idle.firstPollEnd() && steadyMillis() < end) {
        m_loop.run_one_for(std::chrono::milliseconds(20));
    }
    ASSERT_TRUE(idle.firstPollEnd());
    m_store.append("i-idle", "");
    EXPECT_TRUE(runUntilLoaded(WantedVersion));
    EXPECT_LT(steadyMillis(), *idle.firstPollEnd());
}

/// Tells all VMs that a VM holds all pieces, for a time.
class Claimant
{
public:
    Claimant(asio::io_context &loop, std::uint16_t port, std::vector<std::string> vms, Millis time)
        : m_exchange(loop, port, Millis{1},
                     PieceStore{.holds = [](const peer::PieceMessage &) { return false; },
                                .read =
                                    [](const peer::PieceMessage &, const std::function<void(peer::PieceMessage)> &) {
                                    }})
        , m_vms(std::move(vms))
        , m_timer(loop)
        , m_end(steadyMillis() + time)
    {
        claim();
    }

    static constexpr std::string_view Holder = "127.0.1.100"; ///< The VM that it speaks of; nothing listens there.

private:
    void claim()
    {
        const std::string all = weights::encodeHeld(std::vector<bool>(static_cast<std::size_t>(wanted().pieces), true));
        for (const std::string &vm : m_vms) {
            m_exchange.request(vm,
                               {.model = "m",
                                .version = WantedVersion,
                                .index = peer::HoldingsIndex,
                                .waitMs = 1,
                                .sender = std::string(Holder),
                                .held = all},
                               Millis{1000}, [](const std::optional<peer::PieceMessage> &) {});
        }
        if (steadyMillis() < m_end) {
            m_timer.start(Millis{20}, [this] { claim(); });
        }
    }

    PieceExchange m_exchange;
    std::vector<std::string> m_vms;
    net::Timer m_timer;
    Millis m_end;
};

// What a VM said that it held counted for ever, also if it was not or no longer listed: nobody fetched these pieces.
TEST_F(RestartTest, PiecesOfAVmThatTakesNoPartAreFetchedFromTheOrigin)
{
    addEmpty(6);
    startBehindAnnouncement();
    const Claimant claimant(m_loop, m_peerPort, addresses(), Millis{60'000});
    EXPECT_TRUE(runUntilLoaded(WantedVersion));
    expectNothingSpoilt();
}

// The same for a VM that is listed, but doesn't respond.
TEST_F(RestartTest, PiecesOfAHolderThatDoesNotRespondAreFetchedFromTheOrigin)
{
    addEmpty(6);
    m_store.append("i-holder",
                   nlohmann::json{{"Service", "s"},
                                  {"Address", std::string(Claimant::Holder) + ":1"},
                                  {"Zone", "a"},
                                  {"Version", "v1"},
                                  {"Slots", 16},
                                  {"State", "ready"},
                                  {"ColdLeftMs", 0},
                                  {"Sequence", 1}}
                       .dump());
    startBehindAnnouncement();
    const Claimant claimant(m_loop, m_peerPort, addresses(), Millis{2000});
    EXPECT_TRUE(runUntilLoaded(WantedVersion));
    expectNothingSpoilt();
}

/// VMs that respond that they have nothing; to a request for a manifest only once all of them were asked for it.
class MutualVms
{
public:
    MutualVms(asio::io_context &loop, const std::vector<std::string> &ips, std::uint16_t port)
        : m_vms(ips.size())
    {
        for (const std::string &ip : ips) {
            m_listeners.push_back(std::make_unique<net::Listener>(
                loop, [this, ip](const std::shared_ptr<net::Connection> &connection) { serve(ip, connection); }));
            EXPECT_FALSE(m_listeners.back()->open(ip, port));
        }
    }

    ~MutualVms()
    {
        for (const auto &connection : m_connections) {
            connection->close();
        }
    }

    MutualVms(const MutualVms &) = delete;
    MutualVms &operator=(const MutualVms &) = delete;

private:
    void serve(const std::string &ip, const std::shared_ptr<net::Connection> &connection)
    {
        m_connections.push_back(connection);
        connection->start({.data =
                               [this, ip, raw = connection.get(),
                                reader = std::make_shared<peer::PieceReader>()](std::string_view bytes) {
                                   reader->add(bytes);
                                   for (auto request = reader->next(); request; request = reader->next()) {
                                       receive(ip, *raw, std::move(*request));
                                   }
                               },
                           .closed =
                               [](net::CloseReason) {
                               }});
    }

    void receive(const std::string &ip, net::Connection &connection, peer::PieceMessage request)
    {
        const bool isManifest = request.index == peer::ManifestIndex;
        request.content = peer::PieceContent::Missing;
        m_pending.emplace_back(&connection, std::move(request));
        if (isManifest) {
            m_asked.insert(ip);
        }
        if (isManifest && m_asked.size() < m_vms) {
            return;
        }
        for (const auto &[to, answer] : std::exchange(m_pending, {})) {
            if (to->isOpen()) {
                to->write(peer::encode(answer));
            }
        }
    }

    std::size_t m_vms;
    std::set<std::string> m_asked;
    std::vector<std::unique_ptr<net::Listener>> m_listeners;
    std::vector<std::shared_ptr<net::Connection>> m_connections;
    std::vector<std::pair<net::Connection *, peer::PieceMessage>> m_pending;
};

// The VM on which all others waited for a manifest asked others for it one after the other, each up to its timeout.
TEST_F(RestartTest, TheOwnerOfAManifestAsksOtherVmsForItAtTheSameTime)
{
    Vm &owner = add(0);
    ASSERT_EQ(owner.domain, "b");
    owner.engine.expected = wanted();
    const std::vector<std::string> ips{"127.0.1.21", "127.0.1.22", "127.0.1.23", "127.0.1.24"};
    const MutualVms others(m_loop, ips, m_peerPort);
    for (const std::string &ip : ips) {
        m_store.append("i-" + ip,
                       nlohmann::json{{"Service", "s"},
                                      {"Address", ip + ":1"},
                                      {"Zone", ip < "127.0.1.23" ? "b" : "c"},
                                      {"Version", "v1"},
                                      {"Slots", 16},
                                      {"State", "ready"},
                                      {"ColdLeftMs", 0},
                                      {"Sequence", 1}}
                           .dump());
    }
    lab::LogCapture log;
    startBehindAnnouncement();
    EXPECT_TRUE(runUntilLoaded(WantedVersion));
    for (const std::string &line : log.take("A VM didn't deliver the manifest.")) {
        EXPECT_EQ(line.find("no answer"), std::string::npos) << line;
    }
}

} // namespace

} // namespace ibislock::side
