#include "ibislock/serving/quarantine_report.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>

namespace ibislock::serving
{

namespace
{

using Parts = std::vector<Suspect>;

constexpr std::uint64_t Common = 1;
constexpr std::uint64_t Bad = 2;
constexpr std::uint64_t Sound = 3;

/// Requests, by their digests.
const Suspect Deadly(1, SuspectKind::Request);
const Suspect SoundRequest(2, SuspectKind::Request);

/// Longer than the time in which reports of a crash arrive.
constexpr Millis Settled{1000};

class PromptQuarantineTest : public testing::Test
{
protected:
    PromptQuarantineTest()
    {
        m_quarantine.self = 7;
    }

    /// Records the crash of another engine.
    void crash(const Parts &parts, bool responding = true)
    {
        recordCrash(m_quarantine, {.engine = ++m_engine, .suspects = parts, .responding = responding}, m_now);
    }

    /// Records the crash of the same engine as the last time.
    void crashAgain(const Parts &parts, bool responding = true)
    {
        recordCrash(m_quarantine, {.engine = m_engine, .suspects = parts, .responding = responding}, m_now);
    }

    Parts quarantined()
    {
        m_now += Settled;
        quarantineSuspects(m_quarantine, m_now);
        Parts out;
        for (const auto &[part, entry] : m_quarantine.parts) {
            out.push_back(part);
        }
        return out;
    }

