// The laboratory: stand-ins, load and experiments. It is not shipped.

#include "experiments/config.h"
#include "experiments/demo.h"
#include "experiments/footprint.h"
#include "experiments/hostile.h"
#include "experiments/loads.h"
#include "experiments/peers.h"
#include "experiments/platform.h"
#include "experiments/recover.h"
#include "experiments/requests.h"
#include "experiments/spread.h"
#include "experiments/vms.h"
#include "report/report_command.h"

#include <array>
#include <cxxopts.hpp>
#include <iostream>
#include <string_view>

namespace ibislock::lab
{

namespace
{

/// One experiment.
struct Experiment
{
    std::string_view name;
    std::string_view help;
    int (*run)(int argc, char **argv);
};

constexpr std::array Experiments{
    Experiment{"config", "tickets under faults: accepted once, in force everywhere, never reverting", runConfig},
    Experiment{"demo", "the whole path as separate processes", runDemo},
    Experiment{"footprint", "what a process costs, idle and under load", runFootprint},
    Experiment{"loads", "loads replayed against the decisions of entry VMs, in virtual time", runLoads},
    Experiment{"peers", "RPC and messages between daemons, by processor time and memory", runPeers},
    Experiment{"platform", "stand-ins, settings and tickets for trying the product by hand", runPlatform},
    Experiment{"recover", "restarts of many VMs at once, under load", runRecover},
    Experiment{"requests", "callers under overload and faults", runRequests},
    Experiment{"hostile", "callers beside slow connections", runHostile},
    Experiment{"spread", "a new version on many targets, with shaped links and faults", runSpread},
    Experiment{"vms", "the daemons on the users' platform as processes, over stand-ins", runVms},
    Experiment{"report", "turn experiments' JSON lines into a plot and a table", runReport},
};

int run(int argc, char **argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    for (const Experiment &experiment : Experiments) {
        if (experiment.name == name) {
            return experiment.run(argc - 1, argv + 1);
        }
    }
    std::cout << "usage: ibislock-lab EXPERIMENT [OPTIONS]\n\nexperiments:\n";
    for (const Experiment &experiment : Experiments) {
        std::cout << "  " << experiment.name << "  " << experiment.help << "\n";
    }
    return name == "--help" ? 0 : 2;
}

} // namespace

} // namespace ibislock::lab

int main(int argc, char **argv)
{
    try {
        return ibislock::lab::run(argc, argv);
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << exception.what() << "\n";
        return 2;
    }
}
