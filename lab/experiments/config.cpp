#include "experiments/config.h"

#include "experiments/config_run.h"

#include "ibislock/base/log.h"

#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>

namespace ibislock::lab
{

namespace
{

using nlohmann::json;

/// Sizes at which the cost of a daemon is measured: entry VMs, targets.
constexpr std::array<std::pair<unsigned, unsigned>, 5> SlopeSizes{{{3, 9}, {6, 18}, {12, 36}, {24, 72}, {36, 108}}};
constexpr double SlopeIdleSeconds = 6;
constexpr std::uint64_t SlopeTickets = 5;

/// The program that stands next to this one in the build.
std::string productBinary()
{
    const auto self = std::filesystem::read_symlink("/proc/self/exe");
    return (self.parent_path().parent_path() / "app" / "ibislock").string();
}

int reportSlopes(const ConfigOptions &options)
{
    json sizes = json::array();
    bool ok = true;
    for (const auto &[entries, targets] : SlopeSizes) {
        ConfigOptions sized = options;
        sized.entries = entries;
        sized.targets = targets;
        sized.tickets = SlopeTickets;
        sized.idleSeconds = SlopeIdleSeconds;
        json result = runConfigOnce(sized);
        ok = ok && result["ok"].get<bool>();
        result["entries"] = entries;
        result["targets"] = targets;
        sizes.push_back(std::move(result));
    }
    std::cout << json{{"sizes", std::move(sizes)}, {"ok", ok}}.dump() << "\n";
    return ok ? 0 : 1;
}

} // namespace

int runConfig(int argc, char **argv)
{
    cxxopts::Options options("ibislock-lab config", "Files tickets by racing operators while faults happen.");
    options.add_options()("entries", "entry VMs", cxxopts::value<unsigned>()->default_value("6"))(
        "targets", "target VMs", cxxopts::value<unsigned>()->default_value("12"))(
        "domains", "failure domains", cxxopts::value<unsigned>()->default_value("3"))(
        "tickets", "tickets", cxxopts::value<std::uint64_t>()->default_value("40"))(
        "racers", "operators that race for each number", cxxopts::value<unsigned>()->default_value("3"))(
        "seed", "seed of all randomness", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "fault", "NAME or NAME=AMOUNT; may be given several times", cxxopts::value<std::vector<std::string>>())(
        "report", "slopes: the cost of a daemon at several sizes",
        cxxopts::value<std::string>())("ibislock", "the product's program, for the fault pause",
                                       cxxopts::value<std::string>())("help", "print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
        std::cout << options.help() << "\n";
        return 0;
    }
    const auto faults = faultPlanFrom(parsed.count("fault") != 0 ? parsed["fault"].as<std::vector<std::string>>()
                                                                 : std::vector<std::string>{});
    const unsigned domains = parsed["domains"].as<unsigned>();
    if (!faults || domains == 0 || parsed["racers"].as<unsigned>() == 0) {
        std::cerr << (faults ? "there must be a domain and a racer" : faults.error().message) << "\n";
        return 2;
    }
    startLogging(LogLevel::Off);
    const ConfigOptions config{.entries = std::max(parsed["entries"].as<unsigned>(), domains) / domains * domains,
                               .targets = std::max(parsed["targets"].as<unsigned>(), domains) / domains * domains,
                               .domains = domains,
                               .tickets = parsed["tickets"].as<std::uint64_t>(),
                               .racers = parsed["racers"].as<unsigned>(),
                               .seed = parsed["seed"].as<std::uint64_t>(),
                               .faults = *faults,
                               .binary = parsed.count("ibislock") != 0 ? parsed["ibislock"].as<std::string>()
                                                                       : productBinary()};
    if (parsed.count("report") != 0) {
        return reportSlopes(config);
    }
    const json result = runConfigOnce(config);
    std::cout << result.dump() << "\n";
    return result["ok"].get<bool>() ? 0 : 1;
}

} // namespace ibislock::lab
