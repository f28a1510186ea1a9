// Whether a passive VM may refuse what its desired state doesn't contain, in virtual time.

#include "ibislock/feed/state_currency.h"

#include "ibislock/feed/operators_watermark.h"

#include <gtest/gtest.h>

namespace ibislock::feed
{

namespace
{

constexpr Millis StateTime{2000};
constexpr Millis CallTime{40}; ///< Of a call to the store.
constexpr Millis ValidationInterval{300}; ///< Of the loads of target VMs.
constexpr Millis ValidatedAge{900}; ///< Of the watermarks in them.
constexpr Millis NeverHappens = Millis::max();

/// What happens to the VM.
struct Course
{
    Millis validatedUntil = NeverHappens; ///< When the last load arrives.
    Millis storeSilentFrom = NeverHappens; ///< From then on no read is answered.
    Millis length{20000};
};

/// Follows the topic as a passive feed does.
/// @return from when on the state is not current for the first time, and when the topic was last known to end.
std::pair<std::optional<Millis>, Millis> follow(const Course &course)
{
    const FeedOptions options = operatorsFeedOptions(StateTime);
    const Millis checkInterval = options.validityTime / 8;
    Millis endKnownAt{0};
    Millis validatedAt{0};
    Millis checkAt{0};
    std::optional<Millis> answerAt; ///< Of the read that is under way.
    Millis answerAsOf{0};
    for (Millis now{0}; now < course.length; ++now) {
        if (now <= course.validatedUntil && now >= ValidatedAge && now % ValidationInterval == Millis{0}) {
            validatedAt = now - ValidatedAge;
            endKnownAt = std::max(endKnownAt, validatedAt);
        }
        if (answerAt && now >= *answerAt) {
            endKnownAt = std::max(endKnownAt, answerAsOf);
            answerAt.reset();
            checkAt = now;
        }
        if (!answerAt && now >= checkAt) {
            if (now - validatedAt < options.validityTime) {
                checkAt = now + checkInterval;
            } else {
                const Millis hold = holdTimeFor(options.passiveLongPollTime, now - endKnownAt);
                answerAsOf = now + hold;
                answerAt = answerAsOf + CallTime < course.storeSilentFrom ? answerAsOf + CallTime : NeverHappens;
            }
        }
        if (!isStateCurrent({.endKnownAt = endKnownAt}, StateTime, now)) {
            return {now, endKnownAt};
        }
    }
    return {std::nullopt, endKnownAt};
}

TEST(StateCurrencyTest, AValidatedStateStaysCurrent)
{
    EXPECT_EQ(follow({}).first, std::nullopt);
}

TEST(StateCurrencyTest, AStateThatNobodyElseValidatesStaysCurrent)
{
    EXPECT_EQ(follow({.validatedUntil = Millis{0}}).first, std::nullopt);
}

TEST(StateCurrencyTest, AStateStaysCurrentWhenItsValidationEnds)
{
    for (Millis end{5000}; end < Millis{5600}; end += Millis{7}) {
        EXPECT_EQ(follow({.validatedUntil = end}).first, std::nullopt) << end.count();
    }
}

TEST(StateCurrencyTest, AStateIsNotCurrentOnceNobodyCanValidateIt)
{
    for (Millis end{5000}; end < Millis{9000}; end += Millis{7}) {
        const auto [notCurrentAt, endKnownAt] = follow({.validatedUntil = Millis{5000}, .storeSilentFrom = end});
        ASSERT_TRUE(notCurrentAt) << end.count();
        EXPECT_EQ(*notCurrentAt, endKnownAt + StateTime + Millis{1}) << end.count();
        EXPECT_LE(*notCurrentAt, std::max(end, Millis{5000}) + StateTime) << end.count();
    }
}

TEST(StateCurrencyTest, AStateIsNotCurrentWhileRecordsAreKnownToBeUnread)
{
    EXPECT_FALSE(isStateCurrent({.behind = true, .endKnownAt = Millis{1000}}, StateTime, Millis{1000}));
    EXPECT_TRUE(isStateCurrent({.endKnownAt = Millis{1000}}, StateTime, Millis{1000}));
}

TEST(StateCurrencyTest, AStateIsNotCurrentWhileTheStoreCannotBeRead)
{
    EXPECT_FALSE(isStateCurrent({.storeUnreachable = true, .endKnownAt = Millis{1000}}, StateTime, Millis{1000}));
}

} // namespace

} // namespace ibislock::feed
