#include "ibislock/serving/version_wait.h"

#include "ibislock/serving/placement.h"

#include <algorithm>

namespace ibislock::serving
{

Millis timeUntilNextLoad(const TargetTable &table, std::string_view service, std::int64_t minVersion, Millis now)
{
    std::optional<Millis> next;
    for (const auto &[id, target] : table.targets) {
        if (target.entry.service != service || !target.load || now >= target.load->receivedAt + LoadReportLifetime) {
            continue;
        }
        if (target.load->loading || target.load->version >= minVersion) {
            return Millis{0};
        }
        if (target.load->loadStartsAt) {
            const Millis wait = std::max(Millis{0}, *target.load->loadStartsAt - now);
            next = next ? std::min(*next, wait) : wait;
        }
    }
    return next.value_or(Millis{0});
}

} // namespace ibislock::serving
