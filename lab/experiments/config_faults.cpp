#include "experiments/config_faults.h"

#include <algorithm>
#include <charconv>

namespace ibislock::lab
{

namespace
{

double defaultAmount(ConfigFault fault)
{
    switch (fault) {
    case ConfigFault::LogOutage:
    case ConfigFault::Partition:
    case ConfigFault::Pause:
        return 2; // seconds
    case ConfigFault::LogSlow:
        return 100; // milliseconds
    case ConfigFault::LostAnswers:
    case ConfigFault::DuplicateRecords:
        return 0.2; // probability
    default:
        return 0;
    }
}

} // namespace

Result<FaultPlan> faultPlanFrom(const std::vector<std::string> &texts)
{
    FaultPlan plan;
    for (const std::string &text : texts) {
        const std::size_t equals = text.find('=');
        const auto fault = valueOf(ConfigFaultNames, text.substr(0, equals));
        if (!fault) {
            return failure(ErrorCode::InvalidArgument, "unknown fault " + text);
        }
        double amount = defaultAmount(*fault);
        if (equals != std::string::npos) {
            const char *end = text.data() + text.size();
            const auto [read, ec] = std::from_chars(text.data() + equals + 1, end, amount);
            if (ec != std::errc() || read != end || amount < 0) {
                return failure(ErrorCode::InvalidArgument, "the amount of " + text + " must be a number of at least 0");
            }
        }
        plan.push_back({.fault = *fault, .amount = amount});
    }
    return plan;
}

bool isLasting(ConfigFault fault)
{
    return fault == ConfigFault::LogSlow || fault == ConfigFault::LostAnswers || fault == ConfigFault::DuplicateRecords
        || fault == ConfigFault::Trim;
}

std::optional<double> amountOf(const FaultPlan &plan, ConfigFault fault)
{
    const auto it =
        std::find_if(plan.begin(), plan.end(), [fault](const PlannedFault &item) { return item.fault == fault; });
    return it == plan.end() ? std::nullopt : std::optional(it->amount);
}

} // namespace ibislock::lab
