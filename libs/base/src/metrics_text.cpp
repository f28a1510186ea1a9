#include "ibislock/base/metrics_text.h"

#include "ibislock/base/log.h"

#include <fstream>
#include <unistd.h>

namespace ibislock
{

void writeMetricHeader(std::string &out, std::string_view name, std::string_view type, std::string_view help)
{
    out.append("# HELP ").append(name).append(" ").append(help).append("\n");
    out.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void writeLabelled(std::string &out, std::string_view name, std::string_view label, std::string_view labelValue,
                   std::int64_t value)
{
    out.append(name).append("{").append(label).append("=\"").append(labelValue).append("\"} ");
    out.append(std::to_string(value)).append("\n");
}

void writeCounter(std::string &out, std::string_view name, std::string_view help, std::uint64_t value)
{
    writeMetricHeader(out, name, "counter", help);
    out.append(name).append(" ").append(std::to_string(value)).append("\n");
}

void writeGauge(std::string &out, std::string_view name, std::string_view help, std::int64_t value)
{
    writeMetricHeader(out, name, "gauge", help);
    out.append(name).append(" ").append(std::to_string(value)).append("\n");
}

Result<std::uint64_t> residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t allPages = 0;
    std::uint64_t residentPages = 0;
    if (!(file >> allPages >> residentPages)) {
        return failure(ErrorCode::Unavailable, "/proc/self/statm can't be read");
    }
    return residentPages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

void writeMemoryMetric(std::string &out)
{
    const auto bytes = residentBytes();
    if (!bytes) {
        logWarning(LogComponent::Base, "Reading the resident memory of the process failed.",
                   {{"cause", bytes.error().message}});
        return;
    }
    writeGauge(out, "ibislock_resident_bytes", "Memory that the process holds.", static_cast<std::int64_t>(*bytes));
}

} // namespace ibislock
