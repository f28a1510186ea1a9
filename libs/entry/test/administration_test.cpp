#include "administration_api.h"
#include "entry_fixture.h"
#include "paging.h"

#include "ibislock/base/clock.h"

#include <fstream>
#include <rapidcheck/gtest.h>
#include <set>
#include <thread>

namespace ibislock::entry
{

namespace
{

using nlohmann::json;

/// A credential, a call, and what it must get.
struct AccessCase
{
    const char *name;
    const char *key;
    bool files;
    int status;
    Counter counted;
    bool inTrail;
};

class AccessTest : public EntryTest, public testing::WithParamInterface<AccessCase>
{
};

TEST_P(AccessTest, IsAnsweredCountedAndKeptInTheTrailWhenItIsAChange)
{
    start();
    const auto client = administration(GetParam().key);
    const auto answer =
        GetParam().files ? client->Post("/v1/tickets", ticketText(1), "application/json") : client->Get("/v1/status");
    ASSERT_TRUE(answer) << httplib::to_string(answer.error());
    EXPECT_EQ(answer->status, GetParam().status) << answer->body;
    EXPECT_EQ(answer->body.find(GetParam().key), std::string::npos) << "the answer shows the key";
    EXPECT_EQ(json::parse(answer->body)["error"]["code"], "denied");
    EXPECT_EQ(m_daemon->counters().value(GetParam().counted), 1U);
    const json trail = get("/v1/audit")["refused_attempts"];
    EXPECT_EQ(trail["vm"], "entry1");
    EXPECT_EQ(trail["entries"].size(), GetParam().inTrail ? 1U : 0U) << trail.dump();
    EXPECT_EQ(get("/v1/status")["last_ticket"], 0) << "a refused call took effect";
}

INSTANTIATE_TEST_SUITE_P(
    Cases, AccessTest,
    testing::Values(AccessCase{"WrongKeyReads", "wrong-key-of-nobody", false, 401, Counter::CredentialsRefused, false},
                    AccessCase{"WrongKeyFiles", "wrong-key-of-nobody", true, 401, Counter::CredentialsRefused, true},
                    AccessCase{"CallersKeyFiles", CallerKey, true, 401, Counter::CredentialsRefused, true},
                    AccessCase{"ViewerFiles", ViewKey, true, 403, Counter::RolesRefused, true}),
    [](const auto &it) { return it.param.name; });

TEST_F(EntryTest, RepeatedRefusalsAreOneBoundedEntryOfTheTrail)
{
    start();
    for (int i = 0; i < 5; ++i) {
        administration(ViewKey)->Post("/v1/tickets", ticketText(1), "application/json");
    }
    const json entries = get("/v1/audit")["refused_attempts"]["entries"];
    ASSERT_EQ(entries.size(), 1U) << entries.dump();
    EXPECT_EQ(entries[0]["count"], 5);
    EXPECT_EQ(entries[0]["operator"], "viewer");
}

TEST(RefusedAttemptsTest, AFloodOfDifferentAttemptsKeepsTheNewest)
{
    RefusedAttempts attempts;
    for (std::size_t i = 0; i < 2 * RefusedAttempts::EntriesMax; ++i) {
        attempts.note({.peer = std::to_string(i)}, Millis(static_cast<std::int64_t>(i)));
    }
    const json list = attempts.toJson();
    ASSERT_EQ(list.size(), RefusedAttempts::EntriesMax);
    EXPECT_EQ(list.back()["peer"], std::to_string(2 * RefusedAttempts::EntriesMax - 1));
}

TEST_F(EntryTest, PagesThroughTicketsAndAudit)
{
    start();
    for (std::uint64_t number = 1; number <= 5; ++number) {
        const auto filed = administration(FileKey)->Post("/v1/tickets", ticketText(number), "application/json");
        ASSERT_TRUE(filed && filed->status == 200) << number;
    }
    const json first = get("/v1/tickets?limit=2");
    ASSERT_EQ(first["tickets"].size(), 2U);
    EXPECT_EQ(first["tickets"][0]["number"], 1);
    EXPECT_EQ(first["next_after"], 2);
    const json last = get("/v1/tickets?limit=2&after=4");
    ASSERT_EQ(last["tickets"].size(), 1U);
    EXPECT_EQ(last["next_after"], nullptr);
    const json newest = get("/v1/audit?limit=2&before=18446744073709551615");
    ASSERT_EQ(newest["entries"].size(), 2U);
    EXPECT_EQ(newest["entries"][1]["number"], 5);
    EXPECT_EQ(newest["next_before"], newest["entries"][0]["offset"]);
}

TEST_F(EntryTest, StatusSaysHowOldEachPartIs)
{
    start();
    const auto filed = administration(FileKey)->Post("/v1/tickets", ticketText(1), "application/json");
    ASSERT_TRUE(filed && filed->status == 200);
    // Until the daemon has heard of the VMs for the first time, the status has no time, and says so.
    json status = get("/v1/status");
    const auto end = steadyMillis() + Millis{20000};
    while (status["as_of_ms"].is_null() && steadyMillis() < end) {
        EXPECT_TRUE(status["stale"]);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        status = get("/v1/status");
    }
    EXPECT_FALSE(status["stale"]);
    ASSERT_TRUE(status["as_of_ms"].is_number());
    EXPECT_GT(status["as_of_ms"], 0);
    const json rollout = status["scopes"][0]["rollout"];
    EXPECT_EQ(rollout["silent"], 1) << "a VM that was never heard of counts as silent";
    EXPECT_TRUE(rollout["stale"]);
    EXPECT_TRUE(rollout["as_of_ms"].is_null());
    for (const auto &[name, vm] : status["vms"].items()) {
        EXPECT_TRUE(vm.contains("stale")) << name;
    }
}

RC_GTEST_PROP(PagingTest, PagesInEitherDirectionShowEachItemOnce, (const std::set<std::uint32_t> &keys))
{
    const std::vector<std::uint64_t> items(keys.begin(), keys.end());
    const auto keyOf = [](std::uint64_t item) {
        return item;
    };
    const auto limit = *rc::gen::inRange<std::uint64_t>(1, 5);
    std::vector<std::uint64_t> forward;
    PageQuery query{.limit = limit};
    for (bool more = true; more;) {
        const auto page = pageOf<std::uint64_t>(items, query, keyOf);
        forward.insert(forward.end(), page.items.begin(), page.items.end());
        more = page.more;
        query.after = more ? std::optional(page.items.back()) : std::nullopt;
    }
    RC_ASSERT(forward == items);
    std::vector<std::uint64_t> backward;
    query = {.limit = limit, .before = std::numeric_limits<std::uint64_t>::max()};
    for (bool more = true; more;) {
        const auto page = pageOf<std::uint64_t>(items, query, keyOf);
        backward.insert(backward.begin(), page.items.begin(), page.items.end());
        more = page.more;
        query.before = more ? std::optional(page.items.front()) : std::nullopt;
    }
    RC_ASSERT(backward == items);
}

TEST_F(EntryTest, TheOpenApiPageDescribesExactlyTheRoutes)
{
    std::ifstream in(IBISLOCK_SOURCE_DIR "/docs/reference/openapi.json");
    const json page = json::parse(in, nullptr, false);
    ASSERT_TRUE(page.is_object()) << "docs/reference/openapi.json is not JSON";
    std::set<std::string> described;
    for (const auto &[path, operations] : page["paths"].items()) {
        for (const auto &[method, operation] : operations.items()) {
            std::string upper = method;
            std::transform(upper.begin(), upper.end(), upper.begin(), [](unsigned char c) { return std::toupper(c); });
            described.insert(upper + " " + path + " " + operation.value("x-role", ""));
        }
    }
    Counters counters;
    const security::CredentialStore credentials({}, counters);
    const rpc::EventLoop loop;
    rpc::Client client(loop, {});
    node::Node node(m_options.node, counters, client);
    std::set<std::string> served;
    for (const Route &route : AdministrationApi(m_options, credentials, node, counters).routes()) {
        served.insert(route.method + " " + route.path + " "
                      + std::string(nameOf(security::OperatorRoleNames, route.role)));
    }
    EXPECT_EQ(described, served);
}

} // namespace

} // namespace ibislock::entry
