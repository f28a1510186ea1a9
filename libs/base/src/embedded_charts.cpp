#include "ibislock/base/state_chart.h"

#include <array>
#include <stdexcept>

// These symbols are defined in embedded_charts.S, so their names don't follow the naming rules.
// NOLINTBEGIN(readability-identifier-naming)
extern "C" {
extern const char ibislock_chart_activation[];
extern const char ibislock_chart_activation_end[];
extern const char ibislock_chart_drain[];
extern const char ibislock_chart_drain_end[];
extern const char ibislock_chart_lease[];
extern const char ibislock_chart_lease_end[];
extern const char ibislock_chart_request[];
extern const char ibislock_chart_request_end[];
}
// NOLINTEND(readability-identifier-naming)

namespace ibislock
{

namespace
{

struct EmbeddedChart
{
    std::string_view name;
    std::string_view text;
};

std::string_view textBetween(const char *begin, const char *end)
{
    return {begin, static_cast<std::size_t>(end - begin)};
}

const std::array<EmbeddedChart, 4> &charts()
{
    static const std::array<EmbeddedChart, 4> all{{
        {"activation", textBetween(ibislock_chart_activation, ibislock_chart_activation_end)},
        {"drain", textBetween(ibislock_chart_drain, ibislock_chart_drain_end)},
        {"lease", textBetween(ibislock_chart_lease, ibislock_chart_lease_end)},
        {"request", textBetween(ibislock_chart_request, ibislock_chart_request_end)},
    }};
    return all;
}

std::map<std::string, StateChart, std::less<>> parseAll()
{
    std::map<std::string, StateChart, std::less<>> parsed;
    for (const auto &[name, text] : charts()) {
        auto chart = parseChart(text);
        if (!chart) {
            throw std::logic_error("chart " + std::string(name) + " is invalid: " + chart.error().message);
        }
        parsed.emplace(name, std::move(*chart));
    }
    return parsed;
}

} // namespace

const StateChart &embeddedChart(std::string_view name)
{
    static const auto parsed = parseAll();
    const auto it = parsed.find(name);
    if (it == parsed.end()) {
        throw std::logic_error("there is no embedded chart " + std::string(name));
    }
    return it->second;
}

std::vector<std::string> embeddedChartNames()
{
    std::vector<std::string> names;
    for (const auto &chart : charts()) {
        names.emplace_back(chart.name);
    }
    return names;
}

} // namespace ibislock
