// Property tests of at-most-once execution: random interleavings of sends, losses, delays, restarts and retries are run
// against the table of idempotency keys and the rules that combine outcomes.

#include "ibislock/requests/idempotency_key_table.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace ibislock::requests
{

namespace
{

constexpr Millis Now{1000000};

/// A target process that loses its table of keys when it restarts.
struct ModelTarget
{
    IdempotencyKeyTable keys{.options = {.vm = "target", .incarnation = 1}};

    void restart()
    {
        keys = IdempotencyKeyTable{.options = {.vm = "target", .incarnation = keys.options.incarnation + 1}};
    }
};

/// One call: how often it ran, and what was reported to its callers.
struct ModelCall
{
    std::string key;
    int runs = 0;
    bool reportedNotRun = false;
    bool reportedAnswered = false;
};

/// One message on its way to the target. It may be delivered late, or be lost.
struct Message
{
    std::size_t call = 0;
    bool responseLost = false;
};

class Model
{
public:
    void mintKey()
    {
        m_calls.push_back({.key = formatIdempotencyKey({.vm = "target",
                                                        .incarnation = m_target.keys.options.incarnation,
                                                        .mintedAt = Now,
                                                        .nonce = std::to_string(m_calls.size())})});
    }

    /// Sends a call with one of the keys, for the first time or again, through any entry process.
    void send(std::size_t choice, bool responseLost)
    {
        if (!m_calls.empty()) {
            m_messages.push_back({.call = choice % m_calls.size(), .responseLost = responseLost});
        }
    }

    void loseMessage(std::size_t choice)
    {
        if (!m_messages.empty()) {
            m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(choice % m_messages.size()));
        }
    }

    void restart()
    {
        m_running.clear();
        m_target.restart();
    }

    /// Delivers a message to the target, which refuses it if it is at its limit.
    void deliver(std::size_t choice, bool atLimit)
    {
        if (m_messages.empty()) {
            return;
        }
        const auto it = m_messages.begin() + static_cast<std::ptrdiff_t>(choice % m_messages.size());
        const Message message = *it;
        m_messages.erase(it);
        ModelCall &call = m_calls[message.call];
        switch (beginCall(m_target.keys, "dala", call.key, Now).decision) {
        case KeyDecision::Run:
            if (atLimit) {
                markRefused(m_target.keys, "dala", call.key);
                call.reportedNotRun = call.reportedNotRun || !message.responseLost;
                break;
            }
            ++call.runs;
            m_running.push_back(message);
            break;
        case KeyDecision::Refuse:
            call.reportedNotRun = call.reportedNotRun || !message.responseLost;
            break;
        case KeyDecision::Replay:
            call.reportedAnswered = call.reportedAnswered || !message.responseLost;
            break;
        case KeyDecision::Unknown:
            break;
        }
    }

    void completeCall()
    {
        if (m_running.empty()) {
            return;
        }
        ModelCall &call = m_calls[m_running.front().call];
        finishCall(m_target.keys, "dala", call.key, {.outcome = Outcome::Answered, .status = 200}, "answer");
        call.reportedAnswered = call.reportedAnswered || !m_running.front().responseLost;
        m_running.pop_front();
    }

    void check() const
    {
        for (const ModelCall &call : m_calls) {
            RC_ASSERT(call.runs <= 1);
            RC_ASSERT(!call.reportedNotRun || call.runs == 0);
            RC_ASSERT(!call.reportedAnswered || call.runs == 1);
        }
    }

private:
    ModelTarget m_target;
    std::vector<ModelCall> m_calls;
    std::deque<Message> m_messages;
    std::deque<Message> m_running;
};

TEST(AtMostOnceTest, HoldsForAnyInterleavingOfSendsLossesRestartsAndRetries)
{
    rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &steps) {
        Model model;
        for (const auto &[kind, choice] : steps) {
            switch (kind % 8) {
            case 0:
                model.mintKey();
                break;
            case 1:
            case 2:
                model.send(choice, choice % 3 == 0);
                break;
            case 3:
                model.loseMessage(choice);
                break;
            case 4:
            case 5:
                model.deliver(choice, choice % 5 == 0);
                break;
            case 6:
                model.completeCall();
                break;
            default:
                model.restart();
            }
            model.check();
        }
    });
}

