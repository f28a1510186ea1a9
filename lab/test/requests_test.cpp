// What callers are told, end to end.

#include "deployment.h"
#include "experiments/requests_report.h"
#include "load/open_load.h"

#include <gtest/gtest.h>
#include <httplib.h>

namespace ibislock::lab
{

namespace
{

using nlohmann::json;

constexpr Millis Patience{30000};
constexpr std::uint64_t ChunkBytes = 64 << 10;

DeploymentOptions optionsOf()
{
    DeploymentOptions options{.domains = 1, .entriesPerDomain = 2, .targetsPerDomain = 1, .servicesPerDomain = 1};
    options.engine.slots = 2;
    options.entry.routes["/desk"] = "desk";
    options.entry.requestTimeout = Millis(5000);
    options.target.drainGrace = Patience;
    return options;
}

class RequestsTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_deployment.start();
        const Digest root = m_deployment.store().addVersion("frost", "1", ChunkBytes, ChunkBytes, 1);
        ASSERT_TRUE(m_deployment.fileTicket(m_deployment.ticketFor(1, "1", root), Patience));
        for (std::size_t entry = 0; entry < 2; ++entry) {
            ASSERT_TRUE(waitFor([&] { return complete(entry).status == 200 && !mint(entry).empty(); }));
        }
        m_balancer.set(m_deployment.callerUrls());
    }

    template <typename Predicate>
    bool waitFor(Predicate &&predicate) const
    {
        const Millis deadline = steadyMillis() + Patience;
        while (steadyMillis() < deadline) {
            if (predicate()) {
                return true;
            }
            std::this_thread::sleep_for(Millis(20));
        }
        return false;
    }

    httplib::Response post(std::size_t entry, const std::string &path, const std::string &body,
                           const std::string &key = {}) const
    {
        return postTo(m_deployment.callerUrls().at(entry), path, body, key);
    }

    static httplib::Response postTo(const std::string &url, const std::string &path, const std::string &body,
                                    const std::string &key = {})
    {
        httplib::Client client(url);
        client.set_bearer_token_auth(CallerCredential);
        client.set_read_timeout(40);
        httplib::Headers headers;
        if (!key.empty()) {
            headers.emplace("Idempotency-Key", key);
        }
        const auto result = client.Post(path, headers, body, "application/json");
        return result ? *result : httplib::Response();
    }

    httplib::Response complete(std::size_t entry, bool stream = false, unsigned tokens = 4) const
    {
        const json body{{"model", "forecast"}, {"prompt", "p"}, {"max_tokens", tokens}, {"stream", stream}};
        return post(entry, "/v1/completions", body.dump());
    }

    std::string mint(std::size_t entry) const
    {
        const auto response = post(entry, "/v1/keys", R"({"path": "/desk/readings"})");
        const json value = json::parse(response.body, nullptr, false);
        return value.is_object() ? value.value("key", "") : "";
    }

    std::uint64_t runsOf(const std::string &body)
    {
        return m_deployment.services()[0].service->runsOf(body);
    }

    static std::string codeOf(const httplib::Response &response)
    {
        const json value = json::parse(response.body, nullptr, false);
        return value.is_object() && value.contains("error") ? value["error"].value("code", "") : "";
    }

    Deployment m_deployment{optionsOf()};
    Balancer m_balancer;
};

TEST_F(RequestsTest, AKeyedCallRunsOnceThroughAnyEntryVm)
{
    const std::string key = mint(0);
    EXPECT_EQ(post(0, "/desk/readings", "reading", key).status, 200);
    const auto again = post(1, "/desk/readings", "reading", key);
    EXPECT_EQ(again.status, 200);
    EXPECT_EQ(json::parse(again.body)["runs"], 1);
    EXPECT_EQ(runsOf("reading"), 1U);
}

TEST_F(RequestsTest, ALostAnswerIsUnknownAndTheKeyDoesNotRunAgain)
{
    m_deployment.services()[0].service->faults().lostAnswers = 1;
    const std::string key = mint(0);
    EXPECT_EQ(codeOf(post(0, "/desk/readings", "reading", key)), "unknown");
    m_deployment.services()[0].service->faults().lostAnswers = 0;
    EXPECT_EQ(codeOf(post(1, "/desk/readings", "reading", key)), "unknown");
    EXPECT_EQ(runsOf("reading"), 1U);
}

TEST_F(RequestsTest, AKeyOfATargetsEarlierLifeIsUnknownAndDoesNotRun)
{
    const std::string key = mint(0);
    TargetVm &vm = m_deployment.services()[0];
    m_deployment.killTarget(vm);
    m_deployment.startTarget(vm);
    ASSERT_TRUE(waitFor([&] {
        const std::string fresh = mint(0);
        return !fresh.empty() && post(0, "/desk/readings", "fresh", fresh).status == 200;
    }));
    EXPECT_EQ(codeOf(post(0, "/desk/readings", "reading", key)), "unknown");
    EXPECT_EQ(runsOf("reading"), 0U);
}

