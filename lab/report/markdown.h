// A chart as a Markdown table: one row for each place of the x axis, one column for each series.

#pragma once

#include "report/points.h"

namespace ibislock::lab
{

/// Writes the table. A cell gives the median, and the lowest and highest run where there are several.
std::string markdownOf(const Chart &chart);

} // namespace ibislock::lab
