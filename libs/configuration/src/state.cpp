#include "ibislock/configuration/state.h"

#include <algorithm>

namespace ibislock::configuration
{

bool adoptIfNewer(State &state, const State &other)
{
    if (other.next <= state.next) {
        return false;
    }
    state = other;
    return true;
}

const AuditEntry *findAccepted(const State &state, std::uint64_t number)
{
    const auto it = std::find_if(state.audit.rbegin(), state.audit.rend(), [number](const AuditEntry &entry) {
        return entry.accepted && entry.number == number;
    });
    return it == state.audit.rend() ? nullptr : &*it;
}

std::optional<Digest> acceptedContent(const State &state, std::uint64_t number)
{
    if (number > state.lastTicket || state.lastTicket - number >= state.contents.size()) {
        return std::nullopt;
    }
    return state.contents[state.contents.size() - 1 - (state.lastTicket - number)];
}

TicketStatus ticketStatusOf(const State &state, std::uint64_t number, const Digest &content)
{
    if (number > state.lastTicket) {
        return number == state.lastTicket + 1 ? TicketStatus::Next : TicketStatus::TooHigh;
    }
    const auto accepted = acceptedContent(state, number);
    if (!accepted) {
        return TicketStatus::TakenContentUnknown;
    }
    return *accepted == content ? TicketStatus::Accepted : TicketStatus::Taken;
}

std::string refusalReason(const State &state, std::uint64_t number, const Digest &content)
{
    switch (ticketStatusOf(state, number, content)) {
    case TicketStatus::Accepted:
    case TicketStatus::Next:
        return {};
    case TicketStatus::TooHigh:
        return "the next number is " + std::to_string(state.lastTicket + 1);
    case TicketStatus::TakenContentUnknown:
        return "the number was taken by an earlier ticket; the next number is " + std::to_string(state.lastTicket + 1);
    case TicketStatus::Taken:
        break;
    }
    const AuditEntry *winner = findAccepted(state, number);
    const std::string winnerName = winner == nullptr ? "an earlier ticket" : winner->filedBy;
    return "the number was taken by " + winnerName + " with content " + toHex(*acceptedContent(state, number));
}

const ScopeState *findScope(const State &state, std::string_view workspace, std::string_view role)
{
    for (const std::string_view candidate : {workspace, AnyWorkspace}) {
        const auto it = state.scopes.find({std::string(candidate), std::string(role)});
        if (it != state.scopes.end()) {
            return &it->second;
        }
    }
    return nullptr;
}

std::optional<VmAssignment> assignmentOf(const State &state, std::string_view vm)
{
    for (const auto &[key, scope] : state.scopes) {
        const auto &vms = scope.current.vms;
        if (std::find(vms.begin(), vms.end(), vm) != vms.end()) {
            return VmAssignment{.scope = key, .ticket = scope.ticket, .assignment = scope.current};
        }
    }
    return std::nullopt;
}

} // namespace ibislock::configuration
