#include "target_loads.h"

#include <xxhash.h>

namespace ibislock::entry
{

void noteReport(TargetLoad &load, std::uint64_t sequence, std::uint32_t running)
{
    if (load.sequence.exchange(sequence) == sequence) {
        return;
    }
    const std::uint32_t own = load.inProgress;
    load.reported = running > own ? running - own : 0;
}

std::uint32_t loadOf(const TargetLoad &load)
{
    return load.reported + load.inProgress;
}

std::shared_ptr<TargetLoad> TargetLoads::of(const std::string &vm)
{
    const std::lock_guard lock(m_mutex);
    auto &load = m_loads[vm];
    if (!load) {
        load = std::make_shared<TargetLoad>();
        load->id = static_cast<std::uint32_t>(m_loads.size());
        load->affinity = XXH3_64bits(vm.data(), vm.size());
    }
    return load;
}

} // namespace ibislock::entry
