// The folded configuration of a process, and the newest records that led to it, for neighbours that are a little
// behind.

#pragma once

#include "ibislock/base/counters.h"
#include "ibislock/configuration/snapshot_policy.h"
#include "ibislock/configuration/state.h"
#include "ibislock/node/node.h"
#include "ibislock/stores/log_client.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <span>

namespace ibislock::node
{

/// What folding a run of records led to.
struct FoldSummary
{
    bool hasGap = false; ///< Records before the run are missing, and no snapshot of the run closed the gap.
    bool hasAdopted = false; ///< A snapshot was taken over; reading goes on from the state's offset.
};

/// Holds the state. All operations are safe from any thread.
class StateHolder
{
public:
    explicit StateHolder(Counters &counters);

    /// Gives the state.
    StatePointer state() const;

    /// Waits until the state reaches beyond an offset.
    bool waitForOffset(configuration::Offset offset, Millis timeout) const;

    /// Waits until the state differs from a known one, or `wake` is called.
    void waitForChange(const StatePointer &known, Millis timeout) const;

    /// Ends all waits from now on.
    void wake();

    /// Folds records, from the log or from a neighbour.
    FoldSummary foldRecords(std::span<const stores::LogRecord> records);

    /// Takes over a neighbour's state when it is further on.
    bool adoptState(configuration::State state);

    /// Gives what a neighbour that is behind lacks.
    rpc::StateDelta deltaAfter(configuration::Offset after) const;

    /// Notes how far the log reaches, as a read of it told.
    void notePage(configuration::Offset first, configuration::Offset next);

    /// Runs a function on the watch over the snapshots.
    template <typename Function>
    auto withSnapshots(Function &&function)
    {
        const std::lock_guard lock(m_mutex);
        return function(m_snapshots);
    }

private:
    void keep(const stores::LogRecord &record);
    void replace(configuration::State state);
    void commit(configuration::State state, std::span<const stores::LogRecord> folded, bool afterGap);

    Counters &m_counters;
    std::mutex m_foldMutex; ///< Held by whoever folds; the state itself stays readable.
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    StatePointer m_state;
    std::deque<stores::LogRecord> m_tail; ///< The records just before the state's offset.
    std::size_t m_tailBytes = 0;
    configuration::SnapshotTracker m_snapshots;
    bool m_woken = false;
};

} // namespace ibislock::node