TEST_F(RequestsTest, AKeyWhoseTargetCanNotBeReachedIsUnknown)
{
    constexpr int Tries = 5; // The first may meet the connection as it breaks, the others find none.
    const std::string key = mint(0);
    ASSERT_EQ(post(0, "/desk/readings", "reading", key).status, 200);
    m_deployment.killTarget(m_deployment.services()[0]);
    for (int n = 0; n < Tries; ++n) {
        EXPECT_EQ(codeOf(post(0, "/desk/readings", "reading", key)), "unknown");
    }
    EXPECT_EQ(runsOf("reading"), 1U);
}

TEST_F(RequestsTest, AKeyThatWasNotMintedIsRefused)
{
    EXPECT_EQ(post(0, "/desk/readings", "reading", "of my own").status, 400);
    EXPECT_EQ(runsOf("reading"), 0U);
}

TEST_F(RequestsTest, CrossedAnswersAreDroppedAndCounted)
{
    m_deployment.targets()[0].engine->setCrossed(1);
    for (const bool stream : {false, true}) {
        const auto response = complete(0, stream);
        EXPECT_EQ(response.status, 502) << "stream: " << stream;
        EXPECT_EQ(codeOf(response), "failed_after_start");
    }
    EXPECT_GE(m_deployment.targets()[0].daemon->counters().value(Counter::AnswersDropped), 2U);
}

TEST_F(RequestsTest, ALateAnswerToAnEarlierRequestIsDropped)
{
    m_deployment.targets()[0].engine->setDuplicate(1);
    EXPECT_EQ(complete(0).status, 502);
}

TEST_F(RequestsTest, AStreamThatIsRefusedHasAStatusOfItsOwn)
{
    m_deployment.killTarget(m_deployment.targets()[0]);
    const auto response = complete(0, true);
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(codeOf(response), "refused_not_run");
    EXPECT_FALSE(response.get_header_value("Retry-After").empty());
}

TEST_F(RequestsTest, PlannedStopsFinishWhatIsInProgress)
{
    for (const bool entry : {false, true}) {
        std::atomic<std::uint64_t> started = m_deployment.targets()[0].engine->started();
        httplib::Response response;
        std::thread caller([&] { response = complete(0, true, 300); });
        ASSERT_TRUE(waitFor([&] { return m_deployment.targets()[0].engine->started() > started; }));
        if (entry) {
            m_deployment.stopEntry(m_deployment.entries()[0]);
        } else {
            m_deployment.stopTarget(m_deployment.targets()[0]);
            m_deployment.startTarget(m_deployment.targets()[0]);
        }
        caller.join();
        EXPECT_TRUE(response.body.ends_with("data: [DONE]\n\n")) << "entry stops: " << entry;
        ASSERT_TRUE(waitFor([&] { return complete(entry ? 0 : 1).status == 200; }));
        ASSERT_TRUE(entry || waitFor([&] { return complete(0).status == 200; }));
    }
}

TEST_F(RequestsTest, ALeavingEntryVmDoesNotSayThatACallWithAKeyWasNotRun)
{
    constexpr unsigned LongStream = 1500;
    const std::string key = mint(0);
    ASSERT_EQ(post(0, "/desk/readings", "reading", key).status, 200);
    const std::string url = m_deployment.callerUrls()[0];
    const std::uint64_t started = m_deployment.targets()[0].engine->started();
    std::thread caller([&] { complete(0, true, LongStream); });
    EXPECT_TRUE(waitFor([&] { return m_deployment.targets()[0].engine->started() > started; }));
    std::thread stop([&] { m_deployment.stopEntry(m_deployment.entries()[0]); });
    EXPECT_TRUE(waitFor([&] { return postTo(url, "/v1/keys", R"({"path": "/desk/readings"})").status == 503; }));
    EXPECT_EQ(codeOf(postTo(url, "/desk/readings", "reading", key)), "unknown");
    caller.join();
    stop.join();
    EXPECT_EQ(runsOf("reading"), 1U);
}

TEST_F(RequestsTest, ATargetThatThePlatformListsAsLeavingTakesNoNewWork)
{
    const TargetVm &vm = m_deployment.targets()[0];
    m_deployment.vmList().set(vm.name,
                              {.domain = domainName(0),
                               .address = "127.0.0.1:" + std::to_string(vm.options.rpcPort),
                               .kind = "target",
                               .leaving = true});
    // Each entry VM reads the platform's list for itself, at its own moment.
    EXPECT_TRUE(waitFor([&] { return complete(0).status == 503 && complete(1).status == 503; }));
    const std::uint64_t started = vm.engine->started();
    for (const std::size_t entry : {0U, 1U, 0U, 1U}) {
        EXPECT_EQ(codeOf(complete(entry)), "refused_not_run") << "entry " << entry;
    }
    EXPECT_EQ(vm.engine->started(), started);
}

TEST(RequestsReportTest, SharesByWeightAndGivesNobodyMoreThanItAsksFor)
{
    const auto shares = weightedShares(90, {10, 100, 100}, {1, 1, 3});
    EXPECT_EQ(shares, (std::vector<double>{10, 20, 60}));
    EXPECT_DOUBLE_EQ(jainIndex({1, 1, 1}), 1);
    EXPECT_DOUBLE_EQ(jainIndex({1, 0}), 0.5);
}

} // namespace

} // namespace ibislock::lab
