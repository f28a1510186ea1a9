// The part of the follower that decides when this VM reads the store, and which VMs it asks before.

#include "ibislock/feed/operators_follower.h"
#include "ibislock/feed/source_order.h"

#include <algorithm>

namespace ibislock::feed
{

namespace
{

// Fractions of the time within which a desired state must take effect.

/// After which time a VM other than the first may read the store although others respond, and how much later the next
/// one. A state of 500 KB takes 0.14 s over a link of 32 Mbit/s, so that reads of turns of 0.45 s leave most of the
/// link free.
constexpr double FirstTurnFraction = 0.3;
constexpr double TurnIntervalFraction = 0.15;

/// The time after which a target VM may do so, which no other VM asks for records.
constexpr double FirstTargetTurnFraction = 2.0;

/// How many of the VMs that had their turns last are asked.
constexpr std::size_t RecentTurns = 3;

/// After which time without a message of another VM one is on its own.
constexpr double ContactFraction = 0.8;

/// How long a VM that starts waits, once it knows other VMs, for those that start together with it: until it takes
/// itself for the root of their tree.
constexpr double RootDelayFraction = 0.05;

} // namespace

StoreTurns OperatorsFollower::turns() const
{
    std::vector<std::string> vms = m_entryVms;
    if (m_options.isEntryVm && std::find(vms.begin(), vms.end(), m_options.ip) == vms.end()) {
        vms.push_back(m_options.ip);
    }
    return storeTurns(vms, fractionOfStateTime(FirstTurnFraction), fractionOfStateTime(TurnIntervalFraction));
}

Millis OperatorsFollower::timeWithoutRecords() const
{
    return m_feed.synchronized() ? m_feed.lagTime() : steadyMillis() - m_entryVmsKnownAt;
}

bool OperatorsFollower::mayReadSnapshot() const
{
    const Millis rootDelay = m_options.startsWithOthers ? fractionOfStateTime(RootDelayFraction) : Millis{0};
    const Millis alone = m_passive ? m_timeAlone : rootDelay;
    if (m_entryVmsKnownAt == Millis{0}) {
        return m_noRelaySince > Millis{0} && steadyMillis() - m_noRelaySince >= alone;
    }
    const Millis waited = timeWithoutRecords();
    if (!m_options.isEntryVm) {
        if (!m_passive) {
            return waited >= fractionOfStateTime(FirstTurnFraction); // Others rely on this VM.
        }
        const bool nobodyResponds = m_isAlone && !m_requesting;
        return waited >= m_timeAlone + (nobodyResponds ? Millis{0} : fractionOfStateTime(FirstTargetTurnFraction));
    }
    if (sourcesInTree(m_options.ip, m_entryVms).empty()) {
        // If a VM is known to have a snapshot, others are asked first.
        return waited >= rootDelay && (!m_reported.end.isKnown() || m_roundCompleted);
    }
    return hasStoreTurn(turns(), m_options.ip, waited);
}

bool OperatorsFollower::mayReadRecords() const
{
    if (!m_feed.synchronized()) {
        return mayReadSnapshot();
    }
    if (m_options.isEntryVm && sourcesInTree(m_options.ip, m_entryVms).empty()) {
        return true; // The root of the tree.
    }
    if (!m_feed.isBehind()) {
        return steadyMillis() - m_heardAt >= fractionOfStateTime(ContactFraction);
    }
    if (m_isAlone) {
        return true;
    }
    if (m_options.isEntryVm) {
        return hasStoreTurn(turns(), m_options.ip, m_feed.lagTime());
    }
    StoreTurns targetTurns = turns();
    targetTurns.order.push_back(m_options.ip); // Its turn follows those of the entry VMs.
    targetTurns.first = fractionOfStateTime(FirstTargetTurnFraction);
    return m_feed.lagTime() >= targetTurns.first && hasStoreTurn(targetTurns, m_options.ip, m_feed.lagTime());
}

std::vector<std::string> OperatorsFollower::sourcesInOrder() const
{
    const bool starts = !m_feed.synchronized();
    if (!m_passive && !m_storeUnreachable && !starts) {
        return {}; // Others rely on this VM to read the store.
    }
    // If a VM is known to have what a VM lacks at its start, all entry VMs are likely to have it.
    const bool inTree = m_options.isEntryVm && !m_storeUnreachable && !(starts && m_reported.end.isKnown());
    std::vector<std::string> out =
        inTree ? sourcesInTree(m_options.ip, m_entryVms) : sourcesOutsideTree(m_options.ip, m_entryVms);
    if (m_roundCompleted) {
        // What is missing is at a VM that has read the store beside the root of the tree, if at any.
        for (const std::string &vm : recentStoreTurns(turns(), timeWithoutRecords(), RecentTurns)) {
            if (vm != m_options.ip && std::find(out.begin(), out.end(), vm) == out.end()) {
                out.push_back(vm);
            }
        }
    }
    return out;
}

std::vector<std::string> OperatorsFollower::sources() const
{
    std::vector<std::string> out = sourcesInOrder();
    std::erase_if(out, [this, now = steadyMillis()](const std::string &vm) {
        const auto it = m_avoidedUntil.find(vm);
        return it != m_avoidedUntil.end() && now < it->second;
    });
    return out;
}

} // namespace ibislock::feed