    PromptQuarantine m_quarantine;
    std::uint64_t m_engine = 0;
    Millis m_now{10000};
};

TEST_F(PromptQuarantineTest, PartUnderWhichThreeEnginesCrashedAtDifferentMomentsIsQuarantined)
{
    crash({Common, Bad});
    recordAnswer(m_quarantine, {Common, Sound}, m_now);
    EXPECT_EQ(quarantined(), Parts{});
    crash({Common, Bad});
    EXPECT_EQ(quarantined(), Parts{});
    crash({Bad, Sound});
    EXPECT_EQ(quarantined(), Parts{Bad});
    EXPECT_EQ(findQuarantined(m_quarantine, {Common, Bad}), Bad);
    EXPECT_EQ(findQuarantined(m_quarantine, {Common, Sound}), std::nullopt);
}

// Many engines may crash at once for a reason of their own, with requests of one kind on all of them.
TEST_F(PromptQuarantineTest, CrashesAtOneMomentQuarantineNothing)
{
    for (int n = 0; n < 20; ++n) {
        crash({Common, Sound});
        m_now += Millis{5};
    }
    EXPECT_EQ(quarantined(), Parts{});
}

TEST_F(PromptQuarantineTest, AnsweredPartIsNotSuspected)
{
    for (int n = 0; n < 10; ++n) {
        crash({Common, Sound});
        m_now += Millis{200};
        recordAnswer(m_quarantine, {Common, Sound}, m_now);
    }
    EXPECT_EQ(quarantined(), Parts{});
}

TEST_F(PromptQuarantineTest, PartThatWasAnsweredBeforeNeedsMoreCrashes)
{
    recordAnswer(m_quarantine, {Sound}, m_now);
    for (int n = 0; n < 5; ++n) {
        crash({Sound});
        EXPECT_EQ(quarantined(), Parts{}) << n;
    }
    crash({Sound});
    EXPECT_EQ(quarantined(), Parts{Sound});
}

TEST_F(PromptQuarantineTest, CrashThatAQuarantinedPartExplainsIsNotCountedForOthers)
{
    for (int n = 0; n < 6; ++n) {
        crash({Bad});
        crashAgain({Sound});
        m_now += Millis{200};
    }
    crash({Bad});
    EXPECT_EQ(quarantined(), Parts{Bad});
}

TEST_F(PromptQuarantineTest, RequestsThatTheEngineHadNotBegunAreNotSuspectedBesideOneThatItHad)
{
    for (int n = 0; n < 4; ++n) {
        crash({Bad + static_cast<std::uint64_t>(10 * n)}, /*responding=*/true);
        crashAgain({Sound}, /*responding=*/false);
        m_now += Millis{200};
    }
    EXPECT_EQ(quarantined(), Parts{});
}

TEST_F(PromptQuarantineTest, OfTwoPartsThatAreAlwaysTogetherTheLaterOneIsQuarantined)
{
    for (int n = 0; n < 3; ++n) {
        crash({Common, Bad});
        m_now += Millis{200};
    }
    EXPECT_EQ(quarantined(), Parts{Bad});
}

TEST_F(PromptQuarantineTest, AnswerReleasesAPart)
{
    for (int n = 0; n < 3; ++n) {
        crash({Sound});
        m_now += Millis{200};
    }
    ASSERT_EQ(quarantined(), Parts{Sound});
    EXPECT_EQ(recordAnswer(m_quarantine, {Sound}, m_now), Parts{Sound});
    EXPECT_EQ(quarantined(), Parts{});
}

TEST_F(PromptQuarantineTest, PartIsReleasedWhenNoRequestsComeAndOneCrashQuarantinesItAgain)
{
    const QuarantinePolicy policy;
    for (int n = 0; n < 3; ++n) {
        crash({Bad});
        m_now += Millis{200};
    }
    ASSERT_EQ(quarantined(), Parts{Bad});
    m_now += policy.quietTime - Millis{1};
    EXPECT_EQ(expireQuarantine(m_quarantine, m_now), Parts{});
    m_now += Millis{1};
    EXPECT_EQ(expireQuarantine(m_quarantine, m_now), Parts{Bad});
    EXPECT_EQ(quarantined(), Parts{});
    crash({Bad});
    EXPECT_EQ(quarantineSuspects(m_quarantine, m_now), Parts{Bad});
}

TEST_F(PromptQuarantineTest, OnlyTheVmThatQuarantinedAPartProbesIt)
{
    for (int n = 0; n < 3; ++n) {
        crash({Bad});
        m_now += Millis{200};
    }
    ASSERT_EQ(quarantined(), Parts{Bad});
    PromptQuarantine other{.self = 8};
    applyReport(other, *makeReport(m_quarantine, m_now), m_now);
    EXPECT_FALSE(tryProbe(m_quarantine, Bad, m_now));
    m_now += QuarantinePolicy{}.firstProbeTime;
    EXPECT_TRUE(tryProbe(m_quarantine, Bad, m_now));
    EXPECT_FALSE(tryProbe(m_quarantine, Bad, m_now));
    EXPECT_FALSE(tryProbe(other, Bad, m_now));
}

TEST_F(PromptQuarantineTest, MadeUpPartsAreBounded)
{
    for (std::uint64_t n = 0; n < 5000; ++n) {
        crash({n, n + 100000, n + 200000});
        recordAnswer(m_quarantine, {n + 300000}, m_now);
        m_now += Millis{1};
    }
    EXPECT_LE(m_quarantine.suspicionCount, MaxSuspicions);
    EXPECT_LE(m_quarantine.answers.size() + m_quarantine.olderAnswers.size(), 2 * MaxAnswers);
    const auto report = makeReport(m_quarantine, m_now);
    ASSERT_TRUE(report);
    EXPECT_LE(report->suspicions.size(), MaxReportedSuspicions);
}

TEST_F(PromptQuarantineTest, NothingIsReportedWhileNothingCrashes)
{
    recordAnswer(m_quarantine, {Common, Sound}, m_now);
    EXPECT_FALSE(makeReport(m_quarantine, m_now));
}

TEST_F(PromptQuarantineTest, FirstCrashUnderAnAnsweredPartIsNotReported)
{
    recordAnswer(m_quarantine, {Common}, m_now);
    crash({Common, Bad});
    const auto first = makeReport(m_quarantine, m_now);
    ASSERT_TRUE(first);
    ASSERT_EQ(first->suspicions.size(), 1U);
    EXPECT_EQ(first->suspicions[0].part, Bad);
    crash({Common});
    EXPECT_EQ(makeReport(m_quarantine, m_now)->suspicions.size(), 2U);
}

// Of more parts than there is room for, each would replace another one that is a suspect again at once, without end.
TEST_F(PromptQuarantineTest, MoreSuspectsThanThereIsRoomForAreNotJudgedForever)
{
    for (int n = 0; n < 3; ++n) {
        for (std::uint64_t part = 1; part <= MaxQuarantinedParts + 4; ++part) {
            crash({part});
        }
        m_now += Millis{200};
    }
    EXPECT_EQ(quarantined().size(), MaxQuarantinedParts);
}

TEST_F(PromptQuarantineTest, RequestUnderWhichThreeTargetsCrashedIsQuarantinedAndItsPartsAreNot)
{
    for (int n = 0; n < 2; ++n) {
        crash({Common, Sound, Deadly});
    }
    EXPECT_EQ(quarantined(), Parts{});
    crash({Common, Sound, Deadly});
    EXPECT_EQ(quarantined(), Parts{Deadly});
    EXPECT_EQ(findQuarantined(m_quarantine, {Common, Sound, Deadly}), Deadly);
    EXPECT_EQ(findQuarantined(m_quarantine, {Common, Sound, SoundRequest}), std::nullopt);
}

TEST_F(PromptQuarantineTest, AnswersToOtherRequestsDoNotClearARequest)
{
    for (int n = 0; n < 3; ++n) {
        crash({Common, Deadly});
        recordAnswer(m_quarantine, {Common, SoundRequest}, m_now);
        m_now += Millis{200};
    }
    EXPECT_EQ(quarantined(), Parts{Deadly});
}

TEST_F(PromptQuarantineTest, AnswerClearsARequest)
{
    crash({SoundRequest});
    crash({SoundRequest});
    recordAnswer(m_quarantine, {SoundRequest}, m_now);
    m_now += Millis{1};
    crash({SoundRequest});
    crash({SoundRequest});
    EXPECT_EQ(quarantined(), Parts{});
}

// The report of the answer is under way when another VM quarantines the request.
TEST_F(PromptQuarantineTest, AnswerAfterTheLastCrashReleasesARequestThatIsQuarantinedLater)
{
    const Parts request{SoundRequest};
    for (int n = 0; n < 3; ++n) {
        crash(request);
    }
    PromptQuarantine other{.self = 8};
    recordCrash(other, {.engine = m_engine, .suspects = request, .responding = true}, m_now);
    recordAnswer(other, request, m_now + Millis{200});
    ASSERT_EQ(quarantined(), request);
    EXPECT_EQ(applyReport(other, *makeReport(m_quarantine, m_now), m_now).quarantined, Parts{});
    EXPECT_EQ(applyReport(m_quarantine, *makeReport(other, m_now), m_now).released, request);
}

TEST_F(PromptQuarantineTest, CrashThatARequestExplainsIsNotCountedForOthers)
{
    for (int n = 0; n < 4; ++n) {
        crash({Common, Deadly});
        if (n > 0) {
            crashAgain({Common, SoundRequest});
        }
        m_now += Millis{200};
    }
    EXPECT_EQ(quarantined(), Parts{Deadly});
}

TEST_F(PromptQuarantineTest, CrashThatAPartExplainsIsNotCountedForRequests)
{
    for (std::uint64_t n = 0; n < 4; ++n) {
        crash({Bad, Suspect(10 + n, SuspectKind::Request)});
        if (n > 0) {
            crashAgain({SoundRequest});
        }
        m_now += Millis{200};
    }
    EXPECT_EQ(quarantined(), Parts{Bad});
}

// The first of them is quarantined by itself, as its callers repeat it; the part that they share must be found all the
// same.
TEST_F(PromptQuarantineTest, PartIsFoundAfterARequestWithItIsQuarantined)
{
    for (int n = 0; n < 3; ++n) {
        crash({Bad, Deadly});
        m_now += Millis{200};
    }
    ASSERT_EQ(quarantined(), Parts{Deadly});
    crash({Bad, SoundRequest});
    m_now += Millis{200};
    crash({Bad, SoundRequest});
    EXPECT_EQ(quarantined(), (Parts{Deadly, Bad}));
}

TEST_F(PromptQuarantineTest, RequestsThatWaitedAtATargetThatHadBegunAnotherAreNotSuspected)
{
    for (int n = 0; n < 2; ++n) {
        crash({Deadly});
        crashAgain({SoundRequest}, /*responding=*/false);
    }
    crash({Suspect(10, SuspectKind::Request)});
    crashAgain({SoundRequest}, /*responding=*/false);
    EXPECT_EQ(quarantined(), Parts{});
}

// A caller repeats its request at other VMs, which answer it before they hear of the crash.
TEST_F(PromptQuarantineTest, AnswerBeforeTheReportOfAnEarlierCrashClearsARequest)
{
    const Parts request{SoundRequest};
    for (std::uint64_t n = 0; n < 3; ++n) {
        PromptQuarantine other{.self = 8 + n};
        crash(request);
        const auto report = makeReport(m_quarantine, m_now);
        ASSERT_TRUE(report);
        recordAnswer(other, request, m_now + Millis{20});
        QuarantineReport received = *report;
        received.suspicions[0].age += Millis{50};
        applyReport(other, received, m_now + Millis{50});
        EXPECT_TRUE(other.suspicions.empty()) << n;
        const auto answer = makeReport(other, m_now + Millis{50});
        if (answer) {
            applyReport(m_quarantine, *answer, m_now + Millis{50});
        }
        m_now += Millis{200};
    }
    EXPECT_EQ(quarantined(), Parts{});
}

// The VMs that pass reports on need not be those that heard of the crash.
TEST_F(PromptQuarantineTest, AnswerToASuspectIsPassedOnByVmsThatHaveNotHeardOfTheCrash)
{
    const Parts request{SoundRequest};
    crash(request);
    recordAnswer(m_quarantine, request, m_now + Millis{20});
    const auto report = makeReport(m_quarantine, m_now + Millis{20});
    ASSERT_TRUE(report);
    ASSERT_EQ(report->answers.size(), 1U);
    PromptQuarantine relay{.self = 8};
    applyReport(relay, *report, m_now + Millis{30});
    const auto forwarded = makeReport(relay, m_now + Millis{30});
    ASSERT_TRUE(forwarded);
    EXPECT_EQ(forwarded->answers.size(), 1U);
}

// Targets that crash together, as their domain loses power, may all have had a request that is often sent.
TEST_F(PromptQuarantineTest, CrashesAtOneMomentDoNotQuarantineARequestThatWasAnsweredBefore)
{
    recordAnswer(m_quarantine, {SoundRequest}, m_now - Millis{100});
    for (int n = 0; n < 6; ++n) {
        crash({SoundRequest});
        m_now += Millis{5};
    }
    EXPECT_EQ(quarantined(), Parts{});
}

TEST_F(PromptQuarantineTest, RequestThatWasAnsweredBeforeIsQuarantinedAfterCrashesAtThreeMoments)
{
    recordAnswer(m_quarantine, {SoundRequest}, m_now - Millis{100});
    for (int n = 0; n < 3; ++n) {
        EXPECT_EQ(quarantined(), Parts{}) << n;
        crash({SoundRequest});
    }
    EXPECT_EQ(quarantined(), Parts{SoundRequest});
}

// Nearly each request is another one.
TEST_F(PromptQuarantineTest, AnswersToRequestsThatAreNoSuspectsDisplaceNoOthers)
{
    for (std::uint64_t n = 0; n < 5000; ++n) {
        recordAnswer(m_quarantine, {Common, Suspect(n, SuspectKind::Request)}, m_now);
    }
    EXPECT_EQ(m_quarantine.answers.size() + m_quarantine.olderAnswers.size(), 1U);
    EXPECT_LE(m_quarantine.answeredRequests.size() + m_quarantine.olderAnsweredRequests.size(), 2 * MaxAnswers);
    EXPECT_FALSE(makeReport(m_quarantine, m_now));
}

TEST_F(PromptQuarantineTest, ReportsNameAllThatIsInQuarantineHoweverMuchItIs)
{
    constexpr std::uint64_t Requests = 40;
    static_assert(Requests > 2 * MaxReportedParts && Requests <= MaxQuarantinedParts);
    for (int n = 0; n < 3; ++n) {
        for (std::uint64_t id = 1; id <= Requests; ++id) {
            crash({Suspect(id, SuspectKind::Request)});
        }
    }
    ASSERT_EQ(quarantined().size(), Requests);
    PromptQuarantine other{.self = 8};
    for (std::uint64_t n = 0; n < Requests; n += MaxReportedParts) {
        const auto report = makeReport(m_quarantine, m_now);
        ASSERT_TRUE(report);
        EXPECT_TRUE(report->forAll);
        EXPECT_LE(report->parts.size(), MaxReportedParts);
        applyReport(other, *report, m_now);
    }
    EXPECT_EQ(other.parts.size(), Requests);
}

RC_GTEST_PROP(PromptQuarantineModelTest, AnyReportsLeaveTheStateBounded, ())
{
    PromptQuarantine quarantine{.self = 1};
    const auto number = rc::gen::inRange<std::uint64_t>(0, 2000);
    const auto suspect = rc::gen::map(
        number, [](std::uint64_t n) { return Suspect(n / 2, n % 2 == 0 ? SuspectKind::Part : SuspectKind::Request); });
    const auto age = rc::gen::map(rc::gen::arbitrary<std::uint32_t>(), [](std::uint32_t ms) { return Millis{ms}; });
    Millis now{1'000'000};
    for (int n = 0; n < 60; ++n) {
        QuarantineReport report;
        for (int i = 0; i < 20; ++i) {
            report.suspicions.push_back(
                {.engine = *number, .part = *suspect, .age = *age, .responding = *number < 1000});
            report.answers.push_back({.part = *suspect, .age = *age});
            report.parts.push_back({.part = *suspect, .origin = *number, .age = *age, .requestAge = *age});
        }
        applyReport(quarantine, report, now);
        quarantineSuspects(quarantine, now);
        expireQuarantine(quarantine, now);
        const auto out = makeReport(quarantine, now);
        RC_ASSERT(quarantine.parts.size() <= MaxQuarantinedParts);
        RC_ASSERT(quarantine.suspicionCount <= MaxSuspicions);
        RC_ASSERT(!out || out->suspicions.size() <= MaxReportedSuspicions);
        RC_ASSERT(!out || out->answers.size() <= MaxReportedAnswers);
        RC_ASSERT(!out || out->parts.size() <= MaxReportedParts);
        now += Millis{50};
    }
    std::size_t count = 0;
    for (const auto &[part, list] : quarantine.suspicions) {
        RC_ASSERT(!list.empty());
        count += list.size();
    }
    RC_ASSERT(count == quarantine.suspicionCount);
}

/// Entry VMs whose requests crash engines, over reports that are late or get lost.
class Deployment
{
public:
    Deployment(int vms, int lossPercent)
        : m_vms(static_cast<std::size_t>(vms))
        , m_lossPercent(lossPercent)
    {
        for (std::size_t n = 0; n < m_vms.size(); ++n) {
            m_vms[n].self = n + 1;
        }
    }

