// A chart as a plain SVG document, without scripts and outside assets.
//
//     std::string svg = svgOf(chart, {.title = "Time to N replicas", .logY = true});

#pragma once

#include "report/points.h"

namespace ibislock::lab
{

/// How a chart is drawn.
struct SvgOptions
{
    std::string title;
    bool logX = false;
    bool logY = false;
};

/// Draws each series as a line through the medians, with a bar from the lowest to the highest run.
std::string svgOf(const Chart &chart, const SvgOptions &options);

} // namespace ibislock::lab
