#include "ibislock/net/process_limits.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <malloc.h>
#include <sstream>
#include <sys/resource.h>
#include <unistd.h>

namespace ibislock::net
{

namespace
{

/// Blocks of at least this size are returned to the system when they are freed. The allocator would raise the size by
/// itself and keep the memory of a burst of large bodies.
constexpr int MappedBlockBytes = 64 * 1024;

constexpr double Megabyte = 1024.0 * 1024.0;

/// Returns the lowest limit that a file of a control group and of those above it contains.
std::optional<std::uint64_t> lowestLimit(const std::filesystem::path &root, const std::string &group,
                                         const std::string &file)
{
    std::optional<std::uint64_t> out;
    for (std::filesystem::path path = std::filesystem::path(group).relative_path();; path = path.parent_path()) {
        std::ifstream in(root / path / file);
        std::uint64_t limit = 0;
        if (in >> limit) { // "max" stands for no limit.
            out = std::min(out.value_or(limit), limit);
        }
        if (path.empty()) {
            return out;
        }
    }
}

/// Returns the address space of the process that isn't resident, such as that of stacks and of the allocator's arenas.
std::uint64_t unusedAddressSpace()
{
    std::ifstream in("/proc/self/statm");
    std::uint64_t all = 0;
    std::uint64_t resident = 0;
    in >> all >> resident;
    return (all - std::min(all, resident)) * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

/// Returns what a resource limit leaves for memory in use, in bytes.
std::optional<std::uint64_t> resourceLimit(int resource)
{
    rlimit limit{};
    if (getrlimit(static_cast<__rlimit_resource>(resource), &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return std::nullopt;
    }
    return limit.rlim_cur - std::min<std::uint64_t>(limit.rlim_cur, unusedAddressSpace());
}

} // namespace

std::size_t availableDescriptors(std::size_t setting)
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return setting;
    }
    return std::min<std::size_t>(setting, limit.rlim_cur);
}

std::optional<std::uint64_t> controlGroupLimit(const std::string &groups, const std::filesystem::path &root)
{
    std::optional<std::uint64_t> out;
    std::istringstream in(groups);
    for (std::string line; std::getline(in, line);) { // NUMBER:CONTROLLERS:GROUP
        const std::size_t first = line.find(':');
        const std::size_t second = first == std::string::npos ? first : line.find(':', first + 1);
        if (second == std::string::npos) {
            continue;
        }
        const std::string controllers = "," + line.substr(first + 1, second - first - 1) + ",";
        const std::string group = line.substr(second + 1);
        std::optional<std::uint64_t> limit;
        if (controllers == ",,") {
            limit = lowestLimit(root, group, "memory.max");
        } else if (controllers.find(",memory,") != std::string::npos) {
            limit = lowestLimit(root / "memory", group, "memory.limit_in_bytes");
        }
        out = limit ? std::min(out.value_or(*limit), *limit) : out;
    }
    return out;
}

double availableMemoryMb(double setting)
{
    std::ifstream in("/proc/self/cgroup");
    const std::string groups{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    std::optional<std::uint64_t> machine;
    if (const long pages = sysconf(_SC_PHYS_PAGES); pages > 0) {
        machine = static_cast<std::uint64_t>(pages) * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    }
    double out = setting;
    for (const auto &limit :
         {machine, controlGroupLimit(groups, "/sys/fs/cgroup"), resourceLimit(RLIMIT_AS), resourceLimit(RLIMIT_DATA)}) {
        out = limit ? std::min(out, static_cast<double>(*limit) / Megabyte) : out;
    }
    return out;
}

void returnFreedMemory()
{
    // If the allocator doesn't know the option, freed memory stays with the process.
    static_cast<void>(mallopt(M_MMAP_THRESHOLD, MappedBlockBytes));
    static_cast<void>(mallopt(M_TRIM_THRESHOLD, MappedBlockBytes));
}

} // namespace ibislock::net