    /// Lets a request with the bad part arrive at a VM, which sends it to two engines unless the part is in quarantine.
    /// A sound request waits at each of the engines.
    void sendBad(std::size_t vm, std::uint64_t soundPart)
    {
        sendCrashing(vm, {Common, Bad}, {Common, soundPart});
    }

    /// Lets a request that crashes each engine arrive at a VM, which sends it to two engines unless it is in
    /// quarantine. A sound request waits at each of the engines.
    void sendCrashing(std::size_t vm, const Parts &suspects, const Parts &soundSuspects)
    {
        for (int n = 0; n < 2 && !findQuarantined(m_vms[vm], suspects); ++n) {
            ++sends;
            ++m_engine;
            crashTimes.push_back(now);
            recordCrash(m_vms[vm], {.engine = m_engine, .suspects = suspects, .responding = true}, now);
            const std::size_t other = draw(m_vms.size());
            recordCrash(m_vms[other], {.engine = m_engine, .suspects = soundSuspects, .responding = draw(2) == 0}, now);
        }
    }

    /// Advances the time by 20 ms.
    void tick()
    {
        now += Millis{20};
        while (!m_underWay.empty() && m_underWay.front().arrivesAt <= now) {
            const Message message = std::move(m_underWay.front());
            m_underWay.pop_front();
            applyReport(m_vms[message.to], message.report, now);
        }
        for (std::size_t n = 0; n < m_vms.size(); ++n) {
            quarantineSuspects(m_vms[n], now);
            const auto report = now.count() % 100 == 0 ? makeReport(m_vms[n], now) : std::nullopt;
            for (std::size_t to = 0; report && to < m_vms.size(); ++to) {
                if (to != n && static_cast<int>(draw(100)) >= m_lossPercent) {
                    m_underWay.push_back({.arrivesAt = now + Millis{20}, .to = to, .report = *report});
                }
            }
        }
    }

