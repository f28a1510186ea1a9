// The targets that may answer for a scope, worked out from the configuration and the view now and then, not for each
// request.
//
//     std::shared_ptr<const RoutingTable> table = tables.of("dala", "forecast", now);

#pragma once

#include "target_loads.h"

#include "ibislock/node/node.h"

#include <unordered_map>

namespace ibislock::entry
{

/// A target that serves an intended version.
struct RoutedTarget
{
    std::string vm;
    std::string address;
    std::uint64_t incarnation = 0;
    Digest manifest;
    bool sameDomain = false;
    bool holdsBack = false; ///< Its last report had requests waiting.
    std::shared_ptr<TargetLoad> load;
};

/// The targets of one scope.
struct RoutingTable
{
    std::vector<RoutedTarget> targets;
    Millis builtAt{0};
};

/// Builds the table of a scope.
RoutingTable buildTable(const configuration::ScopeState &scope, const membership::View &view,
                        const node::NodeOptions &options, TargetLoads &loads, Millis now);

/// Keeps the tables of all scopes. Safe from several threads.
class RoutingTables
{
public:
    RoutingTables(const node::Node &node, TargetLoads &loads);

    /// Gives the table for a workspace's role; null when the configuration has no such scope.
    std::shared_ptr<const RoutingTable> of(const std::string &workspace, const std::string &role, Millis now);

private:
    const node::Node &m_node;
    TargetLoads &m_loads;
    std::mutex m_mutex;
    node::StatePointer m_state;
    std::unordered_map<const configuration::ScopeState *, std::shared_ptr<const RoutingTable>> m_tables;
};

} // namespace ibislock::entry
