#include "process_usage.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace ibislock::lab
{

namespace
{

// Fields of /proc/PID/stat, counted from the one after the command's closing parenthesis.
constexpr std::size_t UserTicks = 11;
constexpr std::size_t SystemTicks = 12;
constexpr std::size_t Threads = 17;
constexpr double MillisPerSecond = 1000;

std::vector<std::string> statFields(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    std::getline(in, line);
    std::istringstream rest(line.substr(std::min(line.size(), line.rfind(')') + 1)));
    std::vector<std::string> fields;
    for (std::string field; rest >> field;) {
        fields.push_back(field);
    }
    return fields;
}

std::uint64_t peakResidentBytes(pid_t pid)
{
    constexpr std::uint64_t Kilobyte = 1024;
    constexpr std::string_view Key = "VmHWM:";
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with(Key)) {
            return std::stoull(line.substr(Key.size())) * Kilobyte;
        }
    }
    return 0;
}

std::uint64_t openDescriptors(pid_t pid)
{
    std::error_code ec;
    std::uint64_t count = 0;
    for (std::filesystem::directory_iterator it("/proc/" + std::to_string(pid) + "/fd", ec), end; !ec && it != end;
         it.increment(ec)) {
        ++count;
    }
    return count;
}

} // namespace

ProcessUsage usageOf(pid_t pid)
{
    const auto fields = statFields(pid);
    if (fields.size() <= Threads) {
        return {};
    }
    const double ticks = std::stod(fields[UserTicks]) + std::stod(fields[SystemTicks]);
    std::ifstream memory("/proc/" + std::to_string(pid) + "/statm");
    std::uint64_t totalPages = 0;
    std::uint64_t residentPages = 0;
    memory >> totalPages >> residentPages;
    return {.processorMs = ticks * MillisPerSecond / static_cast<double>(sysconf(_SC_CLK_TCK)),
            .residentBytes = residentPages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)),
            .peakResidentBytes = peakResidentBytes(pid),
            .descriptors = openDescriptors(pid),
            .threads = std::stoull(fields[Threads])};
}

} // namespace ibislock::lab
