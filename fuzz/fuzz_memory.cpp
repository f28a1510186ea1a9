// Fuzz target: connections of callers in any order of open, bytes, progress, phases and close. The sum of what they
// hold never exceeds the limit, requests at targets are never evicted, and the sum returns to zero.

#include "ibislock/serving/memory_budget.h"

#include <algorithm>

namespace
{

using namespace ibislock::serving;

/// Bytes of each step: what happens, to which connection, how much, and how much later.
constexpr std::size_t StepBytes = 4;

constexpr std::size_t SizeUnit = 16384;

/// Forgets connections that were evicted; none of them may have a request at a target.
void removeEvicted(std::map<HolderId, HolderPhase> &open, const std::vector<HolderId> &evicted)
{
    for (const HolderId id : evicted) {
        const auto it = open.find(id);
        if (it == open.end() || it->second == HolderPhase::AtTarget) {
            __builtin_trap();
        }
        open.erase(it);
    }
}

} // namespace

// The library asks for this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    MemoryBudget budget{.limits = {.bytes = 4U << 20U, .reservedBytes = 1U << 20U, .connections = 12}};
    std::map<HolderId, HolderPhase> open; // With the phase that was set last.
    ibislock::Millis now{0};
    for (std::size_t at = 0; at + StepBytes <= size; at += StepBytes) {
        now += ibislock::Millis{data[at + 3] * 4};
        const auto chosen = open.empty() ? open.end() : std::next(open.begin(), data[at + 1] % open.size());
        const HolderId id = chosen == open.end() ? 0 : chosen->first;
        const std::size_t bytes = data[at + 2] * SizeUnit;
        switch (data[at] % 6) {
        case 0: {
            const OpenResult opened = openHolder(budget, now);
            removeEvicted(open, opened.evicted);
            if (opened.id) {
                open.emplace(*opened.id, HolderPhase::Idle);
            }
            break;
        }
        case 1:
            closeHolder(budget, id);
            open.erase(id);
            break;
        case 2:
            recordProgress(budget, id, now);
            break;
        case 3:
            if (id != 0) {
                chosen->second = static_cast<HolderPhase>(data[at + 2] % 5);
                setPhase(budget, id, chosen->second, now);
            }
            break;
        default: {
            const auto before = budget.holders.find(id);
            const std::size_t held = before == budget.holders.end() ? 0 : before->second.bytes;
            const GrantResult grant = setBytes(budget, id, bytes, now);
            removeEvicted(open, grant.evicted);
            if (id != 0 && budget.holders.at(id).bytes != (grant.granted ? bytes : held)) {
                __builtin_trap();
            }
            if (id != 0 && admitsBody(budget, bytes, now) && bytes > budget.limits.bytes) {
                __builtin_trap();
            }
        }
        }
        if (budget.used > budget.limits.bytes || budget.holders.size() != open.size()) {
            __builtin_trap();
        }
    }
    for (const auto &[id, phase] : open) {
        closeHolder(budget, id);
    }
    if (budget.used != 0 || !budget.holders.empty()) {
        __builtin_trap();
    }
    return 0;
}
