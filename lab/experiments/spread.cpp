#include "experiments/spread.h"

#include "experiments/spread_run.h"

#include "ibislock/base/log.h"

#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace ibislock::lab
{

namespace
{

using nlohmann::json;

constexpr double OriginCopiesMax = 1.02;
constexpr double OriginCopiesMaxWithFaults = 1.10;
constexpr double TimeRatioMax = 1.15;
constexpr unsigned TimeRatioTargets = 64;

/// Holds a run against the stated aims.
bool isOk(const SpreadOptions &options, const SpreadResult &result)
{
    const bool faulty = options.faults.any();
    const double ratio = result.secondsToAll / boundSeconds(options);
    const bool drawsLittle = result.originCopies < (faulty ? OriginCopiesMaxWithFaults : OriginCopiesMax);
    const bool isFast = faulty || options.targets != TimeRatioTargets || ratio <= TimeRatioMax;
    return result.isComplete && result.corruptAccepted == 0 && result.mixedServing == 0 && drawsLittle && isFast;
}

json report(const SpreadOptions &options, const SpreadResult &result)
{
    const double bound = boundSeconds(options);
    return {{"experiment", "spread"},
            {"policy", std::string(nameOf(weights::PolicyNames, options.policy))},
            {"targets", options.targets},
            {"domains", options.domains},
            {"mib", options.mib},
            {"link_mib_per_s", options.linkMibPerS},
            {"origin_mib_per_s", options.originMibPerS},
            {"pair_mib_per_s", options.pairMibPerS.value_or(0)},
            {"chunk_kib", chunkBytes(options) / 1024},
            {"seed", options.seed},
            {"complete", result.isComplete},
            {"seconds_to_all", result.secondsToAll},
            {"seconds_to_half", result.secondsToHalf},
            {"bound_seconds", bound},
            {"time_ratio", result.secondsToAll / bound},
            {"origin_copies", result.originCopies},
            {"pair_copies_max", result.pairCopiesMax},
            {"corrupt_accepted", result.corruptAccepted},
            {"corrupt_dropped", result.corruptDropped},
            {"mixed_serving", result.mixedServing},
            {"duplicate_bytes_percent", result.duplicatePercent},
            {"chunk_calls", result.chunkCalls},
            {"chunk_refusals", result.chunkRefusals},
            {"chunk_timeouts", result.chunkTimeouts},
            {"holdings_calls", result.holdingsCalls},
            {"versions_refused", result.versionsRefused},
            {"live_rps", options.liveRps},
            {"live_answered", result.liveAnswered},
            {"live_p95_ms", result.liveP95Ms},
            {"live_p95_ms_idle", result.liveP95MsIdle},
            {"cpu_seconds", result.cpuSeconds},
            {"peak_rss_mb", result.peakRssMb},
            {"ok", isOk(options, result)}};
}

cxxopts::Options describe()
{
    cxxopts::Options options("ibislock-lab spread", "Brings a version to many targets and prints one JSON object.");
    options.add_options()("targets", "target VMs", cxxopts::value<unsigned>()->default_value("8"))(
        "domains", "failure domains", cxxopts::value<unsigned>()->default_value("1"))(
        "mib", "size of the version in MiB", cxxopts::value<double>()->default_value("16"))(
        "link", "rate of each VM's link each way in MiB/s", cxxopts::value<double>()->default_value("4"))(
        "origin", "rate of the origin in MiB/s", cxxopts::value<double>()->default_value("8"))(
        "pair", "rate between two domains each way in MiB/s; each domain is a region then", cxxopts::value<double>())(
        "policy", "rendezvous, random, chain or origin", cxxopts::value<std::string>()->default_value("rendezvous"))(
        "live", "requests a second meanwhile", cxxopts::value<double>()->default_value("0"))(
        "seed", "seed of content and faults", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "chunk-kib", "size of a chunk in KiB; 0 chooses", cxxopts::value<std::uint64_t>()->default_value("0"))(
        "timeout", "seconds after which the run ends; 0 chooses",
        cxxopts::value<double>()->default_value("0"))("verbose", "log warnings")(
        "fault",
        "corrupt=P, kill=COUNT, stall=COUNT, origin-outage=SECONDS, version-change, partition=SECONDS, lost-answers=P "
        "or overtake; may be given several times",
        cxxopts::value<std::vector<std::string>>())("help", "print this help");
    return options;
}

/// Reads the command line.
/// @return the options, or nothing when a value makes no sense.
std::optional<SpreadOptions> read(const cxxopts::ParseResult &parsed)
{
    const auto policy = valueOf(weights::PolicyNames, parsed["policy"].as<std::string>());
    if (!policy) {
        return std::nullopt;
    }
    SpreadOptions options{.targets = parsed["targets"].as<unsigned>(),
                          .domains = parsed["domains"].as<unsigned>(),
                          .mib = parsed["mib"].as<double>(),
                          .linkMibPerS = parsed["link"].as<double>(),
                          .originMibPerS = parsed["origin"].as<double>(),
                          .policy = *policy,
                          .liveRps = parsed["live"].as<double>(),
                          .seed = parsed["seed"].as<std::uint64_t>(),
                          .chunkKib = parsed["chunk-kib"].as<std::uint64_t>(),
                          .timeoutSeconds = parsed["timeout"].as<double>()};
    if (parsed.count("pair") != 0) {
        options.pairMibPerS = parsed["pair"].as<double>();
    }
    if (parsed.count("fault") != 0) {
        for (const std::string &text : parsed["fault"].as<std::vector<std::string>>()) {
            if (!readFault(options.faults, text)) {
                return std::nullopt;
            }
        }
    }
    const bool positive = options.mib > 0 && options.linkMibPerS > 0 && options.originMibPerS > 0
        && options.pairMibPerS.value_or(1) > 0 && options.domains > 0 && options.targets >= options.domains;
    return positive ? std::optional(options) : std::nullopt;
}

} // namespace

int runSpread(int argc, char **argv)
{
    auto description = describe();
    const auto parsed = description.parse(argc, argv);
    const auto options = parsed.count("help") != 0 ? std::nullopt : read(parsed);
    if (!options) {
        std::cout << description.help() << "\n";
        return parsed.count("help") != 0 ? 0 : 2;
    }
    startLogging(parsed.count("verbose") != 0 ? LogLevel::Warning : LogLevel::Error);
    const SpreadResult result = runSpreadOnce(*options);
    std::cout << report(*options, result).dump() << "\n";
    return isOk(*options, result) ? 0 : 1;
}

} // namespace ibislock::lab
