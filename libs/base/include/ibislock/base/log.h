// Structured log lines: a fixed prefix for each component, a short sentence, and key=value fields.
//
//     logInfo(LogComponent::Target, "Version is serving.", {{"version", "12"}, {"ticket", "4"}});
//
// writes `2026-01-31 10:00:00.000 INFO target: Version is serving. version=12 ticket=4` to standard output.

#pragma once

#include "ibislock/base/names.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace ibislock
{

/// The component of the system that writes a log line.
enum class LogComponent {
    Base,
    Configuration,
    Membership,
    Weights,
    Requests,
    Platform,
    Rpc,
    Engine,
    Node,
    Entry,
    Target,
    Security,
    Lab,
    Front,
    Side,
    Store,
};

/// The prefixes of the components in log lines.
inline constexpr NameTable<LogComponent, 16> LogComponentNames{{
    {LogComponent::Base, "base"},
    {LogComponent::Configuration, "configuration"},
    {LogComponent::Membership, "membership"},
    {LogComponent::Weights, "weights"},
    {LogComponent::Requests, "requests"},
    {LogComponent::Platform, "platform"},
    {LogComponent::Rpc, "rpc"},
    {LogComponent::Engine, "engine"},
    {LogComponent::Node, "node"},
    {LogComponent::Entry, "entry"},
    {LogComponent::Target, "target"},
    {LogComponent::Security, "security"},
    {LogComponent::Lab, "lab"},
    {LogComponent::Front, "front"},
    {LogComponent::Side, "side"},
    {LogComponent::Store, "store"},
}};

/// Severities of log lines; `Off` disables logging.
enum class LogLevel { Debug, Info, Warning, Error, Off };

/// Names of the log levels in the settings and in log lines.
inline constexpr NameTable<LogLevel, 5> LogLevelNames{{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
    {LogLevel::Off, "off"},
}};

/// The key and the value of a field in a log line.
using LogField = std::pair<std::string_view, std::string>;

/// Sets up logging for the process; call it once at startup.
/// @param level the lowest severity that is written.
void startLogging(LogLevel level);

/// Sets up logging for a process whose event loop must never block on its output. Lines go through a bounded queue to
/// standard output, each with the wall clock in Unix milliseconds.
/// @param level the lowest severity that is written.
void startQueuedLogging(LogLevel level);

/// Writes queued lines to standard output until it would block. Does nothing without queued logging.
void flushLog();

/// Returns the number of lines that queued logging has dropped.
std::uint64_t droppedLogLines();

/// Formats a log line without time and severity.
std::string formatLogLine(LogComponent component, std::string_view sentence, std::initializer_list<LogField> fields);

/// Logs a detail that helps to trace decisions.
void logDebug(LogComponent component, std::string_view sentence, std::initializer_list<LogField> fields = {});

/// Logs a normal event.
void logInfo(LogComponent component, std::string_view sentence, std::initializer_list<LogField> fields = {});

/// Logs an event that may need an operator's attention.
void logWarning(LogComponent component, std::string_view sentence, std::initializer_list<LogField> fields = {});

/// Logs a failure that needs an operator's action.
void logError(LogComponent component, std::string_view sentence, std::initializer_list<LogField> fields = {});

} // namespace ibislock