TEST(OutcomeTest, IsNotRunOnlyIfNoAttemptMayHaveRun)
{
    rc::check([](const std::vector<std::uint8_t> &attempts) {
        Outcome combined = Outcome::RefusedNotRun;
        bool mayHaveRun = false;
        for (const std::uint8_t attempt : attempts) {
            const Outcome outcome = static_cast<Outcome>(1 + attempt % 3);
            mayHaveRun = mayHaveRun || outcome != Outcome::RefusedNotRun;
            combined = combinedOutcome(combined, outcome);
            RC_ASSERT((combined == Outcome::RefusedNotRun) == !mayHaveRun);
        }
        RC_ASSERT(combinedOutcome(combined, Outcome::Answered) == Outcome::Answered);
    });
}

/// A key with which a call must not run.
struct KeyCase
{
    const char *name;
    IdempotencyKey key;
};

class IdempotencyKeyTableTest : public testing::TestWithParam<KeyCase>
{
};

TEST_P(IdempotencyKeyTableTest, ReturnsUnknown)
{
    IdempotencyKeyTable keys{.options = {.vm = "target", .incarnation = 2}};
    EXPECT_EQ(beginCall(keys, "dala", formatIdempotencyKey(GetParam().key), Now).decision, KeyDecision::Unknown);
    EXPECT_TRUE(keys.entries.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Cases, IdempotencyKeyTableTest,
    testing::Values(
        KeyCase{"OtherTarget", {.vm = "other", .incarnation = 2, .mintedAt = Now, .nonce = "n"}},
        KeyCase{"EarlierIncarnation", {.vm = "target", .incarnation = 1, .mintedAt = Now, .nonce = "n"}},
        KeyCase{"TooOld", {.vm = "target", .incarnation = 2, .mintedAt = Now - Millis(600000), .nonce = "n"}},
        KeyCase{"FromTheFuture", {.vm = "target", .incarnation = 2, .mintedAt = Now + Millis(60001), .nonce = "n"}}),
    [](const auto &it) { return it.param.name; });

TEST(IdempotencyKeyTableTest, RemovesAKeyOnlyAfterItHasExpired)
{
    IdempotencyKeyTable keys{.options = {.vm = "target", .incarnation = 2, .keysMax = 1}};
    const IdempotencyKey key{.vm = "target", .incarnation = 2, .mintedAt = Now, .nonce = "n"};
    IdempotencyKey other = key;
    other.nonce = "m";
    ASSERT_EQ(beginCall(keys, "dala", formatIdempotencyKey(key), Now).decision, KeyDecision::Run);
    EXPECT_EQ(beginCall(keys, "dala", formatIdempotencyKey(other), Now).decision, KeyDecision::Unknown)
        << "the table is full";
    const Millis later = Now + keys.options.lifetime;
    other.mintedAt = later;
    EXPECT_EQ(beginCall(keys, "dala", formatIdempotencyKey(other), later).decision, KeyDecision::Run);
    EXPECT_EQ(beginCall(keys, "dala", formatIdempotencyKey(key), later).decision, KeyDecision::Unknown);
}

TEST(IdempotencyKeyTableTest, StoresResponsesWithinItsLimits)
{
    IdempotencyKeyTable keys{
        .options = {.vm = "target", .incarnation = 2, .responseBytesMax = 4, .totalResponseBytesMax = 6}};
    const std::vector<std::pair<std::string, KeyDecision>> cases{
        {"four", KeyDecision::Replay}, {"longer", KeyDecision::Unknown}, {"full", KeyDecision::Unknown}};
    for (const auto &[response, decision] : cases) {
        const std::string key =
            formatIdempotencyKey({.vm = "target", .incarnation = 2, .mintedAt = Now, .nonce = response});
        ASSERT_EQ(beginCall(keys, "dala", key, Now).decision, KeyDecision::Run);
        finishCall(keys, "dala", key, {.outcome = Outcome::Answered}, response);
        EXPECT_EQ(beginCall(keys, "dala", key, Now).decision, decision) << response;
    }
    const std::string later =
        formatIdempotencyKey({.vm = "target", .incarnation = 2, .mintedAt = Now + keys.options.lifetime, .nonce = "n"});
    beginCall(keys, "dala", later, Now + keys.options.lifetime);
    EXPECT_EQ(keys.responseBytes, 0U) << "removed entries free their space";
}

TEST(IdempotencyKeyTest, RoundTripsAndRejectsMalformedText)
{
    const IdempotencyKey key{.vm = "a.b-1", .incarnation = 18446744073709551615U, .mintedAt = Now, .nonce = "00ff"};
    EXPECT_EQ(parseIdempotencyKey(formatIdempotencyKey(key)), key);
    for (const char *text : {"", "x", "a.1.2", "a.1.2.", "a.x.2.n", ".1.2.n", "a.1.-2.n", "a.1 .2.n"}) {
        EXPECT_FALSE(parseIdempotencyKey(text)) << text;
    }
}

} // namespace

} // namespace ibislock::requests
