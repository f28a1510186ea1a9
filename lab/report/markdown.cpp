#include "report/markdown.h"

#include <algorithm>
#include <set>

namespace ibislock::lab
{

namespace
{

std::string cellOf(const std::vector<Sample> &samples, double x)
{
    const auto it = std::find_if(samples.begin(), samples.end(), [x](const Sample &sample) { return sample.x == x; });
    if (it == samples.end()) {
        return "";
    }
    std::string cell = numberText(it->median);
    if (it->runs > 1) {
        cell += " (" + numberText(it->low) + " to " + numberText(it->high) + ", " + std::to_string(it->runs) + " runs)";
    }
    return cell;
}

std::string escaped(std::string text)
{
    for (std::size_t i = text.find('|'); i != std::string::npos; i = text.find('|', i + 2)) {
        text.insert(i, "\\");
    }
    return text;
}

} // namespace

std::string markdownOf(const Chart &chart)
{
    std::string header = "| " + escaped(chart.fields.x) + " |";
    std::string rule = "| --- |";
    std::set<double> places;
    for (const auto &[name, samples] : chart.series) {
        header += " " + escaped(chart.fields.series.empty() ? name : chart.fields.y + ", " + name) + " |";
        rule += " --- |";
        for (const Sample &sample : samples) {
            places.insert(sample.x);
        }
    }
    std::string table = header + "\n" + rule + "\n";
    for (const double x : places) {
        table += "| " + escaped(placeText(chart, x)) + " |";
        for (const auto &[name, samples] : chart.series) {
            table += " " + cellOf(samples, x) + " |";
        }
        table += "\n";
    }
    return table;
}

} // namespace ibislock::lab
