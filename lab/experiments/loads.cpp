#include "experiments/loads.h"

#include "report/svg.h"
#include "simulation/replay.h"

#include <cxxopts.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>

namespace ibislock::lab
{

namespace
{

/// Means over the seeds of one pattern and policy.
struct LoadRow
{
    double worth = 0;
    double ofBound = 0;
    std::array<double, ReplayEndNames.size()> shares{};
    double sends = 0; ///< For each request.
    double heldMs = 0;
};

LoadRow measure(const LoadPattern &pattern, const LoadPolicy &policy, int seeds)
{
    LoadRow out;
    for (int seed = 1; seed <= seeds; ++seed) {
        const ReplayOutcome outcome = replay(pattern, policy, static_cast<std::uint64_t>(seed));
        double all = 0;
        for (const int count : outcome.ends) {
            all += count;
        }
        out.worth += worthShare(outcome) / seeds;
        out.ofBound += boundShare(outcome) / seeds;
        out.sends += outcome.sends / all / seeds;
        out.heldMs += outcome.heldMs / seeds;
        for (std::size_t n = 0; n < out.shares.size(); ++n) {
            out.shares[n] += outcome.ends[n] / all / seeds;
        }
    }
    return out;
}

void printHead()
{
    std::cout << "| load | policy | worth | of the bound |";
    for (const auto &[end, name] : ReplayEndNames) {
        std::cout << " " << name << " |";
    }
    std::cout << " sends a request | held before a refusal, ms |\n| --- | --- |";
    for (std::size_t n = 0; n < ReplayEndNames.size() + 4; ++n) {
        std::cout << " --- |";
    }
    std::cout << "\n";
}

void printRow(const LoadPattern &pattern, const LoadPolicy &policy, const LoadRow &row)
{
    std::cout << std::fixed << std::setprecision(3) << "| " << pattern.name << " | " << policy.name << " | "
              << row.worth << " | " << row.ofBound << " |";
    for (const double share : row.shares) {
        std::cout << " " << share << " |";
    }
    std::cout << std::setprecision(2) << " " << row.sends << " | " << std::setprecision(0) << row.heldMs << " |\n"
              << std::defaultfloat;
}

/// Adds a value to a line of a chart.
void addPoint(Chart &chart, std::string_view name, double second, double value)
{
    chart.series[std::string(name)].push_back({.x = second, .low = value, .median = value, .high = value, .runs = 1});
}

/// Prints the shares served on time and at all by kind, by size and by workspace.
void printShares(const LoadPattern &pattern, const LoadPolicy &policy, int seeds)
{
    constexpr std::array SizeNames{"largest tenth", "fifth below", "rest"};
    std::map<std::string, std::array<int, 5>> groups;
    const auto add = [&](const std::string &group, const std::array<int, 5> &ends) {
        for (std::size_t n = 0; n < ends.size(); ++n) {
            groups[group][n] += ends[n];
        }
    };
    for (int seed = 1; seed <= seeds; ++seed) {
        const ReplayOutcome outcome = replay(pattern, policy, static_cast<std::uint64_t>(seed));
        for (const auto &[name, ends] : outcome.byShape) {
            add("kind " + name, ends);
        }
        for (std::size_t n = 0; n < SizeNames.size(); ++n) {
            add(std::string("size ") + SizeNames[n], outcome.bySize[n]);
        }
        for (const auto &[workspace, ends] : outcome.byWorkspace) {
            add(workspace == 0 ? "workspace 0" : "other workspaces", ends);
        }
    }
    for (const auto &[group, ends] : groups) {
        std::cout << std::fixed << std::setprecision(3) << "| " << pattern.name << " | " << policy.name << " | "
                  << group << " | " << onTimeShare(ends) << " | " << servedShare(ends) << " |\n"
                  << std::defaultfloat;
    }
}

bool draw(const LoadPattern &pattern, const LoadPolicy &policy, const std::string &path)
{
    constexpr double Percent = 100;
    const ReplayOutcome outcome = replay(pattern, policy, 1);
    Chart chart{.fields = {.x = "second", .y = "requests"}};
    for (std::size_t n = 0; n < outcome.seconds.size(); ++n) {
        const ReplaySecond &second = outcome.seconds[n];
        const auto at = static_cast<double>(n);
        for (const auto &[end, name] : ReplayEndNames) {
            addPoint(chart, name, at, second.ends[static_cast<std::size_t>(end)]);
        }
        addPoint(chart, "waiting", at, second.waiting);
        addPoint(chart, "occupancy, %", at, second.occupancy * Percent);
    }
    std::ofstream file(path);
    file << svgOf(chart, {.title = std::string(pattern.what) + " (" + std::string(policy.name) + ")"});
    return file.good();
}

} // namespace

int runLoads(int argc, char **argv)
{
    cxxopts::Options options("ibislock-lab loads", "loads replayed against the decisions of entry VMs");
    options.add_options()("pattern", "only this load", cxxopts::value<std::string>()->default_value(""))(
        "policy", "only this policy", cxxopts::value<std::string>()->default_value(""))(
        "seeds", "replays of each", cxxopts::value<int>()->default_value("10"))(
        "svg", "draw the first replay into a file; needs --pattern and --policy",
        cxxopts::value<std::string>()->default_value(""))(
        "shares", "print the shares served on time and at all by kind, size and workspace")("help", "show this");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    const auto patternName = parsed["pattern"].as<std::string>();
    const auto policyName = parsed["policy"].as<std::string>();
    const LoadPattern *onlyPattern = findPattern(patternName);
    const LoadPolicy *onlyPolicy = findPolicy(policyName);
    const bool unknown =
        (!patternName.empty() && onlyPattern == nullptr) || (!policyName.empty() && onlyPolicy == nullptr);
    const auto svg = parsed["svg"].as<std::string>();
    if (unknown || (!svg.empty() && (onlyPattern == nullptr || onlyPolicy == nullptr))) {
        std::cerr << "no such load or policy\n";
        return 2;
    }
    if (!svg.empty()) {
        return draw(*onlyPattern, *onlyPolicy, svg) ? 0 : 1;
    }
    const bool shares = parsed.count("shares") > 0;
    if (shares) {
        std::cout << "| load | policy | group | on time | served |\n| --- | --- | --- | --- | --- |\n";
    } else {
        printHead();
    }
    for (const LoadPattern &pattern : loadPatterns()) {
        for (const LoadPolicy &policy : loadPolicies()) {
            const bool wanted =
                (onlyPattern == nullptr || onlyPattern == &pattern) && (onlyPolicy == nullptr || onlyPolicy == &policy);
            if (wanted && shares) {
                printShares(pattern, policy, parsed["seeds"].as<int>());
            } else if (wanted) {
                printRow(pattern, policy, measure(pattern, policy, parsed["seeds"].as<int>()));
            }
        }
    }
    return 0;
}

} // namespace ibislock::lab
