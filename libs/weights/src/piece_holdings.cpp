#include "ibislock/weights/piece_holdings.h"

#include "ibislock/weights/rendezvous.h"

#include <algorithm>

namespace ibislock::weights
{

namespace
{

constexpr std::size_t BitsInByte = 8;

bool holds(const std::vector<bool> &held, int piece)
{
    const auto n = static_cast<std::size_t>(piece);
    return n < held.size() && held[n];
}

} // namespace

void recordHoldings(PieceHoldings &holdings, const std::string &vm, std::vector<bool> held)
{
    holdings.byVm.insert_or_assign(vm, std::move(held));
}

void recordNotHeld(PieceHoldings &holdings, std::string_view vm, int piece)
{
    const auto it = holdings.byVm.find(vm);
    if (it != holdings.byVm.end() && holds(it->second, piece)) {
        it->second[static_cast<std::size_t>(piece)] = false;
    }
}

bool isHeld(const PieceHoldings &holdings, int piece)
{
    return std::any_of(holdings.byVm.begin(), holdings.byVm.end(),
                       [piece](const auto &item) { return holds(item.second, piece); });
}

std::vector<std::string> holdersOf(const PieceHoldings &holdings, int piece, const HolderChoice &choice)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto &[vm, held] : holdings.byVm) {
        const auto it = choice.domains.find(vm);
        if (vm != choice.self && it != choice.domains.end() && holds(held, piece)) {
            (it->second == choice.domain ? near : far).push_back(vm);
        }
    }
    if (near.empty() && !choice.isDomainOwner) {
        return {};
    }
    const std::string key = std::to_string(piece) + std::string(choice.self);
    std::vector<std::string> out = rendezvousOrder(key, near.empty() ? far : near);
    out.resize(std::min(out.size(), MaxHolders));
    return out;
}

std::string encodeHeld(const std::vector<bool> &held)
{
    std::string out((held.size() + BitsInByte - 1) / BitsInByte, '\0');
    for (std::size_t n = 0; n < held.size(); ++n) {
        if (held[n]) {
            out[n / BitsInByte] =
                static_cast<char>(static_cast<unsigned char>(out[n / BitsInByte]) | 1U << n % BitsInByte);
        }
    }
    return out;
}

std::vector<bool> decodeHeld(std::string_view bits, std::size_t pieces)
{
    if (bits.size() != (pieces + BitsInByte - 1) / BitsInByte) {
        return {};
    }
    std::vector<bool> out(pieces);
    for (std::size_t n = 0; n < pieces; ++n) {
        out[n] = (static_cast<unsigned char>(bits[n / BitsInByte]) >> n % BitsInByte & 1U) != 0;
    }
    return out;
}

} // namespace ibislock::weights
