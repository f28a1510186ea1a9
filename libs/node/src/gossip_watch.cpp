// How a delegate judges the VMs that it watches.

#include "gossip.h"

#include <algorithm>

namespace ibislock::node
{

namespace
{

using membership::Member;

constexpr std::size_t JudgedAtOnce = 8;

/// Stands for the second delegate where a VM has only one.
constexpr const char *OnlyDelegate = "(only delegate)";

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

void Gossip::watch()
{
    if (!isEntry()) {
        return;
    }
    const Millis now = steadyMillis();
    for (const std::string &vm : overdueVms(now)) {
        judge(vm);
    }
    const std::lock_guard lock(m_mutex);
    noteCoverage(now);
}

/// Lists the VMs that this VM is a delegate of and has not heard from for too long.
std::vector<std::string> Gossip::overdueVms(Millis now)
{
    const std::lock_guard lock(m_mutex);
    const auto entries = membership::availableEntryVms(m_view, m_options.domain, m_options.view, now);
    std::vector<std::string> overdue;
    for (const auto &[name, member] : m_view.members) {
        // A VM that is only listed may not know this one yet, and is asked at once.
        const bool isUnknown = !member.hasReport;
        if (name == m_options.vm || (isUnknown && member.isRemote)) {
            continue;
        }
        if (!isDelegateOf(name, member, entries, now)) {
            m_watchedSince.erase(name);
            continue;
        }
        const Millis since = m_watchedSince.emplace(name, now).first->second;
        const Millis last = member.hasHeard ? std::max(since, member.heardAt) : since;
        const bool isMarked = member.suspectedAt != Millis(0) && now - member.suspectedAt < m_options.suspectAfter;
        if ((isUnknown || now - last > m_options.suspectAfter) && !isMarked && overdue.size() < JudgedAtOnce) {
            overdue.push_back(name);
        }
    }
    std::erase_if(m_peers, [this](const auto &entry) { return !m_view.members.contains(entry.first); });
    std::erase_if(m_watchedSince, [this](const auto &entry) { return !m_view.members.contains(entry.first); });
    return overdue;
}

/// Tells whether this VM is a delegate of another. The caller holds the lock.
/// @param entries the entry VMs of the own domain.
bool Gossip::isDelegateOf(const std::string &vm, const Member &member, const std::vector<std::string> &entries,
                          Millis now) const
{
    if (!member.isRemote && entries.size() > m_options.delegates) {
        return membership::rendezvousRank(vm, entries, m_options.vm) < m_options.delegates;
    }
    // Domains with few entry VMs need those of other domains.
    if (member.isRemote
        && membership::availableEntryVms(m_view, member.report.domain, m_options.view, now).size()
            > m_options.delegates) {
        return false;
    }
    return contains(membership::delegatesOf(m_view, vm, m_options.delegates, m_options.view, now), m_options.vm);
}

/// Asks a VM by a way of this process's own, and says so when it does not answer.
void Gossip::judge(const std::string &vm)
{
    if (exchangeWith(vm)) {
        return;
    }
    const Millis now = steadyMillis();
    const std::lock_guard lock(m_mutex);
    const auto delegates = membership::delegatesOf(m_view, vm, m_options.delegates, m_options.view, now);
    std::set<std::string> silentFor{m_options.vm};
    if (delegates.size() < membership::SuspicionQuorum) {
        silentFor.insert(OnlyDelegate);
    }
    membership::markSuspected(m_view, vm, silentFor, now);
}

/// Works out the newest ticket that this VM and all that it is the first delegate of have. The caller holds the lock.
void Gossip::noteCoverage(Millis now)
{
    const auto entries = membership::availableEntryVms(m_view, m_options.domain, m_options.view, now);
    std::uint64_t covered = m_holder.state()->lastTicket;
    for (const auto &[name, since] : m_watchedSince) {
        const Member *member = membership::find(m_view, name);
        if (member == nullptr || member->isRemote || !membership::isUsable(*member, m_options.view, now)) {
            continue;
        }
        if (membership::rendezvousRank(name, entries, m_options.vm) == 0) {
            covered = std::min(covered, member->heardTicket);
        }
    }
    m_own.coveredTicket = std::max(m_own.coveredTicket, covered);
}

} // namespace ibislock::node
