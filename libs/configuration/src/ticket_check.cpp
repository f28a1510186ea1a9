#include "ibislock/configuration/ticket_check.h"

#include <algorithm>

namespace ibislock::configuration
{

namespace
{

constexpr std::size_t NameBytesMax = 128;

std::string scopeNameOf(const ScopeKey &scope)
{
    return scope.workspace + "/" + scope.role;
}

bool isAlphanumeric(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

class Checker
{
public:
    Checker(const Ticket &ticket, const State &state, const TicketCheckContext &facts)
        : m_ticket(ticket)
        , m_state(state)
        , m_facts(facts)
    {
    }

    std::vector<Refusal> run()
    {
        checkNumber();
        for (const ScopeChange &change : m_ticket.changes) {
            checkNames(change);
            checkVms(change);
            checkVersion(change);
        }
        checkSharedVms();
        return std::move(m_refusals);
    }

private:
    void refuse(RefusalKind kind, std::string message)
    {
        m_refusals.push_back({.kind = kind, .message = std::move(message)});
    }

    void checkNumber()
    {
        const Digest content = contentDigest(m_ticket);
        const TicketStatus standing = ticketStatusOf(m_state, m_ticket.number, content);
        const std::string reason = refusalReason(m_state, m_ticket.number, content);
        if (standing == TicketStatus::TooHigh) {
            refuse(RefusalKind::NumberOutOfOrder, reason);
        } else if (standing == TicketStatus::Taken || standing == TicketStatus::TakenContentUnknown) {
            refuse(RefusalKind::NumberTaken, reason);
        }
    }

    void checkName(const std::string &name, const char *what)
    {
        if (!isSafeName(name)) {
            refuse(RefusalKind::BadName,
                   std::string(what) + " \"" + name + "\" may have letters, digits, dots, dashes and underscores only");
        }
    }

    void checkNames(const ScopeChange &change)
    {
        if (change.scope.workspace != AnyWorkspace) {
            checkName(change.scope.workspace, "workspace");
        }
        checkName(change.scope.role, "role");
        checkName(change.assignment.model, "model");
        checkName(change.assignment.version, "version");
        for (const std::string &adapter : change.assignment.adapters) {
            checkName(adapter, "adapter");
        }
        for (const std::string &vm : change.assignment.vms) {
            checkName(vm, "VM");
        }
    }

    void checkVms(const ScopeChange &change)
    {
        if (change.assignment.vms.empty()) {
            refuse(RefusalKind::NoTarget, "scope " + scopeNameOf(change.scope) + " is left with no target");
        }
        std::set<std::string> seen;
        for (const std::string &vm : change.assignment.vms) {
            if (!seen.insert(vm).second) {
                refuse(RefusalKind::RepeatedVm, "VM " + vm + " is named twice for scope " + scopeNameOf(change.scope));
            }
            if (m_facts.targets && !m_facts.targets->contains(vm)) {
                refuse(RefusalKind::UnknownVm, "there is no target VM " + vm);
            }
        }
    }

    void checkVersion(const ScopeChange &change)
    {
        const Assignment &assignment = change.assignment;
        if (!m_facts.lookUpVersion || assignment.manifest.isNone()) {
            return;
        }
        const VersionLookup facts = m_facts.lookUpVersion(assignment.model, assignment.version);
        const std::string name = assignment.model + " " + assignment.version;
        if (!facts.isKnown) {
            refuse(RefusalKind::UnknownVersion, "the weight store has no version " + name);
        } else if (!facts.manifest.isNone() && facts.manifest != assignment.manifest) {
            refuse(RefusalKind::ManifestDiffers,
                   "the weight store has version " + name + " with manifest " + toHex(facts.manifest));
        }
    }

    /// Checks that every VM serves one scope only, over the ticket and the scopes that the ticket doesn't change.
    void checkSharedVms()
    {
        std::map<std::string, std::string> scopeOfVm;
        std::set<ScopeKey> changed;
        for (const ScopeChange &change : m_ticket.changes) {
            changed.insert(change.scope);
            checkSharedBy(change.assignment.vms, scopeNameOf(change.scope), scopeOfVm);
        }
        for (const auto &[key, scope] : m_state.scopes) {
            if (!changed.contains(key)) {
                checkSharedBy(scope.current.vms, scopeNameOf(key), scopeOfVm);
            }
        }
    }

    void checkSharedBy(const std::vector<std::string> &vms, const std::string &scope,
                       std::map<std::string, std::string> &scopeOfVm)
    {
        for (const std::string &vm : vms) {
            const auto [it, isNew] = scopeOfVm.emplace(vm, scope);
            if (!isNew && it->second != scope) {
                refuse(RefusalKind::VmClaimedTwice, "VM " + vm + " is claimed by " + it->second + " and by " + scope);
            }
        }
    }

    const Ticket &m_ticket;
    const State &m_state;
    const TicketCheckContext &m_facts;
    std::vector<Refusal> m_refusals;
};

} // namespace

std::vector<Refusal> checkTicket(const Ticket &ticket, const State &state, const TicketCheckContext &facts)
{
    return Checker(ticket, state, facts).run();
}

bool isSafeName(std::string_view name)
{
    return !name.empty() && name.size() <= NameBytesMax && isAlphanumeric(name.front())
        && std::all_of(name.begin(), name.end(),
                       [](char c) { return isAlphanumeric(c) || c == '.' || c == '-' || c == '_'; });
}

} // namespace ibislock::configuration