    void answer(std::size_t vm, const Parts &parts)
    {
        recordAnswer(m_vms[vm], parts, now);
    }

    std::size_t draw(std::size_t n)
    {
        m_state = m_state * 6364136223846793005ULL + 1442695040888963407ULL;
        return static_cast<std::size_t>(m_state >> 33U) % n;
    }

    void seed(std::uint64_t value)
    {
        m_state = value;
    }

    bool isQuarantinedEverywhere(const Suspect &part) const
    {
        return std::all_of(m_vms.begin(), m_vms.end(),
                           [&](const PromptQuarantine &vm) { return vm.parts.contains(part); });
    }

    std::size_t quarantinedParts() const
    {
        std::size_t out = 0;
        for (const PromptQuarantine &vm : m_vms) {
            out = std::max(out, vm.parts.size());
        }
        return out;
    }

    Millis now{10000};
    int sends = 0;
    std::vector<Millis> crashTimes;

private:
    struct Message
    {
        Millis arrivesAt{0};
        std::size_t to = 0;
        QuarantineReport report;
    };

    std::vector<PromptQuarantine> m_vms;
    int m_lossPercent;
    std::uint64_t m_engine = 0;
    std::uint64_t m_state = 1;
    std::deque<Message> m_underWay;
};

// Three seconds after the fifth crash, all entry VMs together may send three requests with the part.
RC_GTEST_PROP(PromptQuarantineModelTest, CrashingPartIsKnownEverywhereSoonAfterTheFifthCrash, ())
{
    const int vms = *rc::gen::inRange(1, 12);
    const int pauseTicks = *rc::gen::inRange(1, 100);
    const int loss = *rc::gen::inRange(0, 40);
    Deployment deployment(vms, loss);
    deployment.seed(*rc::gen::arbitrary<std::uint64_t>());
    int sendsAtBound = -1;
    for (int tick = 0; tick < 1500; ++tick) {
        const Millis bound =
            deployment.crashTimes.size() >= 5 ? deployment.crashTimes[4] + Millis{3000} : Millis::max();
        if (sendsAtBound < 0 && deployment.now > bound) {
            sendsAtBound = deployment.sends;
        }
        if (tick % pauseTicks == 0) {
            deployment.sendBad(deployment.draw(static_cast<std::size_t>(vms)), 100 + deployment.draw(40));
        }
        // Sound requests with the common part are answered all the while.
        deployment.answer(deployment.draw(static_cast<std::size_t>(vms)), {Common, 100 + deployment.draw(40)});
        deployment.tick();
    }
    RC_ASSERT(deployment.isQuarantinedEverywhere(Bad));
    RC_ASSERT(sendsAtBound < 0 || deployment.sends - sendsAtBound <= 3);
    RC_ASSERT(deployment.quarantinedParts() == 1U);
}

// Three seconds after the third crash, all entry VMs together may send the request three times.
RC_GTEST_PROP(PromptQuarantineModelTest, CrashingRequestIsKnownEverywhereSoonAfterTheThirdCrash, ())
{
    const int vms = *rc::gen::inRange(1, 12);
    const int pauseTicks = *rc::gen::inRange(1, 100);
    const int loss = *rc::gen::inRange(0, 40);
    Deployment deployment(vms, loss);
    deployment.seed(*rc::gen::arbitrary<std::uint64_t>());
    int sendsAtBound = -1;
    std::uint64_t request = 1000;
    for (int tick = 0; tick < 1500; ++tick) {
        const Millis bound =
            deployment.crashTimes.size() >= 3 ? deployment.crashTimes[2] + Millis{3000} : Millis::max();
        if (sendsAtBound < 0 && deployment.now > bound) {
            sendsAtBound = deployment.sends;
        }
        const std::uint64_t subject = 100 + deployment.draw(40);
        if (tick % pauseTicks == 0) {
            deployment.sendCrashing(deployment.draw(static_cast<std::size_t>(vms)), {Common, Sound, Deadly},
                                    {Common, subject, Suspect(++request, SuspectKind::Request)});
        }
        // Sound requests with the same parts are answered all the while.
        deployment.answer(
            deployment.draw(static_cast<std::size_t>(vms)),
            {Common, deployment.draw(2) == 0 ? Sound : subject, Suspect(++request, SuspectKind::Request)});
        deployment.tick();
    }
    RC_ASSERT(deployment.isQuarantinedEverywhere(Deadly));
    RC_ASSERT(sendsAtBound < 0 || deployment.sends - sendsAtBound <= 3);
    RC_ASSERT(deployment.quarantinedParts() == 1U);
}

// The same request was answered before, by the weights of an earlier version. Callers send it each 20 ms to 6 s.
RC_GTEST_PROP(PromptQuarantineModelTest, CrashingRequestThatWasAnsweredBeforeIsKnownSoonAfterTheThirdCrash, ())
{
    const int vms = *rc::gen::inRange(1, 12);
    const int pauseTicks = *rc::gen::inRange(1, 300);
    const int loss = *rc::gen::inRange(0, 40);
    Deployment deployment(vms, loss);
    deployment.seed(*rc::gen::arbitrary<std::uint64_t>());
    for (std::size_t vm = 0; vm < static_cast<std::size_t>(vms); ++vm) {
        deployment.answer(vm, {Common, Deadly});
    }
    deployment.tick();
    int sendsAtBound = -1;
    for (int tick = 0; tick < 1500; ++tick) {
        const Millis bound =
            deployment.crashTimes.size() >= 3 ? deployment.crashTimes[2] + Millis{3000} : Millis::max();
        if (sendsAtBound < 0 && deployment.now > bound) {
            sendsAtBound = deployment.sends;
        }
        if (tick % pauseTicks == 0) {
            deployment.sendCrashing(deployment.draw(static_cast<std::size_t>(vms)), {Common, Deadly},
                                    {Common, SoundRequest});
        }
        deployment.answer(deployment.draw(static_cast<std::size_t>(vms)), {Common, SoundRequest});
        deployment.tick();
    }
    RC_ASSERT(deployment.isQuarantinedEverywhere(Deadly));
    RC_ASSERT(sendsAtBound < 0 || deployment.sends - sendsAtBound <= 3);
    RC_ASSERT(deployment.quarantinedParts() == 1U);
}

// Callers repeat each request with the bad part several times, so that requests with it are quarantined as well.
RC_GTEST_PROP(PromptQuarantineModelTest, CrashingPartIsKnownSoonWhenItsRequestsAreRepeated, ())
{
    const int vms = *rc::gen::inRange(1, 12);
    const int pauseTicks = *rc::gen::inRange(1, 100);
    const int repeats = *rc::gen::inRange(1, 5);
    const int loss = *rc::gen::inRange(0, 40);
    Deployment deployment(vms, loss);
    deployment.seed(*rc::gen::arbitrary<std::uint64_t>());
    int sendsAtBound = -1;
    std::uint64_t request = 1000;
    for (int tick = 0; tick < 1500; ++tick) {
        const Millis bound =
            deployment.crashTimes.size() >= 5 ? deployment.crashTimes[4] + Millis{3000} : Millis::max();
        if (sendsAtBound < 0 && deployment.now > bound) {
            sendsAtBound = deployment.sends;
        }
        const std::uint64_t subject = 100 + deployment.draw(40);
        if (tick % pauseTicks == 0) {
            const auto call = static_cast<std::uint64_t>(tick / pauseTicks / repeats);
            deployment.sendCrashing(deployment.draw(static_cast<std::size_t>(vms)),
                                    {Common, Bad, Suspect(call, SuspectKind::Request)},
                                    {Common, subject, Suspect(++request, SuspectKind::Request)});
        }
        deployment.answer(deployment.draw(static_cast<std::size_t>(vms)),
                          {Common, subject, Suspect(++request, SuspectKind::Request)});
        deployment.tick();
    }
    RC_ASSERT(sendsAtBound < 0 || deployment.sends - sendsAtBound <= 3);
    RC_ASSERT(deployment.isQuarantinedEverywhere(Bad) || deployment.crashTimes.size() < 5);
}

} // namespace

} // namespace ibislock::serving
