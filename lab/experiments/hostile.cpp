#include "experiments/hostile.h"

#include "deployment.h"
#include "load/load.h"
#include "load/slow_senders.h"

#include "ibislock/base/log.h"

#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace ibislock::lab
{

namespace
{

using nlohmann::json;

constexpr std::uint64_t ChunkBytes = 64 << 10;
constexpr std::uint64_t VersionBytes = 8 * ChunkBytes;
constexpr Millis Patience{20000};
constexpr double RatioMax = 2.0;

struct HostileOptions
{
    unsigned slow = 200;
    unsigned rounds = 3;
    std::uint32_t threads = 1024;
    Millis headerTimeout{5000};
    Millis loadTime{6000};
    std::uint64_t seed = 1;
};

LoadResult measure(const Deployment &deployment, const HostileOptions &options, std::uint64_t seed)
{
    Load load({.entries = deployment.callerUrls(), .credential = CallerCredential, .seed = seed});
    load.start();
    std::this_thread::sleep_for(options.loadTime);
    return load.finish();
}

/// Waits until the slow connections are open, as far as the entry VM lets them.
void settle(const SlowSenders &senders, unsigned wanted)
{
    const Millis deadline = steadyMillis() + Millis(2000);
    while (senders.open() < wanted && steadyMillis() < deadline) {
        std::this_thread::sleep_for(Millis(10));
    }
}

int run(const HostileOptions &options)
{
    DeploymentOptions deployed{.domains = 1, .entriesPerDomain = 1, .targetsPerDomain = 2, .seed = options.seed};
    deployed.entry.callers.threads = options.threads;
    deployed.entry.callers.headerTimeout = options.headerTimeout;
    Deployment deployment(std::move(deployed));
    deployment.start();
    const Digest root = deployment.store().addVersion("frost", "1", VersionBytes, ChunkBytes, options.seed);
    if (!deployment.fileTicket(deployment.ticketFor(1, "1", root), Patience)
        || !deployment.waitUntilServing(root, Patience)) {
        std::cerr << "the version does not serve\n";
        return 1;
    }
    std::vector<double> quiet;
    std::vector<double> hostile;
    std::uint64_t lost = 0;
    std::uint64_t closed = 0;
    for (unsigned round = 0; round < options.rounds; ++round) {
        const std::uint64_t seed = options.seed * 100 + round;
        const LoadResult before = measure(deployment, options, seed);
        SlowSenders senders(
            {.port = deployment.entries()[0].daemon->callersPort(), .connections = options.slow, .seed = seed});
        senders.start();
        settle(senders, options.slow);
        const LoadResult during = measure(deployment, options, seed);
        const unsigned open = senders.open();
        senders.stop();
        quiet.push_back(quantile(before.latenciesMs, 0.95));
        hostile.push_back(quantile(during.latenciesMs, 0.95));
        lost += during.sent - during.answered;
        closed += senders.closed();
        std::cout << json{{"round", round + 1},           {"slow_open", open},
                          {"quiet_p95_ms", quiet.back()}, {"hostile_p95_ms", hostile.back()},
                          {"sent", during.sent},          {"answered", during.answered},
                          {"wrong", during.wrong}}
                         .dump()
                  << "\n";
    }
    const double ratio = quantile(hostile, 0.5) / std::max(quantile(quiet, 0.5), 1.0);
    std::cout << json{{"slow", options.slow},
                      {"seed", options.seed},
                      {"quiet_p95_ms", quantile(quiet, 0.5)},
                      {"hostile_p95_ms", quantile(hostile, 0.5)},
                      {"ratio", ratio},
                      {"lost", lost},
                      {"slow_closed", closed}}
                     .dump()
              << "\n";
    return ratio <= RatioMax && lost == 0 ? 0 : 1;
}

} // namespace

int runHostile(int argc, char **argv)
{
    cxxopts::Options options("ibislock-lab hostile", "Callers' latency beside connections that send very slowly.");
    options.add_options()("slow", "slow connections", cxxopts::value<unsigned>()->default_value("200"))(
        "rounds", "rounds, each without and with them", cxxopts::value<unsigned>()->default_value("3"))(
        "threads", "connections that the entry VM serves at a time",
        cxxopts::value<std::uint32_t>()->default_value("1024"))("header-timeout-ms", "time for a header",
                                                                cxxopts::value<int>()->default_value("5000"))(
        "seed", "seed of the run", cxxopts::value<std::uint64_t>()->default_value("1"))("help", "print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
        std::cout << options.help() << "\n";
        return 0;
    }
    startLogging(LogLevel::Error);
    return run({.slow = parsed["slow"].as<unsigned>(),
                .rounds = parsed["rounds"].as<unsigned>(),
                .threads = parsed["threads"].as<std::uint32_t>(),
                .headerTimeout = Millis(parsed["header-timeout-ms"].as<int>()),
                .seed = parsed["seed"].as<std::uint64_t>()});
}

} // namespace ibislock::lab
