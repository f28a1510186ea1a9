// Reports of prompts that crash engines on a deployment of 300 machines, in virtual time: how soon all entry VMs know a
// part, and how many bytes the reports take.

#include "ibislock/base/random.h"
#include "ibislock/peer/messages.h"
#include "ibislock/serving/load_subscriptions.h"
#include "ibislock/serving/quarantine_report.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace ibislock
{

namespace
{

using serving::PromptQuarantine;
using serving::QuarantineReport;

constexpr Millis Tick{10};
constexpr Millis Latency{10};
constexpr int Domains = 5;
constexpr int LossPercent = 5;
constexpr std::uint64_t Common = 1;
constexpr std::uint64_t Bad = 2;

/// Returns a request, by its digest.
serving::Suspect requestOf(std::uint64_t digest)
{
    return {digest, serving::SuspectKind::Request};
}

/// How often a target VM reports at least, if there is something to report.
constexpr Millis TargetTick{100};

/// The bound of the contract: this long after the fifth crash, few requests with the part may be sent.
constexpr Millis KnownTime{3000};
constexpr std::size_t CrashesUntilKnown = 5;

/// The same for a request that crashes targets by itself.
constexpr std::size_t CrashesUntilRequestIsKnown = 3;

constexpr int SendsAfterwards = 3;

/// Entry VMs and target VMs that exchange reports as the daemons do.
class Network
{
public:
    Network(std::size_t entryVms, std::size_t targetVms)
        : m_entries(entryVms)
        , m_targets(targetVms)
        , m_subscribers(targetVms)
        , m_subscriptions(entryVms)
    {
        std::vector<serving::SubscriptionCandidate> engines;
        for (std::size_t n = 0; n < targetVms; ++n) {
            engines.push_back({.id = std::to_string(n), .domain = std::to_string(n % Domains)});
        }
        for (std::size_t n = 0; n < entryVms; ++n) {
            m_entries[n].quarantine.self = n + 1;
            m_entries[n].quarantine.forwardOneIn = serving::EntryForwardOneIn;
            for (const std::string &id :
                 serving::chooseLoadSubscriptions("vm-" + std::to_string(n), std::to_string(n % Domains), engines)) {
                m_subscriptions[n].push_back(std::stoul(id));
                m_subscribers[std::stoul(id)].push_back(n);
            }
        }
    }

    PromptQuarantine &entry(std::size_t n)
    {
        return m_entries[n].quarantine;
    }

    std::size_t knowing(const serving::Suspect &part) const
    {
        return static_cast<std::size_t>(std::count_if(
            m_entries.begin(), m_entries.end(), [&](const Vm &vm) { return vm.quarantine.parts.contains(part); }));
    }

    std::size_t quarantined() const
    {
        std::size_t out = 0;
        for (const Vm &vm : m_entries) {
            out += vm.quarantine.parts.size();
        }
        return out;
    }

    void tick()
    {
        now += Tick;
        while (!m_underWay.empty() && m_underWay.front().arrivesAt <= now) {
            const Message message = std::move(m_underWay.front());
            m_underWay.pop_front();
            Vm &vm = message.toEntry ? m_entries[message.to] : m_targets[message.to];
            applyReport(vm.quarantine, message.report, now);
            if (!message.toEntry && now >= vm.reportedAt + serving::TargetReportInterval) {
                reportFromTarget(message.to);
            }
        }
        for (std::size_t n = 0; n < m_entries.size(); ++n) {
            if (now >= m_entries[n].reportedAt + serving::EntryReportInterval) {
                reportFromEntry(n);
            }
        }
        for (std::size_t n = 0; n < m_targets.size(); ++n) {
            if (now >= m_targets[n].reportedAt + TargetTick) {
                reportFromTarget(n);
            }
        }
    }

    std::size_t draw(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random);
    }

    Millis now{10000};
    std::size_t datagrams = 0;
    std::size_t bytesBetweenDomains = 0;

private:
    struct Vm
    {
        PromptQuarantine quarantine;
        Millis reportedAt{0};
    };

    struct Message
    {
        Millis arrivesAt{0};
        bool toEntry = false;
        std::size_t to = 0;
        QuarantineReport report;
    };

    void send(const QuarantineReport &report, std::size_t from, std::size_t to, bool toEntry)
    {
        ++datagrams;
        if (from % Domains != to % Domains) {
            bytesBetweenDomains += peer::encode(peer::QuarantineMessage{.report = report}).size();
        }
        if (draw(100) >= LossPercent) {
            m_underWay.push_back({.arrivesAt = now + Latency, .toEntry = toEntry, .to = to, .report = report});
        }
    }

    void reportFromEntry(std::size_t n)
    {
        Vm &vm = m_entries[n];
        vm.reportedAt = now;
        quarantineSuspects(vm.quarantine, now);
        if (const auto report = makeReport(vm.quarantine, now)) {
            for (std::size_t i = 0; i < serving::EntryReportFanout; ++i) {
                send(*report, n, m_subscriptions[n][draw(m_subscriptions[n].size())], false);
            }
        }
    }

    void reportFromTarget(std::size_t n)
    {
        Vm &vm = m_targets[n];
        vm.reportedAt = now;
        const auto report = makeReport(vm.quarantine, now);
        if (!report) {
            return;
        }
        std::vector<std::size_t> receivers = m_subscribers[n];
        if (!report->forAll) {
            std::shuffle(receivers.begin(), receivers.end(), m_random);
            receivers.resize(std::min(receivers.size(), serving::TargetReportFanout));
        }
        for (const std::size_t to : receivers) {
            send(*report, n, to, true);
        }
    }

    std::vector<Vm> m_entries;
    std::vector<Vm> m_targets;
    std::vector<std::vector<std::size_t>> m_subscribers; ///< Entry VMs that ask for the load of a target VM.
    std::vector<std::vector<std::size_t>> m_subscriptions; ///< Target VMs whose load an entry VM asks for.
    std::deque<Message> m_underWay;
    Random m_random{20261205};
};

/// The number of entry VMs and target VMs, and the time between two requests with the part.
struct ScaleCase
{
    std::size_t entryVms = 0;
    std::size_t targetVms = 0;
    Millis pause{0};
};

class QuarantineScaleTest : public testing::TestWithParam<ScaleCase>
{
};

TEST_P(QuarantineScaleTest, EachEntryVmKnowsACrashingPartSoonAfterTheFifthCrash)
{
    Network network(GetParam().entryVms, GetParam().targetVms);
    std::vector<Millis> crashes;
    int late = 0;
    std::uint64_t engine = 0;
    Millis nextAt = network.now;
    const Millis end = network.now + Millis{20000};
    while (network.now < end) {
        if (network.now >= nextAt) {
            nextAt += GetParam().pause;
            const std::size_t vm = network.draw(GetParam().entryVms);
            for (int n = 0; n < 2 && !findQuarantined(network.entry(vm), {Common, Bad}); ++n) {
                late += crashes.size() >= CrashesUntilKnown && network.now > crashes[CrashesUntilKnown - 1] + KnownTime
                    ? 1
                    : 0;
                crashes.push_back(network.now);
                recordCrash(network.entry(vm), {.engine = ++engine, .suspects = {Common, Bad}, .responding = true},
                            network.now);
            }
        }
        recordAnswer(network.entry(network.draw(GetParam().entryVms)), {Common}, network.now);
        network.tick();
    }
    RecordProperty("crashes", static_cast<int>(crashes.size()));
    RecordProperty("datagrams", static_cast<int>(network.datagrams));
    RecordProperty("bytes_between_domains", static_cast<int>(network.bytesBetweenDomains));
    EXPECT_LE(late, SendsAfterwards);
    EXPECT_EQ(network.knowing(Bad), GetParam().entryVms);
    EXPECT_EQ(network.quarantined(), GetParam().entryVms);
}

TEST_P(QuarantineScaleTest, EachEntryVmKnowsACrashingRequestSoonAfterTheThirdCrash)
{
    Network network(GetParam().entryVms, GetParam().targetVms);
    const serving::Suspect deadly = requestOf(1);
    std::vector<Millis> crashes;
    int late = 0;
    std::uint64_t engine = 0;
    std::uint64_t request = 1;
    Millis nextAt = network.now;
    const Millis end = network.now + Millis{20000};
    while (network.now < end) {
        if (network.now >= nextAt) {
            nextAt += GetParam().pause;
            const std::size_t vm = network.draw(GetParam().entryVms);
            for (int n = 0; n < 2 && !findQuarantined(network.entry(vm), {Common, deadly}); ++n) {
                late += crashes.size() >= CrashesUntilRequestIsKnown
                        && network.now > crashes[CrashesUntilRequestIsKnown - 1] + KnownTime
                    ? 1
                    : 0;
                crashes.push_back(network.now);
                ++engine;
                recordCrash(network.entry(vm), {.engine = engine, .suspects = {Common, deadly}, .responding = true},
                            network.now);
                recordCrash(network.entry(network.draw(GetParam().entryVms)),
                            {.engine = engine, .suspects = {Common, requestOf(++request)}}, network.now);
            }
        }
        recordAnswer(network.entry(network.draw(GetParam().entryVms)), {Common, requestOf(++request)}, network.now);
        network.tick();
    }
    RecordProperty("crashes", static_cast<int>(crashes.size()));
    RecordProperty("datagrams", static_cast<int>(network.datagrams));
    RecordProperty("bytes_between_domains", static_cast<int>(network.bytesBetweenDomains));
    EXPECT_LE(late, SendsAfterwards);
    EXPECT_EQ(network.knowing(deadly), GetParam().entryVms);
    EXPECT_EQ(network.quarantined(), GetParam().entryVms);
}

INSTANTIATE_TEST_SUITE_P(Cases, QuarantineScaleTest,
                         testing::Values(ScaleCase{8, 20, Millis{50}}, ScaleCase{8, 20, Millis{1000}},
                                         ScaleCase{38, 58, Millis{100}}, ScaleCase{149, 156, Millis{20}},
                                         ScaleCase{149, 156, Millis{300}}, ScaleCase{149, 156, Millis{2000}}));

// A seventh of the engines crash at once, with requests of many subjects that wait for their first event.
TEST(QuarantineTrafficTest, ReportsOfOrdinaryCrashesLeaveTheLinksBetweenDomainsFree)
{
    constexpr std::size_t EntryVms = 149;
    constexpr std::size_t TargetVms = 156;
    constexpr int CrashedEngines = 23;
    constexpr int WaitingRequests = 3;
    constexpr std::size_t Subjects = 400;
    // A tenth of what the links between five regions of 30 Mbit/s carry in the two seconds, one way each.
    constexpr std::size_t MaxBytes = std::size_t{20} * 30'000'000 / 8 * 2 / 10;
    Network network(EntryVms, TargetVms);
    for (std::size_t n = 0; n < EntryVms; ++n) {
        recordAnswer(network.entry(n), {Common}, network.now);
    }
    std::uint64_t request = 0;
    for (std::uint64_t engine = 1; engine <= CrashedEngines; ++engine) {
        for (int n = 0; n < WaitingRequests; ++n) {
            const std::uint64_t subject = 100 + network.draw(Subjects);
            recordCrash(network.entry(network.draw(EntryVms)),
                        {.engine = engine, .suspects = {Common, subject, requestOf(++request)}, .responding = n == 0},
                        network.now);
        }
    }
    const Millis end = network.now + Millis{2000};
    while (network.now < end) {
        network.tick();
    }
    RecordProperty("datagrams", static_cast<int>(network.datagrams));
    RecordProperty("bytes_between_domains", static_cast<int>(network.bytesBetweenDomains));
    EXPECT_LE(network.bytesBetweenDomains, MaxBytes);
    EXPECT_EQ(network.quarantined(), 0U);
}

} // namespace

} // namespace ibislock
