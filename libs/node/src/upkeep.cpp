#include "upkeep.h"

#include <algorithm>

namespace ibislock::node
{

namespace
{

constexpr Millis NotePause{1000};
constexpr Millis RankLifetime{2000};

bool isNoted(const configuration::State &state, const std::string &domain)
{
    const auto *entry = configuration::findAccepted(state, state.lastTicket);
    return entry == nullptr
        || std::any_of(entry->inEffect.begin(), entry->inEffect.end(),
                       [&](const configuration::InEffect &it) { return it.domain == domain; });
}

} // namespace

Upkeep::Upkeep(const NodeOptions &options, Counters &counters, StateHolder &holder, LogFollower &follower,
               Gossip &gossip, Append append)
    : m_options(options)
    , m_counters(counters)
    , m_holder(holder)
    , m_follower(follower)
    , m_gossip(gossip)
    , m_append(std::move(append))
{
}

std::size_t Upkeep::rankOf(configuration::Offset covered)
{
    const Millis now = steadyMillis();
    if (m_rankCovered == covered && now - m_rankedAt < RankLifetime) {
        return m_rank;
    }
    m_rank = m_gossip.withView([&](const membership::View &view) {
        const auto names = membership::availableEntryVms(view, {}, m_options.view, now);
        return configuration::snapshotRank(m_options.vm, names, covered);
    });
    m_rankCovered = covered;
    m_rankedAt = now;
    return m_rank;
}

void Upkeep::appendSnapshot()
{
    if (!m_follower.isReachable() || m_follower.hasGap()) {
        return;
    }
    const auto now = steadyMillis();
    const auto snapshotEnd = m_holder.withSnapshots([](const auto &watch) { return watch.snapshotEnd; });
    const std::size_t rank = rankOf(snapshotEnd);
    const bool isDue = m_holder.withSnapshots([&](configuration::SnapshotTracker &watch) {
        return configuration::isSnapshotDue(watch, m_options.snapshots, now, rank);
    });
    if (!isDue) {
        return;
    }
    const auto state = m_holder.state();
    const auto appended =
        m_append(configuration::SnapshotRecord{.state = configuration::encodeState(*state), .next = state->next});
    if (appended) {
        m_counters.add(Counter::SnapshotsAppended);
    }
}

void Upkeep::noteInForce()
{
    const Millis now = steadyMillis();
    const auto state = m_holder.state();
    if (!m_follower.isReachable() || now - m_notedAt < NotePause || isNoted(*state, m_options.domain)) {
        return;
    }
    std::uint64_t covered = state->lastTicket;
    const bool isFirst = m_gossip.withView([&](const membership::View &view) {
        const auto entries = membership::availableEntryVms(view, m_options.domain, m_options.view, now);
        for (const std::string &name : entries) {
            const auto *member = membership::find(view, name);
            covered = std::min(covered, member->report.coveredTicket);
        }
        const auto order = membership::rendezvousOrder(m_options.domain, entries);
        return !order.empty() && order.front() == m_options.vm;
    });
    if (!isFirst || covered == 0) {
        return;
    }
    const auto *entry = configuration::findAccepted(*state, covered);
    const bool known = entry == nullptr
        || std::any_of(entry->inEffect.begin(), entry->inEffect.end(),
                       [&](const configuration::InEffect &it) { return it.domain == m_options.domain; });
    if (known) {
        return;
    }
    m_notedAt = now;
    m_append(configuration::InEffectRecord{
        .domain = m_options.domain, .number = covered, .atMs = static_cast<std::uint64_t>(wallMillis().count())});
}

} // namespace ibislock::node
