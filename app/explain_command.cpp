#include "daemon_commands.h"

#include "exit_codes.h"
#include "log_story.h"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>

namespace ibislock::app
{

int runExplain(int argc, char **argv)
{
    cxxopts::Options options(
        "ibislock explain",
        "Puts the log lines of a request, of several processes, in the order of their times, and says "
        "how it ended. Reads standard input if no file is named.");
    options.add_options()("id", "id of the request", cxxopts::value<std::string>())(
        "files", "log files", cxxopts::value<std::vector<std::string>>())("help", "print this help");
    options.parse_positional({"id", "files"});
    options.positional_help("ID [LOGFILE...]");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
        std::cout << options.help() << "\n";
        return Success;
    }
    if (parsed.count("id") == 0) {
        std::cerr << "an ID is required\n";
        return Usage;
    }
    LogStory story{.id = parsed["id"].as<std::string>(), .lines = {}};
    if (parsed.count("files") == 0) {
        addLines(story, std::cin);
    } else {
        for (const std::string &name : parsed["files"].as<std::vector<std::string>>()) {
            std::ifstream file(name);
            if (!file) {
                std::cerr << "can't read " << name << "\n";
                return Usage;
            }
            addLines(story, file);
        }
    }
    std::cout << tell(story);
    return story.lines.empty() ? Refused : Success;
}

} // namespace ibislock::app
