#include "ibislock/configuration/ticket.h"

#include "json.h"

#include <algorithm>

namespace ibislock::configuration
{

Result<Ticket> ticketFromJson(std::string_view text)
{
    if (text.size() > TicketBytesMax) {
        return failure(ErrorCode::InvalidArgument, "a ticket has at most 1 MiB");
    }
    return parseJson(text).and_then(ticketFrom);
}

std::string ticketToJson(const Ticket &ticket)
{
    Ticket ordered = ticket;
    std::sort(ordered.changes.begin(), ordered.changes.end(),
              [](const ScopeChange &a, const ScopeChange &b) { return a.scope < b.scope; });
    return toJson(ordered).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Digest contentDigest(const Ticket &ticket)
{
    return sha256(ticketToJson(ticket));
}

} // namespace ibislock::configuration
