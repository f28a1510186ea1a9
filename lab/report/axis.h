// A plot's axis: which values it spans, where its ticks are, and where a value lies along it.
//
//     Axis axis = makeAxis(0, 93, ScaleKind::Linear);
//     axis.ticks;                 // 0, 20, 40, 60, 80, 100
//     positionOf(axis, 50);       // 0.5

#pragma once

#include <vector>

namespace ibislock::lab
{

/// How values are spread along an axis.
enum class ScaleKind { Linear, Logarithmic };

/// An axis.
struct Axis
{
    ScaleKind kind = ScaleKind::Linear;
    double low = 0;
    double high = 1;
    std::vector<double> ticks; ///< From `low` to `high`.
};

/// Builds an axis that spans two values, widened to round ticks. A linear one starts at zero unless `low` is below.
/// A logarithmic one needs values above zero; it falls back to a linear one where they are not.
Axis makeAxis(double low, double high, ScaleKind kind);

/// Gives where a value lies: 0 at the low end, 1 at the high end.
double positionOf(const Axis &axis, double value);

} // namespace ibislock::lab
