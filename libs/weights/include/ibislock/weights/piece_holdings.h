// Which pieces of a version other VMs hold. Behind a restart of all VMs each has another part of a version staged, and
// only itself knows which; they tell each other, so that pieces are fetched from VMs that hold them, and only what no
// VM holds is requested from the origin.
//
//     recordHoldings(holdings, "10.0.0.2", decodeHeld(message.held, pieces));
//     std::vector<std::string> vms = holdersOf(holdings, 5, {.self = "10.0.0.1", .domain = "a", .domains = domains});

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ibislock::weights
{

/// Largest number of VMs that are tried for a piece.
inline constexpr std::size_t MaxHolders = 3;

/// What the VMs that were heard of hold.
struct PieceHoldings
{
    std::map<std::string, std::vector<bool>, std::less<>> byVm; ///< By address: by piece, whether it is held.
};

/// Records what a VM holds; replaces what was known of it.
void recordHoldings(PieceHoldings &holdings, const std::string &vm, std::vector<bool> held);

/// Records that a VM doesn't hold a piece after all.
void recordNotHeld(PieceHoldings &holdings, std::string_view vm, int piece);

/// Returns whether any VM is known to hold a piece.
bool isHeld(const PieceHoldings &holdings, int piece);

/// Which VMs a VM may take a piece from.
struct HolderChoice
{
    std::string_view self; ///< The address of the VM that needs the piece.
    std::string_view domain; ///< Its failure domain.
    const std::map<std::string, std::string> &domains; ///< By address: the domains of all VMs that take part.
    bool isDomainOwner = false; ///< It fetches the piece for its domain, also from VMs of other domains.
};

/// Returns the VMs from which a piece can be taken, in the order in which they are tried: those of the own domain, or,
/// for the owner in a domain without any, those of other domains. The order differs between VMs, so that they share the
/// load.
/// @return at most `MaxHolders` addresses.
std::vector<std::string> holdersOf(const PieceHoldings &holdings, int piece, const HolderChoice &choice);

/// Encodes held pieces as a bit for each piece, beginning with the lowest one of the first byte.
std::string encodeHeld(const std::vector<bool> &held);

/// Decodes held pieces.
/// @param pieces the number of pieces of the version.
/// @return whether each piece is held; empty if the size of the bits is not that of so many pieces.
std::vector<bool> decodeHeld(std::string_view bits, std::size_t pieces);

} // namespace ibislock::weights
