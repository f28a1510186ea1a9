#include "experiments/vms.h"

#include "experiments/vms_rot.h"

#include <cxxopts.hpp>
#include <iostream>

namespace ibislock::lab
{

namespace
{

/// Sends requests for the length of the experiment; names a version and kills an entry VM on the way.
void play(asio::io_context &loop, VmsDeployment &deployment, const VmsOptions &options)
{
    const Millis begin = steadyMillis();
    const Millis end = begin + options.length;
    bool named = false;
    bool killed = !options.kill;
    while (steadyMillis() < end) {
        deployment.request();
        loop.run_for(VmsDeployment::RequestPause);
        if (!named && steadyMillis() > begin + options.length / 5) {
            named = true;
            deployment.announce(2);
        }
        if (!killed && steadyMillis() > begin + options.length / 2) {
            killed = true;
            VmProcess &vm = deployment.vms().back();
            vm.process->kill();
            deployment.launch(vm);
        }
    }
    loop.run_for(std::chrono::milliseconds(1000));
}

/// Prints what came of it.
/// @return whether all is as it should be.
bool report(VmsDeployment &deployment, const VmsOptions &options)
{
    const bool everywhere = deployment.runUntil([&] { return deployment.enginesWith(2) == options.targets; });
    const Tally &tally = deployment.tally();
    bool spoilt = false;
    for (const VmProcess &vm : deployment.vms()) {
        spoilt = spoilt || (vm.engine && vm.engine->loadedSpoilt);
    }
    const bool good = everywhere && !spoilt && tally.wrong == 0 && tally.answered > tally.sent * 8 / 10
        && (options.kill || tally.unknown == 0);
    std::cout << "version 2: " << deployment.enginesWith(2) << " of " << options.targets << " engines, "
              << deployment.origin().piecesServed << " pieces from the origin, "
              << (spoilt ? "spoilt pieces loaded" : "none spoilt") << "\nrequests: sent " << tally.sent << ", answered "
              << tally.answered << ", refused " << tally.refused << ", unknown " << tally.unknown << ", wrong "
              << tally.wrong << "\nvms: " << (good ? "ok" : "failed") << "\n";
    return good;
}

} // namespace

int runVms(int argc, char **argv)
{
    cxxopts::Options options("ibislock-lab vms", "The daemons on the users' platform as processes, over stand-ins.");
    options.add_options()("ibislock", "the program", cxxopts::value<std::string>())(
        "directory", "where settings and logs go",
        cxxopts::value<std::string>())("entries", "entry VMs", cxxopts::value<int>()->default_value("2"))(
        "targets", "target VMs; the last one starts without weights", cxxopts::value<int>()->default_value("4"))(
        "seconds", "how long callers send",
        cxxopts::value<int>()->default_value("5"))("kill", "kill an entry VM on the way and start it again")(
        "rot", "staged pieces turn bad between their check and the load")(
        "seed", "of --rot", cxxopts::value<std::uint64_t>()->default_value("1"))("help", "print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0 || parsed.count("ibislock") == 0 || parsed.count("directory") == 0) {
        std::cout << options.help();
        return parsed.count("help") != 0 ? 0 : 2;
    }
    asio::io_context loop;
    const bool rot = parsed.count("rot") != 0;
    const VmsOptions vms{.program = parsed["ibislock"].as<std::string>(),
                         .directory = parsed["directory"].as<std::string>(),
                         .entries = parsed["entries"].as<int>(),
                         .targets = rot ? RotTargets : parsed["targets"].as<int>(),
                         .pieces = rot ? RotPieces : VmsOptions{}.pieces,
                         .length = Millis{parsed["seconds"].as<int>() * 1000},
                         .kill = parsed.count("kill") != 0};
    VmsDeployment deployment(loop, vms);
    if (!deployment.start()) {
        std::cout << "vms: failed, an entry VM did not become ready\n";
        return 1;
    }
    if (rot) {
        return runRot(loop, deployment, parsed["seed"].as<std::uint64_t>()) ? 0 : 1;
    }
    play(loop, deployment, vms);
    return report(deployment, vms) ? 0 : 1;
}

} // namespace ibislock::lab
