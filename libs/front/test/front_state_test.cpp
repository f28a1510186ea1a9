// Requests whose route or key the known desired state lacks: refused for good while the state is current, and as not
// run while a newer one may exist.

#include "front_fixture.h"

#include "ibislock/peer/messages.h"
#include "platform/log_capture.h"

#include <asio/ip/udp.hpp>

namespace ibislock::front
{

namespace
{

/// The time within which a desired state must be in effect, of `settingsFor`.
constexpr Millis StateTime{2000};

/// The address of an engine that reports loads; that of the daemon is 127.0.0.1.
const std::string EngineIp = "127.0.0.3";

/// A state with a route more than `DesiredState` has.
const std::string NextState =
    R"({"Version":2,"Routes":[)"
    R"({"Name":"other","Host":"h","PathPrefix":"/other/","Kind":"idempotent","TimeoutMs":700,"Service":"s","MaxAttempts":1}],)"
    R"("Services":[{"Name":"s","HealthPath":"/health","MaxConns":100}],"Tenants":[{"Name":"w","ApiKeys":["new","key"]}]})";

class FrontStateTest : public FrontTest
{
protected:
    FrontStateTest()
        : FrontTest(freePort())
    {
    }

    /// Sends a load report with the end of the topic.
    /// @param stamps those by which the daemon knows when it was sent; without them the report validates nothing.
    void reportEnd(std::size_t end, const peer::SendStamps &stamps = {})
    {
        const peer::TopicWatermark watermark{.end = {.era = 0, .offset = static_cast<std::int64_t>(end)},
                                             .age = Millis{0}};
        const std::string message = peer::encode(peer::LoadMessage{.incarnation = 1,
                                                                   .sequence = ++m_reports,
                                                                   .entryVmCount = 1,
                                                                   .operatorsWatermark = watermark,
                                                                   .stamps = stamps});
        m_engine.send_to(asio::buffer(message), {asio::ip::make_address_v4("127.0.0.1"), m_peerPort});
    }

    /// Receives the subscriptions of the daemon and returns the last stamp in them with each report.
    void validate(Millis time)
    {
        std::array<char, 1500> buffer{};
        for (const Millis end = steadyMillis() + time; steadyMillis() < end;) {
            asio::error_code ec;
            while (const std::size_t size = m_engine.receive(asio::buffer(buffer), 0, ec)) {
                const auto message = peer::decodeDatagram(std::string_view(buffer.data(), size));
                if (message && std::holds_alternative<peer::SubscribeMessage>(*message)) {
                    m_stamp = std::get<peer::SubscribeMessage>(*message).stamps.sent;
                    m_stampReceivedAt = steadyMillis();
                }
            }
            if (m_stamp != 0) {
                reportEnd(m_store.size(),
                          {.sent = 1, .returned = m_stamp, .heldFor = steadyMillis() - m_stampReceivedAt});
            }
            runFor(Millis{100});
        }
    }

    /// Calls with a route that the state lacks.
    /// @return the status, and the age of the state in the log.
    std::pair<int, Millis> callUnknownRoute()
    {
        lab::LogCapture log;
        const CallerAnswer answer = call(request("/unknown/x"));
        const std::vector<std::string> lines = log.take("A request was not served.");
        const std::string name = " state_age_ms=";
        const std::size_t at = lines.empty() ? std::string::npos : lines[0].find(name);
        EXPECT_NE(at, std::string::npos);
        return {answer.status,
                at == std::string::npos ? Millis{-1} : Millis{std::stoll(lines[0].substr(at + name.size()))}};
    }

    asio::ip::udp::socket m_engine{m_loop};
    std::uint64_t m_reports = 0;
    std::uint64_t m_stamp = 0; ///< Of the last subscription.
    Millis m_stampReceivedAt{0};

    void SetUp() override
    {
        m_engine.open(asio::ip::udp::v4());
        m_engine.bind({asio::ip::make_address_v4(EngineIp), m_peerPort});
        m_engine.non_blocking(true);
    }
};

// An entry VM that knew of unread records refused a route in them with 404.
TEST_F(FrontStateTest, AnUnknownRouteIsNotRunWhileRecordsAreKnownToBeUnread)
{
    list(m_first);
    start();
    EXPECT_EQ(call(request("/other/x")).status, 404);
    EXPECT_EQ(call(request("/once/x", "new")).status, 401);
    m_store.silent = true;
    reportEnd(m_store.size() + 1);
    runFor(Millis{50});
    const CallerAnswer answer = call(request("/other/x"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.headers.find("Retry-After"));
    EXPECT_EQ(call(request("/once/x", "new")).status, 503);
    EXPECT_EQ(call(request("/once/x", "")).status, 503) << "the route may need no key any more";
    EXPECT_EQ(call(request("/once/x")).status, 200);
    m_store.silent = false;
    m_store.append("config", NextState);
    const Millis end = steadyMillis() + Millis{5000};
    while (call(request("/other/x")).status != 200 && steadyMillis() < end) {
        runFor(Millis{50});
    }
    EXPECT_EQ(call(request("/other/x", "new")).status, 200);
    EXPECT_EQ(callUnknownRoute().first, 404);
}

// An end that never comes made each unknown route wait for a state that doesn't exist.
TEST_F(FrontStateTest, AnUnknownRouteIsRefusedForGoodOnceTheStoreDoesNotHaveTheRecords)
{
    start();
    reportEnd(m_store.size() + 5);
    runFor(Millis{50});
    const Millis end = steadyMillis() + 3 * StateTime;
    int status = 0;
    while ((status = call(request("/other/x")).status) != 404 && steadyMillis() < end) {
        runFor(Millis{50});
    }
    EXPECT_EQ(status, 404);
}

// A VM that neither the store nor others had told anything for longer than the time refused routes with 404.
TEST_F(FrontStateTest, AnUnknownRouteIsNotRunOnceTheStateMayBeTooOld)
{
    start();
    EXPECT_EQ(call(request("/other/x")).status, 404);
    m_store.silent = true;
    runFor(StateTime + Millis{50});
    const CallerAnswer answer = call(request("/other/x"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.headers.find("Retry-After"));
    EXPECT_EQ(call(request("/once/x", "wrong")).status, 503);
}

TEST_F(FrontStateTest, AnUnknownRouteIsRefusedForGoodWhileTheVmReadsTheStoreItself)
{
    start();
    int current = 0;
    int calls = 0;
    for (const Millis end = steadyMillis() + 3 * StateTime; steadyMillis() < end; ++calls) {
        const auto [status, age] = callUnknownRoute();
        EXPECT_EQ(status, age <= StateTime ? 404 : 503) << age.count(); // The age is greater if the loop has stalled.
        current += status == 404 ? 1 : 0;
        runFor(Millis{50});
    }
    EXPECT_GT(current, calls / 2);
}

TEST_F(FrontStateTest, AnUnknownRouteIsRefusedForGoodWhileOthersValidateTheState)
{
    const lab::TargetStandIn engine(m_loop, "i-3", EngineIp);
    list(engine);
    start(EngineState);
    validate(2 * StateTime); // The read that the store holds ends.
    m_store.silent = true;
    validate(2 * StateTime);
    const auto [status, age] = callUnknownRoute();
    EXPECT_EQ(status, age <= StateTime ? 404 : 503) << age.count();
    EXPECT_LT(age, 2 * StateTime) << "the store was silent for as long";
    runFor(StateTime + Millis{50});
    EXPECT_EQ(callUnknownRoute().first, 503);
}

} // namespace

} // namespace ibislock::front
