// Change tickets, which operators file in order to change the configuration.
//
// A ticket has a number and contains the complete new state of each scope that it changes. A scope is a workspace and a
// role; its assignment names the model version, the manifest digest, the adapters and the VMs that serve it.
//
//     Result<Ticket> ticket = ticketFromJson(text);
//     Digest content = contentDigest(*ticket);

#pragma once

#include "ibislock/base/digest.h"
#include "ibislock/base/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ibislock::configuration
{

/// A wildcard for all workspaces that have no assignment of their own.
inline constexpr std::string_view AnyWorkspace = "*";

/// The maximum size of a ticket document, in bytes.
inline constexpr std::size_t TicketBytesMax = 1 << 20;

/// The scope of an assignment: a workspace and a role.
struct ScopeKey
{
    std::string workspace;
    std::string role;

    auto operator<=>(const ScopeKey &) const = default;
};

/// The complete state of one scope.
struct Assignment
{
    std::string model;
    std::string version;
    Digest manifest; ///< None for a plain service, which loads no weights.
    std::vector<std::string> adapters;
    std::vector<std::string> vms;

    bool operator==(const Assignment &) const = default;
};

/// A scope and its new state.
struct ScopeChange
{
    ScopeKey scope;
    Assignment assignment;

    bool operator==(const ScopeChange &) const = default;
};

/// A numbered change.
struct Ticket
{
    std::uint64_t number = 0;
    std::vector<ScopeChange> changes;

    bool operator==(const Ticket &) const = default;
};

/// Parses a ticket from its JSON document, and checks its form.
/// @param text the document.
/// @return the ticket, or InvalidArgument with the field that is invalid.
Result<Ticket> ticketFromJson(std::string_view text);

/// Formats a ticket as its canonical JSON document; equal contents result in equal documents.
std::string ticketToJson(const Ticket &ticket);

/// Computes the digest of a ticket's content; two documents with the same content have the same digest.
Digest contentDigest(const Ticket &ticket);

} // namespace ibislock::configuration
