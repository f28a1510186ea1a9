#include "state_holder.h"

namespace ibislock::node
{

namespace
{

using configuration::FoldOutcome;
using configuration::Offset;

constexpr std::size_t TailRecordsMax = 256;
constexpr std::size_t TailBytesMax = 1 << 20;

void count(Counters &counters, FoldOutcome outcome)
{
    counters.add(Counter::LogRecordsRead);
    switch (outcome) {
    case FoldOutcome::Accepted:
        counters.add(Counter::TicketsAccepted);
        break;
    case FoldOutcome::Refused:
        counters.add(Counter::TicketsRefused);
        break;
    case FoldOutcome::Adopted:
        counters.add(Counter::SnapshotsAdopted);
        break;
    case FoldOutcome::Skipped:
        counters.add(Counter::LogRecordsSkipped);
        break;
    default:
        break;
    }
}

} // namespace

StateHolder::StateHolder(Counters &counters)
    : m_counters(counters)
    , m_state(std::make_shared<const configuration::State>())
{
    m_snapshots.snapshotSeenAt = steadyMillis();
}

StatePointer StateHolder::state() const
{
    const std::lock_guard lock(m_mutex);
    return m_state;
}

bool StateHolder::waitForOffset(Offset offset, Millis timeout) const
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, timeout, [&] { return m_state->next > offset || m_woken; });
    return m_state->next > offset;
}

void StateHolder::waitForChange(const StatePointer &known, Millis timeout) const
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, timeout, [&] { return m_state != known || m_woken; });
}

void StateHolder::wake()
{
    const std::lock_guard lock(m_mutex);
    m_woken = true;
    m_changed.notify_all();
}

FoldSummary StateHolder::foldRecords(std::span<const stores::LogRecord> records)
{
    FoldSummary summary;
    const std::lock_guard folding(m_foldMutex);
    configuration::State state = *this->state();
    std::vector<stores::LogRecord> folded;
    for (const stores::LogRecord &record : records) {
        if (record.offset < state.next) {
            continue;
        }
        const FoldOutcome outcome = configuration::fold(state, record.offset, record.data);
        count(m_counters, outcome);
        summary.hasGap = outcome == FoldOutcome::Gap;
        if (outcome == FoldOutcome::Adopted) {
            summary.hasAdopted = true;
            break;
        }
        if (outcome != FoldOutcome::Gap) {
            folded.push_back(record);
        }
    }
    commit(std::move(state), folded, summary.hasAdopted);
    return summary;
}

/// Puts a state in place together with the records that led to it, so that no reader sees one without the other.
void StateHolder::commit(configuration::State state, std::span<const stores::LogRecord> folded, bool afterGap)
{
    const std::lock_guard lock(m_mutex);
    for (const stores::LogRecord &record : folded) {
        keep(record);
    }
    if (afterGap) {
        m_tail.clear();
        m_tailBytes = 0;
        configuration::recordSnapshot(m_snapshots, state.next, steadyMillis());
    }
    replace(std::move(state));
}

/// Adds a record to the tail. The caller holds the lock.
void StateHolder::keep(const stores::LogRecord &record)
{
    const auto decoded = configuration::decodeRecord(record.data);
    if (const auto *snapshot = decoded ? std::get_if<configuration::SnapshotRecord>(&*decoded) : nullptr) {
        configuration::recordSnapshot(m_snapshots, snapshot->next, steadyMillis());
    }
    m_tail.push_back(record);
    m_tailBytes += record.data.size();
    while (m_tail.size() > TailRecordsMax || m_tailBytes > TailBytesMax) {
        m_tailBytes -= m_tail.front().data.size();
        m_tail.pop_front();
    }
}

bool StateHolder::adoptState(configuration::State adopted)
{
    const std::lock_guard folding(m_foldMutex);
    if (adopted.next <= state()->next) {
        return false;
    }
    const std::lock_guard lock(m_mutex);
    m_tail.clear();
    m_tailBytes = 0;
    m_counters.add(Counter::StatesAdopted);
    replace(std::move(adopted));
    return true;
}

/// Puts a state in place. The caller holds the lock.
void StateHolder::replace(configuration::State folded)
{
    if (folded.next <= m_state->next) {
        return;
    }
    m_counters.set(Counter::LogOffset, folded.next);
    m_state = std::make_shared<const configuration::State>(std::move(folded));
    m_changed.notify_all();
}

rpc::StateDelta StateHolder::deltaAfter(Offset after) const
{
    std::unique_lock lock(m_mutex);
    rpc::StateDelta delta;
    if (m_state->next <= after) {
        return delta;
    }
    if (!m_tail.empty() && m_tail.front().offset <= after) {
        delta.first = after;
        for (const stores::LogRecord &record : m_tail) {
            if (record.offset >= after) {
                delta.records.push_back(record.data);
            }
        }
        return delta;
    }
    const StatePointer known = m_state;
    lock.unlock();
    delta.state = configuration::encodeState(*known);
    return delta;
}

void StateHolder::notePage(Offset first, Offset next)
{
    const std::lock_guard lock(m_mutex);
    configuration::recordLogRange(m_snapshots, first, next);
}

} // namespace ibislock::node
