// The ibislock command line: daemons and operators' commands in one binary.

#include "daemon_commands.h"
#include "exit_codes.h"
#include "operator_commands.h"
#include "reference.h"

#include <array>
#include <cxxopts.hpp>
#include <iostream>
#include <string_view>

namespace ibislock::app
{

namespace
{

/// One subcommand.
struct Command
{
    std::string_view name;
    std::string_view help;
    int (*run)(int argc, char **argv);
};

constexpr std::array<Command, 9> Commands{{
    {"entry", "run the daemon of an entry VM", runEntry},
    {"target", "run the daemon of a target VM", runTarget},
    {"front", "run the daemon of an entry VM on the users' platform", runFront},
    {"side", "run the daemon of a target VM on the users' platform", runSide},
    {"ticket", "file, show and list change tickets", runTicket},
    {"status", "show the VMs and what they serve", runStatus},
    {"audit", "show the audit trail of changes", runAudit},
    {"explain", "put the log lines of a request in order and say how it ended", runExplain},
    {"check-settings", "check a settings file", checkSettings},
}};

void printHelp(std::ostream &out)
{
    out << "usage: ibislock COMMAND [OPTIONS]\n\ncommands:\n";
    for (const Command &command : Commands) {
        out << "  " << command.name << std::string(18 - command.name.size(), ' ') << command.help << "\n";
    }
    out << "\nibislock COMMAND --help explains a command; ibislock --version prints the version.\n";
}

int run(int argc, char **argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--version") {
        std::cout << "ibislock " << IBISLOCK_VERSION << "\n";
        return Success;
    }
    if (name == "--help" || name == "help") {
        printHelp(std::cout);
        return Success;
    }
    if (name == "reference") {
        return runReference(argc - 1, argv + 1);
    }
    for (const Command &command : Commands) {
        if (command.name == name) {
            return command.run(argc - 1, argv + 1);
        }
    }
    printHelp(std::cerr);
    return Usage;
}

} // namespace

} // namespace ibislock::app

int main(int argc, char **argv)
{
    try {
        return ibislock::app::run(argc, argv);
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << exception.what() << "\n";
        return ibislock::app::Usage;
    }
}
