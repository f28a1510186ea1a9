#include "routing_table.h"

#include <algorithm>

namespace ibislock::entry
{

namespace
{

/// How long a table counts; reports come less often.
constexpr Millis TableLifetime{100};

/// Tells whether a version is intended for a scope: the current one, or the one that the rollout replaces.
bool isIntended(const configuration::ScopeState &scope, const membership::Report &report)
{
    if (report.ticket == scope.ticket && report.serving == scope.current.manifest) {
        return true;
    }
    return scope.previous && report.ticket == scope.previousTicket && report.serving == scope.previous->manifest;
}

std::vector<std::string> vmsOf(const configuration::ScopeState &scope)
{
    std::vector<std::string> vms = scope.current.vms;
    if (scope.previous) {
        vms.insert(vms.end(), scope.previous->vms.begin(), scope.previous->vms.end());
        std::sort(vms.begin(), vms.end());
        vms.erase(std::unique(vms.begin(), vms.end()), vms.end());
    }
    return vms;
}

} // namespace

RoutingTable buildTable(const configuration::ScopeState &scope, const membership::View &view,
                        const node::NodeOptions &options, TargetLoads &loads, Millis now)
{
    RoutingTable table{.builtAt = now};
    for (const std::string &vm : vmsOf(scope)) {
        const membership::Member *member = membership::find(view, vm);
        if (member == nullptr || !membership::isUsable(*member, options.view, now) || member->report.phase != "serving"
            || !isIntended(scope, member->report)) {
            continue;
        }
        const membership::Report &report = member->report;
        RoutedTarget target{.vm = vm,
                            .address = report.address,
                            .incarnation = report.incarnation,
                            .manifest = report.serving,
                            .sameDomain = report.domain == options.domain,
                            .holdsBack = report.queued > 0,
                            .load = loads.of(vm)};
        noteReport(*target.load, report.sequence, report.running);
        table.targets.push_back(std::move(target));
    }
    return table;
}

RoutingTables::RoutingTables(const node::Node &node, TargetLoads &loads)
    : m_node(node)
    , m_loads(loads)
{
}

std::shared_ptr<const RoutingTable> RoutingTables::of(const std::string &workspace, const std::string &role, Millis now)
{
    const std::lock_guard lock(m_mutex);
    auto state = m_node.state();
    if (state != m_state) {
        m_tables.clear();
        m_state = std::move(state);
    }
    const auto *scope = configuration::findScope(*m_state, workspace, role);
    if (scope == nullptr) {
        return nullptr;
    }
    auto &table = m_tables[scope];
    if (!table || now - table->builtAt >= TableLifetime) {
        table = std::make_shared<const RoutingTable>(m_node.withView(
            [&](const membership::View &view) { return buildTable(*scope, view, m_node.options(), m_loads, now); }));
    }
    return table;
}

} // namespace ibislock::entry
