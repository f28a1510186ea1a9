// Points read from the JSON lines that experiments print.
//
//     Result<Chart> chart = readChart({"spread.jsonl"}, {.x = "targets", .y = "time_ms", .series = "policy"});
//     chart->series.at("rarest")[0].median;
//
// A field may lie inside an object, written with dots: `load.p95_ms`. Lines that lack a field are counted and left out.

#pragma once

#include "ibislock/base/error.h"

#include <map>
#include <string>
#include <vector>

namespace ibislock::lab
{

/// Which fields become what.
struct ChartFields
{
    std::string x;
    std::string y;
    std::string series; ///< Empty for a single series.
};

/// All runs of one series at one place of the x axis.
struct Sample
{
    double x = 0;
    double low = 0;
    double median = 0;
    double high = 0;
    std::size_t runs = 0;
};

/// What a plot and a table show.
struct Chart
{
    ChartFields fields;
    std::vector<std::string> categories; ///< Names of the places 0, 1, ... when the x field is not a number.
    std::map<std::string, std::vector<Sample>> series; ///< Ordered by x.
    std::size_t skippedLines = 0;
};

/// Builds a chart from text with one JSON document a line.
/// @return the chart, or InvalidArgument when a line is not JSON or no line has the fields.
Result<Chart> chartFrom(const std::string &text, const ChartFields &fields);

/// Builds a chart from files.
/// @return the chart, or why a file can't be read or has no points.
Result<Chart> readChart(const std::vector<std::string> &files, const ChartFields &fields);

/// Writes a number as a person would: without needless digits.
std::string numberText(double value);

/// Names a place on the x axis.
std::string placeText(const Chart &chart, double x);

} // namespace ibislock::lab
