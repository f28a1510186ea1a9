#include "experiments/footprint.h"

#include "load/load.h"
#include "process_deployment.h"
#include "process_usage.h"

#include "ibislock/base/log.h"

#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

namespace ibislock::lab
{

namespace
{

using nlohmann::json;

constexpr Millis RolloutTimeout{60000};
constexpr Millis SettleTime{3000};
constexpr double MillisPerSecond = 1000;
constexpr double BytesPerMib = 1024.0 * 1024.0;
constexpr double PercentPerUnit = 100;

/// Accounts of all processes, by VM.
using Usages = std::map<std::string, ProcessUsage>;

Usages usagesOf(ProcessDeployment &deployment)
{
    Usages usages;
    for (const ProcessVm &vm : deployment.vms()) {
        usages[vm.name] = usageOf(vm.process->pid());
    }
    return usages;
}

/// Reads one counter of an entry process; its administration interface gives them.
double counterOf(const ProcessVm &vm, const std::string &name)
{
    httplib::Client client(vm.administrationUrl);
    client.set_bearer_token_auth(ProcessOperatorCredential);
    const auto reply = client.Get("/metrics");
    const std::string line = "\n" + name + " ";
    const std::size_t at = reply ? reply->body.find(line) : std::string::npos;
    return at == std::string::npos ? 0 : std::stod(reply->body.substr(at + line.size()));
}

double gossipBytesOf(ProcessDeployment &deployment)
{
    double bytes = 0;
    for (const ProcessVm &vm : deployment.vms()) {
        bytes += vm.isEntry ? counterOf(vm, "ibislock_gossip_bytes_total") : 0;
    }
    return bytes;
}

/// The mean over the processes of one kind between two moments.
struct Mean
{
    double processes = 0;
    double processorMs = 0;
    double residentBytes = 0;
    double threads = 0;
};

Mean meanOf(ProcessDeployment &deployment, const Usages &before, const Usages &after, bool entries)
{
    Mean mean;
    for (const ProcessVm &vm : deployment.vms()) {
        if (vm.isEntry != entries) {
            continue;
        }
        const ProcessUsage &usage = after.at(vm.name);
        mean.processes += 1;
        mean.processorMs += usage.processorMs - before.at(vm.name).processorMs;
        mean.residentBytes += static_cast<double>(usage.residentBytes);
        mean.threads += static_cast<double>(usage.threads);
    }
    mean.processorMs /= mean.processes;
    mean.residentBytes /= mean.processes;
    mean.threads /= mean.processes;
    return mean;
}

/// Measures one phase and prints a line for each kind of process.
void measure(ProcessDeployment &deployment, const std::string &phase, Millis length, const Load *load)
{
    const std::uint64_t answeredBefore = load == nullptr ? 0 : load->snapshot().answered;
    const std::uint64_t readsBefore = deployment.log().reads();
    const double gossipBefore = gossipBytesOf(deployment);
    const Usages before = usagesOf(deployment);
    const Millis begin = steadyMillis();
    std::this_thread::sleep_for(length);
    const double seconds = static_cast<double>((steadyMillis() - begin).count()) / MillisPerSecond;
    const Usages after = usagesOf(deployment);
    const double gossip = gossipBytesOf(deployment) - gossipBefore;
    const auto reads = static_cast<double>(deployment.log().reads() - readsBefore);
    const auto answered = static_cast<double>(load == nullptr ? 0 : load->snapshot().answered - answeredBefore);
    const auto processes = static_cast<double>(deployment.vms().size());
    for (const bool entries : {true, false}) {
        const Mean mean = meanOf(deployment, before, after, entries);
        json line{{"experiment", "footprint"},
                  {"phase", phase},
                  {"kind", entries ? "entry" : "target"},
                  {"processes", processes},
                  {"of_kind", mean.processes},
                  {"processor_percent", mean.processorMs / seconds / MillisPerSecond * PercentPerUnit},
                  {"resident_mib", mean.residentBytes / BytesPerMib},
                  {"threads", mean.threads},
                  {"log_reads_per_s", reads / seconds / processes},
                  {"answered_per_s", answered / seconds}};
        if (entries) {
            line["gossip_bytes_per_s"] = gossip / seconds / mean.processes;
        }
        std::cout << line.dump() << std::endl;
    }
}

} // namespace

int runFootprint(int argc, char **argv)
{
    cxxopts::Options options("ibislock-lab footprint", "Measures what a process costs, idle and under load.");
    auto add = options.add_options();
    add("ibislock", "the product's binary", cxxopts::value<std::string>());
    add("directory", "where settings and logs go", cxxopts::value<std::string>());
    add("domains", "failure domains", cxxopts::value<unsigned>()->default_value("2"));
    add("entries", "entry VMs in each", cxxopts::value<unsigned>()->default_value("2"));
    add("targets", "target VMs in each", cxxopts::value<unsigned>()->default_value("6"));
    add("callers", "concurrent callers of the loaded phase", cxxopts::value<unsigned>()->default_value("16"));
    add("seconds", "length of each phase", cxxopts::value<unsigned>()->default_value("6"));
    add("help", "print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0 || parsed.count("ibislock") == 0 || parsed.count("directory") == 0) {
        std::cout << options.help() << "\n";
        return parsed.count("help") != 0 ? 0 : 2;
    }
    startLogging(LogLevel::Warning);
    ProcessDeployment deployment({.binary = parsed["ibislock"].as<std::string>(),
                                  .directory = parsed["directory"].as<std::string>(),
                                  .domains = parsed["domains"].as<unsigned>(),
                                  .entriesPerDomain = parsed["entries"].as<unsigned>(),
                                  .targetsPerDomain = parsed["targets"].as<unsigned>()});
    const Millis length = std::chrono::seconds(parsed["seconds"].as<unsigned>());
    deployment.startAll();
    const Digest root = deployment.addVersion(1);
    if (!deployment.fileTicket(1, root, RolloutTimeout) || !deployment.waitUntilServing(root, RolloutTimeout)) {
        std::cerr << "the targets do not serve\n";
        return 1;
    }
    std::this_thread::sleep_for(SettleTime);
    measure(deployment, "idle", length, nullptr);
    Load load({.entries = deployment.callerUrls(),
               .credential = ProcessCallerCredential,
               .callers = parsed["callers"].as<unsigned>()});
    load.start();
    measure(deployment, "loaded", length, &load);
    const LoadResult result = load.finish();
    return deployment.stopAll() && result.wrong == 0 ? 0 : 1;
}

} // namespace ibislock::lab
