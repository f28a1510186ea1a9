#include "experiments/spread_options.h"

#include <algorithm>

namespace ibislock::lab
{

namespace
{

constexpr std::uint64_t KiB = 1024;
constexpr double MiB = 1024.0 * 1024.0;
constexpr double ChunksAimed = 256;
constexpr std::uint64_t ChunkBytesMin = 16 * KiB;
constexpr std::uint64_t ChunkBytesMax = 4096 * KiB;

bool readNumber(const std::string &text, double &value)
{
    char *end = nullptr;
    value = std::strtod(text.c_str(), &end);
    return !text.empty() && *end == '\0' && value >= 0;
}

} // namespace

bool SpreadFaults::any() const
{
    return corrupt > 0 || kill > 0 || stall > 0 || originOutageSeconds > 0 || versionChange || partitionSeconds > 0
        || lostAnswers > 0 || overtake;
}

bool readFault(SpreadFaults &faults, const std::string &text)
{
    const auto equals = text.find('=');
    const std::string name = text.substr(0, equals);
    double value = 1;
    if (equals != std::string::npos && !readNumber(text.substr(equals + 1), value)) {
        return false;
    }
    if (name == "corrupt") {
        faults.corrupt = equals == std::string::npos ? 0.01 : value;
    } else if (name == "kill") {
        faults.kill = static_cast<unsigned>(value);
    } else if (name == "stall") {
        faults.stall = static_cast<unsigned>(value);
    } else if (name == "origin-outage") {
        faults.originOutageSeconds = value;
    } else if (name == "version-change") {
        faults.versionChange = value > 0;
    } else if (name == "partition") {
        faults.partitionSeconds = value;
    } else if (name == "lost-answers") {
        faults.lostAnswers = equals == std::string::npos ? 0.01 : value;
    } else if (name == "overtake") {
        faults.overtake = value > 0;
    } else {
        return false;
    }
    return true;
}

double boundSeconds(const SpreadOptions &options)
{
    const double n = options.targets;
    double bound = std::max(options.mib / options.originMibPerS, options.mib / options.linkMibPerS);
    bound = std::max(bound, n * options.mib / (options.originMibPerS + n * options.linkMibPerS));
    if (options.pairMibPerS && options.domains > 1) {
        // Any set of regions without the store's takes the whole version in over its pairs with the others. The
        // smallest cuts are a single region's and that of all far regions; both have one pair for each far region.
        const double pairs = options.domains - 1;
        bound = std::max(bound, options.mib / (pairs * *options.pairMibPerS));
    }
    return bound;
}

std::uint64_t chunkBytes(const SpreadOptions &options)
{
    if (options.chunkKib > 0) {
        return options.chunkKib * KiB;
    }
    const auto aimed = static_cast<std::uint64_t>(options.mib * MiB / ChunksAimed);
    return std::clamp((aimed + KiB - 1) / KiB * KiB, ChunkBytesMin, ChunkBytesMax);
}

} // namespace ibislock::lab
