// How old the listings of an entry VM get while its relay and the backup fail in each way, alone and together.

#include "ibislock/feed/listings_follower.h"
#include "ibislock/feed/relay_order.h"

#include "platform/store_stand_in.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace ibislock::feed
{

namespace
{

constexpr Millis DrainTime{2000};

/// The greatest age at which listings may be used: a request may take the rest of the drain time to reach its target.
constexpr Millis MaxUsedAge = DrainTime * 9 / 10;

/// How a relay behaves.
enum class RelayState {
    Serving, ///< Answers at once.
    Silent, ///< Accepts connections and requests without responding, as a frozen VM does.
    Closed, ///< Closes its connections, as a VM does whose process has ended.
    Stale, ///< Responds with listings that are too old, as a VM does that is cut off from the store.
    Restarted, ///< Responds without any listings.
    Behind, ///< Responds that the topic ends before what the requesting VM knows, as if that were new.
};

constexpr NameTable<RelayState, 6> RelayStateNames{{
    {RelayState::Serving, "serving"},
    {RelayState::Silent, "silent"},
    {RelayState::Closed, "closed"},
    {RelayState::Stale, "stale"},
    {RelayState::Restarted, "restarted"},
    {RelayState::Behind, "behind"},
}};

/// A target VM that serves listings until it fails.
class RelayStandIn
{
public:
    /// @param servedAge the age of the listings that it sends.
    RelayStandIn(asio::io_context &loop, const std::string &ip, std::uint16_t port, Millis servedAge)
        : m_timer(loop)
        , m_servedAge(servedAge)
        , m_listener(loop, [this](const std::shared_ptr<net::Connection> &connection) { serve(connection); })
    {
        EXPECT_FALSE(m_listener.open(ip, port));
    }

    ~RelayStandIn()
    {
        for (const auto &connection : m_connections) {
            connection->close();
        }
    }

    RelayStandIn(const RelayStandIn &) = delete;
    RelayStandIn &operator=(const RelayStandIn &) = delete;

    /// Fails after one more response.
    void failAfterNextResponse(RelayState state)
    {
        m_next = state;
    }

    /// Fails at once.
    void fail(RelayState state)
    {
        m_state = state;
    }

private:
    void serve(const std::shared_ptr<net::Connection> &connection)
    {
        m_connections.push_back(connection);
        connection->start({.data = [this, raw = connection.get(),
                                    reader = std::make_shared<peer::FrameReader>()](std::string_view bytes) {
            reader->add(bytes);
            while (const auto body = reader->next()) {
                respond(*raw, std::get<peer::ListingsRequest>(*peer::decodeListings(*body)));
            }
        }});
    }

    void respond(net::Connection &connection, const peer::ListingsRequest &request)
    {
        peer::ListingsUpdate update{.sequence = request.sequence, .end = request.from, .age = m_servedAge};
        switch (m_state) {
        case RelayState::Serving:
            connection.write(encode(update));
            m_state = std::exchange(m_next, RelayState::Serving);
            break;
        case RelayState::Silent:
            break;
        case RelayState::Closed:
            connection.close();
            break;
        case RelayState::Stale:
            update.age = DrainTime;
            connection.write(encode(update));
            break;
        case RelayState::Restarted:
            update.end = {};
            update.age = Millis{std::chrono::hours{24}};
            connection.write(encode(update));
            break;
        case RelayState::Behind:
            update.end = advancedBy(request.from, -1);
            update.age = Millis{0};
            update.heldFor = request.wait;
            respondLater(connection, update);
            break;
        }
    }

    /// Holds a request as long as it may be.
    void respondLater(net::Connection &connection, const peer::ListingsUpdate &update)
    {
        m_timer.start(update.heldFor, [update, to = connection.weak_from_this()] {
            if (const auto open = to.lock()) {
                open->write(encode(update));
            }
        });
    }

    RelayState m_state = RelayState::Serving;
    RelayState m_next = RelayState::Serving;
    net::Timer m_timer;
    Millis m_servedAge;
    std::vector<std::shared_ptr<net::Connection>> m_connections;
    net::Listener m_listener;
};

/// A failure domain with a relay, its backup and an entry VM.
struct Domain
{
    std::string name;
    std::unique_ptr<RelayStandIn> relay;
    std::unique_ptr<RelayStandIn> backup;
    std::unique_ptr<ListingsFollower> entry;
    std::set<std::string> draining; ///< The targets that the entry VM knows to leave.
    Millis greatestAge{0};
};

/// Domains that fail in different ways at the same time; all entry VMs read one store.
class ListingsAgeTest : public testing::Test
{
protected:
    ListingsAgeTest()
    {
        net::Listener probe(m_loop, [](const std::shared_ptr<net::Connection> &) {});
        EXPECT_FALSE(probe.open("127.0.4.1", 0));
        m_port = probe.port();
        probe.close();
        append("127.0.4.200", "plain", "none");
    }

    void append(const std::string &ip, const std::string &service, const std::string &domain, bool draining = false)
    {
        m_store.append("i-" + ip,
                       nlohmann::json{{"Service", service},
                                      {"Address", ip + ":80"},
                                      {"Zone", domain},
                                      {"Version", "v1"},
                                      {"Slots", 16},
                                      {"State", draining ? "draining" : "ready"},
                                      {"ColdLeftMs", 0},
                                      {"Sequence", ++m_writes}}
                           .dump());
    }

    /// Adds a domain whose relay fails after a response with listings of some age, and whose backup fails as well.
    void add(RelayState relay, RelayState backup, Millis servedAge)
    {
        m_domains.push_back(std::make_unique<Domain>());
        Domain &domain = *m_domains.back();
        domain.name = std::string(nameOf(RelayStateNames, relay)) + "-" + std::string(nameOf(RelayStateNames, backup))
            + "-" + std::to_string(servedAge.count());
        const std::string net = "127.0." + std::to_string(4 + m_domains.size()) + ".";
        const std::vector<std::string> vms{net + "1", net + "2"};
        const std::string entry = net + "9";
        const std::string first = relaysFor(entry, vms).front();
        for (const std::string &vm : vms) {
            append(vm, "engines", domain.name);
            auto standIn = std::make_unique<RelayStandIn>(m_loop, vm, m_port, servedAge);
            if (vm == first) {
                domain.relay = std::move(standIn);
            } else {
                domain.backup = std::move(standIn);
            }
        }
        m_failures.push_back([&domain, relay, backup] {
            domain.relay->failAfterNextResponse(relay);
            domain.backup->fail(backup);
        });
    }

    void start()
    {
        for (std::size_t n = 0; n < m_domains.size(); ++n) {
            Domain &domain = *m_domains[n];
            domain.entry = std::make_unique<ListingsFollower>(
                m_loop, m_client, platform::Endpoint{.ip = "127.0.0.1", .port = m_store.port()},
                ListingsFollowerOptions{.ip = "127.0." + std::to_string(5 + n) + ".9",
                                        .domain = domain.name,
                                        .port = m_port,
                                        .isEntryVm = true,
                                        .drainTime = DrainTime},
                ListingsFollowerEvents{
                    .onListing =
                        [&domain](const std::string &id, const std::optional<serving::TargetEntry> &entry) {
                            if (entry && entry->draining) {
                                domain.draining.insert(id);
                            }
                        },
                    .onStoreRecovered = [](Millis) {},
                    .hasDaemon = [](const serving::TargetEntry &entry) { return entry.service == "engines"; },
                    .onOperatorsWatermark = [](const OperatorsWatermark &) {},
                    .ownWatermark = [] { return peer::TopicWatermark{}; },
                    .onEntryVms = [](const std::vector<std::string> &, bool) {},
                });
            EXPECT_FALSE(domain.entry->start());
        }
    }

    /// Runs the loop and records the greatest age of each entry VM's listings.
    void runFor(Millis time)
    {
        for (const Millis end = steadyMillis() + time; steadyMillis() < end;) {
            m_loop.run_one_for(Millis{5});
            for (const auto &domain : m_domains) {
                domain->greatestAge = std::max(domain->greatestAge, domain->entry->age());
            }
        }
    }

    asio::io_context m_loop;
    lab::StoreStandIn m_store{m_loop};
    net::HttpClient m_client{m_loop};
    std::uint16_t m_port = 0;
    int m_writes = 0;
    std::vector<std::unique_ptr<Domain>> m_domains;
    std::vector<std::function<void()>> m_failures; ///< Let the relays of each domain fail.
};

TEST_F(ListingsAgeTest, ListingsAreNeverTooOldToBeUsedWhileTheRelayAndItsBackupFail)
{
    constexpr std::array Failures{RelayState::Silent, RelayState::Closed, RelayState::Stale, RelayState::Restarted,
                                  RelayState::Behind};
    for (const Millis servedAge : {DrainTime * 3 / 10, DrainTime * 55 / 100}) {
        for (const RelayState relay : Failures) {
            for (const RelayState backup : Failures) {
                add(relay, backup, servedAge);
            }
        }
    }
    start();
    runFor(DrainTime / 2);
    for (const auto &domain : m_domains) {
        ASSERT_TRUE(domain->entry->synchronized());
        domain->greatestAge = Millis{0};
    }
    for (const auto &fail : m_failures) {
        fail();
    }
    append("127.0.4.200", "plain", "none", true);
    runFor(MaxUsedAge);
    for (const auto &domain : m_domains) {
        EXPECT_TRUE(domain->draining.contains("i-127.0.4.200")) << domain->name;
    }
    runFor(DrainTime);
    for (const auto &domain : m_domains) {
        EXPECT_LE(domain->greatestAge, MaxUsedAge) << domain->name;
    }
}

// A read was given up after 0.4 s and started again, so that none was answered over a link on which packets wait.
TEST_F(ListingsAgeTest, ASlowResponseOfTheStoreIsAwaited)
{
    constexpr Millis ResponseTime{450};
    add(RelayState::Silent, RelayState::Silent, DrainTime * 3 / 10);
    start();
    runFor(DrainTime / 2);
    Domain &domain = *m_domains.front();
    ASSERT_TRUE(domain.entry->synchronized());
    domain.greatestAge = Millis{0};
    m_failures.front()();
    m_store.delay = ResponseTime;
    append("127.0.4.200", "plain", "none", true);
    runFor(MaxUsedAge);
    EXPECT_TRUE(domain.draining.contains("i-127.0.4.200"));
    EXPECT_LE(domain.greatestAge, MaxUsedAge);
}

// A read beside a silent relay failed again and again where the store no longer had the records, or was restored.
TEST_F(ListingsAgeTest, ListingsAreReadAnewBesideASilentRelayIfTheirPositionIsGone)
{
    for (const bool restored : {false, true}) {
        m_store.era = 1;
        m_domains.clear();
        m_failures.clear();
        add(RelayState::Silent, RelayState::Silent, DrainTime * 3 / 10);
        start();
        runFor(DrainTime / 2);
        Domain &domain = *m_domains.front();
        ASSERT_TRUE(domain.entry->synchronized());
        domain.greatestAge = Millis{0};
        m_failures.front()();
        if (restored) {
            m_store.restore(m_store.size());
        }
        append("127.0.4.200", "plain", "none", true);
        m_store.trim(m_store.size());
        runFor(MaxUsedAge);
        EXPECT_TRUE(domain.draining.contains("i-127.0.4.200")) << restored;
        EXPECT_LE(domain.greatestAge, DrainTime * 7 / 10) << restored;
    }
}

// While its feed counted the store as unreachable, a VM waited for the calls of the feed, which take up to 2.4 s.
TEST_F(ListingsAgeTest, ListingsAreConfirmedSoonAfterTheStoreRespondsAgain)
{
    for (const Millis outage : {DrainTime * 3 / 2, DrainTime * 2, DrainTime * 5 / 2}) {
        m_store.silent = false;
        m_domains.clear();
        m_failures.clear();
        add(RelayState::Silent, RelayState::Silent, DrainTime * 3 / 10);
        start();
        runFor(DrainTime / 2);
        Domain &domain = *m_domains.front();
        ASSERT_TRUE(domain.entry->synchronized());
        m_failures.front()();
        m_store.silent = true;
        runFor(outage);
        ASSERT_GE(domain.entry->age(), outage);
        m_store.silent = false;
        runFor(DrainTime / 2);
        EXPECT_LT(domain.entry->age(), DrainTime / 2) << outage.count() << " ms";
    }
}

} // namespace

} // namespace ibislock::feed
