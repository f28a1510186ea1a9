// Writes metrics in the Prometheus text exposition format, which the daemons serve.
//
//     std::string out;
//     writeCounter(out, "ibislock_sends_total", "Requests sent to targets.", sends);
//     writeGauge(out, "ibislock_targets", "Targets that are known.", targets);

#pragma once

#include "ibislock/base/error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace ibislock
{

/// Writes the HELP and TYPE lines of a metric, which precede its values.
/// @param type the type as named by the format: counter, gauge or histogram.
void writeMetricHeader(std::string &out, std::string_view name, std::string_view type, std::string_view help);

/// Writes one value of a metric that has a label, without HELP and TYPE lines.
void writeLabelled(std::string &out, std::string_view name, std::string_view label, std::string_view labelValue,
                   std::int64_t value);

/// Writes a counter with its HELP and TYPE lines.
void writeCounter(std::string &out, std::string_view name, std::string_view help, std::uint64_t value);

/// Writes a gauge with its HELP and TYPE lines.
void writeGauge(std::string &out, std::string_view name, std::string_view help, std::int64_t value);

/// Reads the resident memory of this process.
/// @return the size in bytes, or Unavailable if the system's information can't be read.
Result<std::uint64_t> residentBytes();

/// Writes the gauge of this process's resident memory. If it can't be read, logs a warning and writes nothing.
void writeMemoryMetric(std::string &out);

} // namespace ibislock
