#include "ibislock/rpc/client.h"

#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace ibislock::rpc
{

namespace
{

constexpr Millis Patience{10000};

class RpcTest : public testing::Test
{
protected:
    std::string addressOf(const Server &server)
    {
        return "127.0.0.1:" + std::to_string(server.port());
    }

    EventLoop m_serverLoop;
    EventLoop m_clientLoop;
    Client m_client{m_clientLoop, {}};
};

TEST_F(RpcTest, SwapsReports)
{
    Handlers handlers;
    handlers.exchange = [](const Exchange &received) {
        Exchange reply = received;
        reply.upTo = received.upTo + 1;
        return reply;
    };
    const Server server(m_serverLoop, {}, handlers);
    Exchange sent{.from = {.vm = "a", .domain = "north", .incarnation = 2, .revision = 3, .lastTicket = 4},
                  .peerIncarnation = 5,
                  .taken = 6,
                  .fingerprint = 7,
                  .upTo = 8,
                  .wantsReport = true};
    sent.news.push_back({.report = {.vm = "b", .revision = 9, .serving = sha256("x"), .running = 3, .coveredTicket = 1},
                         .suspectedBy = {"e1", "e2"}});
    sent.domains.push_back({.domain = "south", .age = Millis(10)});
    const auto reply = m_client.exchange(addressOf(server), sent);
    ASSERT_TRUE(reply) << reply.error().message;
    EXPECT_EQ(reply->from, sent.from);
    EXPECT_EQ(reply->news, sent.news);
    EXPECT_EQ(std::tuple(reply->peerIncarnation, reply->taken, reply->fingerprint, reply->upTo, reply->wantsReport),
              std::tuple(5U, 6U, 7U, 9U, true));
    ASSERT_EQ(reply->domains.size(), 1U);
    EXPECT_EQ(reply->domains[0].age, Millis(10));
}

TEST_F(RpcTest, FetchesAChunkOrSaysThatItIsNotHeld)
{
    Handlers handlers;
    handlers.chunk = [](const Digest &digest, const Digest &root) {
        const bool held = digest == sha256("abc") && root == sha256("root");
        return ChunkReply{.bytes = held ? std::make_shared<const std::string>("abc") : nullptr,
                          .held = {.revision = 4, .bitmap = "b"}};
    };
    const Server server(m_serverLoop, {}, handlers);
    const auto ask = [&](const Digest &digest) {
        std::promise<Result<ChunkAnswer>> answer;
        m_client.chunkAsync(addressOf(server), digest, sha256("root"), Patience,
                            [&](Result<ChunkAnswer> it) { answer.set_value(std::move(it)); });
        return answer.get_future().get();
    };
    const auto held = ask(sha256("abc"));
    ASSERT_TRUE(held) << held.error().message;
    EXPECT_EQ(held->bytes, "abc");
    EXPECT_EQ(held->held.bitmap, "b");
    const auto other = ask(sha256("abd"));
    ASSERT_TRUE(other) << other.error().message;
    EXPECT_FALSE(other->found);
}

TEST_F(RpcTest, TellsHoldingsWhenTheyChange)
{
    std::atomic<std::uint64_t> revision = 1;
    Handlers handlers;
    handlers.have = [&](const Digest &root) -> std::optional<HaveReply> {
        return root == sha256("root") ? std::optional(HaveReply{.revision = revision, .bitmap = "b"}) : std::nullopt;
    };
    const Server server(m_serverLoop, {}, handlers);
    std::promise<Result<HaveReply>> answer;
    m_client.haveAsync(addressOf(server), sha256("root"), 1, Patience,
                       [&](Result<HaveReply> it) { answer.set_value(std::move(it)); });
    revision = 2;
    const auto reply = answer.get_future().get();
    ASSERT_TRUE(reply) << reply.error().message;
    EXPECT_EQ(reply->revision, 2U);
    std::promise<Result<HaveReply>> unknown;
    m_client.haveAsync(addressOf(server), sha256("other"), 0, Millis(0),
                       [&](Result<HaveReply> it) { unknown.set_value(std::move(it)); });
    EXPECT_EQ(unknown.get_future().get().error().code, ErrorCode::NotFound);
}

TEST_F(RpcTest, StreamsAnAnswerInOrder)
{
    std::thread worker;
    Handlers handlers;
    handlers.submit = [&](const requests::Request &request, const std::shared_ptr<AnswerWriter> &writer) {
        worker = std::thread([request, writer] {
            EXPECT_TRUE(writer->part("one"));
            EXPECT_TRUE(writer->part("two"));
            writer->finish({.id = request.id, .outcome = requests::Outcome::Answered});
        });
    };
    const Server server(m_serverLoop, {}, handlers);
    const auto stream = m_client.submit(addressOf(server), {.id = "r1", .body = "hello"});
    std::string text;
    for (;;) {
        const AnswerEvent event = stream->next(Patience);
        if (const auto *end = std::get_if<requests::ResponseEnd>(&event)) {
            EXPECT_EQ(end->parts, 2U);
            EXPECT_EQ(end->bytes, 6U);
            break;
        }
        ASSERT_TRUE(std::holds_alternative<requests::ResponsePart>(event)) << std::get<Error>(event).message;
        text += std::get<requests::ResponsePart>(event).data;
    }
    EXPECT_EQ(text, "onetwo");
    worker.join();
}

TEST_F(RpcTest, SaysThatARequestWasNeverSentWhenNobodyListens)
{
    const auto stream = m_client.submit("127.0.0.1:1", {.id = "r1"});
    const AnswerEvent event = stream->next(Patience);
    ASSERT_TRUE(std::holds_alternative<Error>(event));
    EXPECT_EQ(std::get<Error>(event).code, ErrorCode::Unavailable);
}

TEST_F(RpcTest, TellsTheTargetThatTheCallerHasGone)
{
    std::promise<bool> cancelled;
    std::thread worker;
    Handlers handlers;
    handlers.submit = [&](const requests::Request &, const std::shared_ptr<AnswerWriter> &writer) {
        worker = std::thread([&cancelled, writer] {
            while (writer->part("x")) {
                std::this_thread::yield();
            }
            cancelled.set_value(writer->isCancelled());
            writer->finish({});
        });
    };
    const Server server(m_serverLoop, {}, handlers);
    const auto stream = m_client.submit(addressOf(server), {.id = "r1"});
    EXPECT_TRUE(std::holds_alternative<requests::ResponsePart>(stream->next(Patience)));
    stream->cancel();
    EXPECT_TRUE(cancelled.get_future().get());
    worker.join();
}

TEST_F(RpcTest, ReconnectsAfterTheServerCameBack)
{
    Handlers handlers;
    handlers.state = [](std::uint64_t) {
        return StateDelta{.state = "s"};
    };
    std::uint16_t port = 0;
    {
        const Server server(m_serverLoop, {}, handlers);
        port = server.port();
        ASSERT_TRUE(m_client.state("127.0.0.1:" + std::to_string(port), 0));
    }
    const Server server(m_serverLoop, {.port = port}, handlers);
    bool reached = false;
    for (int i = 0; i < 100 && !reached; ++i) {
        reached = m_client.state("127.0.0.1:" + std::to_string(port), 0).has_value();
    }
    EXPECT_TRUE(reached);
}

TEST_F(RpcTest, BreaksConnectionsOffAlsoWhenTheOtherSideHasClosedThem)
{
    Handlers handlers;
    handlers.state = [](std::uint64_t) {
        return StateDelta{.state = "s"};
    };
    // Whether the client has noticed the end of the connection yet is up to the event loop, hence the repetition.
    for (int i = 0; i < 50; ++i) {
        std::optional<Server> server(std::in_place, m_serverLoop, ServerOptions{}, handlers);
        const std::string address = addressOf(*server);
        ASSERT_TRUE(m_client.state(address, 0));
        server.reset();
        m_client.setReachable([](const std::string &) { return false; });
        EXPECT_FALSE(m_client.state(address, 0));
        m_client.setReachable(nullptr);
    }
}

TEST_F(RpcTest, ARequestIsRevokedOnlyWithTheTargetsWord)
{
    Handlers handlers;
    handlers.revoke = [](const std::string &id, std::uint64_t incarnation) {
        return id == "waiting" && incarnation == 7;
    };
    const Server server(m_serverLoop, {}, handlers);
    EXPECT_TRUE(m_client.revoke(addressOf(server), "waiting", 7));
    EXPECT_FALSE(m_client.revoke(addressOf(server), "started", 7));
    EXPECT_FALSE(m_client.revoke(addressOf(server), "waiting", 8));
    EXPECT_FALSE(m_client.revoke("127.0.0.1:1", "waiting", 7)) << "nobody confirms";
}

} // namespace

} // namespace ibislock::rpc
