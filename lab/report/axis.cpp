#include "report/axis.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace ibislock::lab
{

namespace
{

constexpr double TicksWanted = 5;
constexpr double Decade = 10;
constexpr double Rounding = 1e-9;
constexpr std::array<double, 4> Steps{1, 2, 5, 10};

double roundStep(double span)
{
    const double rough = span / TicksWanted;
    const double power = std::pow(Decade, std::floor(std::log10(rough)));
    for (const double step : Steps) {
        if (step * power >= rough * (1 - Rounding)) {
            return step * power;
        }
    }
    return Decade * power;
}

Axis linearAxis(double low, double high)
{
    const double begin = std::min(low, 0.0);
    const double end = high > begin ? high : begin + 1;
    const double step = roundStep(end - begin);
    Axis axis{.kind = ScaleKind::Linear};
    const auto first = static_cast<long>(std::floor(begin / step + Rounding));
    const auto last = static_cast<long>(std::ceil(end / step - Rounding));
    for (long i = first; i <= last; ++i) {
        axis.ticks.push_back(static_cast<double>(i) * step);
    }
    return axis;
}

Axis logarithmicAxis(double low, double high)
{
    Axis axis{.kind = ScaleKind::Logarithmic};
    const auto first = static_cast<long>(std::floor(std::log10(low) + Rounding));
    const auto last = std::max(static_cast<long>(std::ceil(std::log10(high) - Rounding)), first + 1);
    for (long i = first; i <= last; ++i) {
        axis.ticks.push_back(std::pow(Decade, static_cast<double>(i)));
    }
    return axis;
}

} // namespace

Axis makeAxis(double low, double high, ScaleKind kind)
{
    Axis axis = kind == ScaleKind::Logarithmic && low > 0 ? logarithmicAxis(low, high) : linearAxis(low, high);
    axis.low = axis.ticks.front();
    axis.high = axis.ticks.back();
    return axis;
}

double positionOf(const Axis &axis, double value)
{
    if (axis.kind == ScaleKind::Logarithmic) {
        return std::log(value / axis.low) / std::log(axis.high / axis.low);
    }
    return (value - axis.low) / (axis.high - axis.low);
}

} // namespace ibislock::lab
