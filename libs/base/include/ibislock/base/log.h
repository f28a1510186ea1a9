// Structured log lines: a fixed prefix for each part, a short sentence, and key=value fields.
//
//     logInfo(Part::Target, "Version is serving.", {{"version", "12"}, {"ticket", "4"}});
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

/// The part of the system that a log line comes from.
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

/// The fixed prefixes of the parts.
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

/// The lowest severity that is written.
enum class LogLevel { Debug, Info, Warning, Error, Off };

/// External names of the log levels, as in the settings.
inline constexpr NameTable<LogLevel, 5> LogLevelNames{{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
    {LogLevel::Off, "off"},
}};

/// A name and a value of a log line.
using LogField = std::pair<std::string_view, std::string>;

/// Sets up logging for the process; call once at start.
/// @param level the lowest severity that is written.
void startLogging(LogLevel level);

/// Sets up logging for a process whose event loop must never wait for its output: lines go through a bounded queue to
/// standard output, each with the wall clock in Unix milliseconds.
/// @param level the lowest severity that is written.
void startQueuedLogging(LogLevel level);

/// Hands queued lines over to standard output as far as it takes them. Without queued logging, does nothing.
void flushLog();

/// How many queued lines have been left out.
std::uint64_t droppedLogLines();

/// Formats the message of a log line, without time and severity.
std::string formatLogLine(LogComponent component, std::string_view sentence, std::initializer_list<LogField> fields);

/// Writes a line that helps to follow decisions.
void logDebug(LogComponent component, std::string_view sentence, std::initializer_list<LogField> fields = {});

/// Writes a line on a normal event.
void logInfo(LogComponent component, std::string_view sentence, std::initializer_list<LogField> fields = {});

/// Writes a line on an event that an operator may have to look at.
void logWarning(LogComponent component, std::string_view sentence, std::initializer_list<LogField> fields = {});

/// Writes a line on a failure that needs an operator.
void logError(LogComponent component, std::string_view sentence, std::initializer_list<LogField> fields = {});

} // namespace ibislock
