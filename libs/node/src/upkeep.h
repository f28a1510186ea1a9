// What entry VMs do for the log: they append snapshots before the records trim away, and note when their failure domain
// has a ticket in force.

#pragma once

#include "gossip.h"

namespace ibislock::node
{

/// Appends a record to the log.
using Append = std::function<Result<configuration::Offset>(const configuration::Record &)>;

/// Decides and appends. Its jobs are run by the node's scheduler.
class Upkeep
{
public:
    Upkeep(const NodeOptions &options, Counters &counters, StateHolder &holder, LogFollower &follower, Gossip &gossip,
           Append append);

    /// Appends a snapshot when one is due and this VM's turn has come.
    void appendSnapshot();

    /// Appends a note when all VMs of the own domain have a ticket in force.
    void noteInForce();

private:
    std::size_t rankOf(configuration::Offset covered);

    const NodeOptions &m_options;
    Counters &m_counters;
    StateHolder &m_holder;
    LogFollower &m_follower;
    Gossip &m_gossip;
    Append m_append;
    Millis m_notedAt{0};
    std::size_t m_rank = 0;
    std::optional<configuration::Offset> m_rankCovered; ///< The snapshot that the rank belongs to.
    Millis m_rankedAt{0};
};

} // namespace ibislock::node
