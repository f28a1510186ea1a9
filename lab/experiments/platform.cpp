#include "experiments/platform.h"

#include "process_deployment.h"

#include "ibislock/base/log.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace ibislock::lab
{

namespace
{

constexpr unsigned Versions = 3;

/// Writes the tickets, the credential and the addresses that the pages' commands use.
void writeFiles(ProcessDeployment &deployment)
{
    for (unsigned version = 1; version <= Versions; ++version) {
        const Digest root = deployment.addVersion(version);
        std::ofstream(deployment.path("ticket-" + std::to_string(version) + ".json"))
            << deployment.ticketFor(version, root) << "\n";
    }
    std::ofstream(deployment.path("credential")) << ProcessOperatorCredential << "\n";
    for (const ProcessVm &vm : deployment.vms()) {
        if (vm.isEntry) {
            std::ofstream(deployment.path("addresses.new"))
                << "export CALLERS=" << vm.callersUrl << "\nexport CALLER_CREDENTIAL=" << ProcessCallerCredential
                << "\nexport ENTRY=" << vm.administrationUrl << "\n";
            // The file appears whole: whoever waits for it must not read a part.
            std::filesystem::rename(deployment.path("addresses.new"), deployment.path("addresses"));
            return;
        }
    }
}

} // namespace

int runPlatform(int argc, char **argv)
{
    cxxopts::Options options("ibislock-lab platform",
                             "Starts stand-ins of the platform and of engines, for trying the product by hand.");
    auto add = options.add_options();
    add("directory", "where settings, tickets and addresses go", cxxopts::value<std::string>());
    add("domains", "failure domains", cxxopts::value<unsigned>()->default_value("1"));
    add("entries", "entry VMs in each", cxxopts::value<unsigned>()->default_value("1"));
    add("targets", "target VMs in each", cxxopts::value<unsigned>()->default_value("2"));
    add("help", "print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0 || parsed.count("directory") == 0) {
        std::cout << options.help() << "\n";
        return parsed.count("help") != 0 ? 0 : 2;
    }
    startLogging(LogLevel::Warning);
    asio::io_context io;
    asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([](const asio::error_code &, int) {});
    const auto directory = parsed["directory"].as<std::string>();
    ProcessDeployment deployment({.directory = directory,
                                  .domains = parsed["domains"].as<unsigned>(),
                                  .entriesPerDomain = parsed["entries"].as<unsigned>(),
                                  .targetsPerDomain = parsed["targets"].as<unsigned>()});
    writeFiles(deployment);
    std::cout << "the platform is up; settings, tickets and addresses are in " << directory << std::endl;
    io.run();
    return 0;
}

} // namespace ibislock::lab
