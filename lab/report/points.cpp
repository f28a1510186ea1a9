#include "report/points.h"

#include "ibislock/base/ini.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

namespace ibislock::lab
{

namespace
{

using nlohmann::json;

constexpr int SignificantDigits = 4;
constexpr double ExactMax = 1e9;

/// The values of y, by series and place.
using Values = std::map<std::string, std::map<double, std::vector<double>>>;

const json *findField(const json &document, const std::string &path)
{
    const json *value = &document;
    std::istringstream in(path);
    for (std::string key; std::getline(in, key, '.');) {
        const auto it = value->is_object() ? value->find(key) : value->end();
        if (it == value->end()) {
            return nullptr;
        }
        value = &*it;
    }
    return value;
}

std::string textOf(const json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

double placeOf(const json &value, std::vector<std::string> &categories)
{
    const std::string name = textOf(value);
    const auto it = std::find(categories.begin(), categories.end(), name);
    if (it != categories.end()) {
        return static_cast<double>(it - categories.begin());
    }
    categories.push_back(name);
    return static_cast<double>(categories.size() - 1);
}

Result<std::vector<json>> parseLines(const std::string &text)
{
    std::vector<json> documents;
    std::istringstream in(text);
    std::size_t number = 0;
    for (std::string line; std::getline(in, line);) {
        ++number;
        if (line.find_first_not_of(" \t\r") == std::string::npos) {
            continue;
        }
        json document = json::parse(line, nullptr, false);
        if (!document.is_object()) {
            return failure(ErrorCode::InvalidArgument, "line " + std::to_string(number) + " is not a JSON object");
        }
        documents.push_back(std::move(document));
    }
    return documents;
}

bool hasTextPlaces(const std::vector<json> &documents, const std::string &field)
{
    return std::any_of(documents.begin(), documents.end(), [&](const json &document) {
        const json *value = findField(document, field);
        return value != nullptr && !value->is_number();
    });
}

Sample sampleOf(double x, std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    const std::size_t n = values.size();
    const double middle = (values[(n - 1) / 2] + values[n / 2]) / 2;
    return {.x = x, .low = values.front(), .median = middle, .high = values.back(), .runs = n};
}

void addSamples(Chart &chart, const Values &values)
{
    for (const auto &[name, places] : values) {
        for (const auto &[x, ys] : places) {
            chart.series[name].push_back(sampleOf(x, ys));
        }
    }
}

} // namespace

Result<Chart> chartFrom(const std::string &text, const ChartFields &fields)
{
    const auto documents = parseLines(text);
    if (!documents) {
        return tl::unexpected(documents.error());
    }
    Chart chart{.fields = fields};
    const bool named = hasTextPlaces(*documents, fields.x);
    Values values;
    for (const json &document : *documents) {
        const json *x = findField(document, fields.x);
        const json *y = findField(document, fields.y);
        const json *series = fields.series.empty() ? nullptr : findField(document, fields.series);
        if (x == nullptr || y == nullptr || !y->is_number() || (!fields.series.empty() && series == nullptr)) {
            ++chart.skippedLines;
            continue;
        }
        const double place = named ? placeOf(*x, chart.categories) : x->get<double>();
        values[series == nullptr ? fields.y : textOf(*series)][place].push_back(y->get<double>());
    }
    if (values.empty()) {
        return failure(ErrorCode::InvalidArgument, "no line has the fields " + fields.x + " and " + fields.y);
    }
    addSamples(chart, values);
    return chart;
}

Result<Chart> readChart(const std::vector<std::string> &files, const ChartFields &fields)
{
    std::string text;
    for (const std::string &file : files) {
        const auto content = readFile(file);
        if (!content) {
            return tl::unexpected(content.error());
        }
        text += *content + "\n";
    }
    return chartFrom(text, fields);
}

std::string numberText(double value)
{
    if (std::abs(value) < ExactMax && value == std::round(value)) {
        return std::to_string(static_cast<long long>(value));
    }
    std::ostringstream out;
    out.precision(SignificantDigits);
    out << value;
    return out.str();
}

std::string placeText(const Chart &chart, double x)
{
    return chart.categories.empty() ? numberText(x) : chart.categories.at(static_cast<std::size_t>(x));
}

} // namespace ibislock::lab
