#include "ibislock/base/log.h"

#include "ibislock/base/clock.h"
#include "ibislock/base/log_queue.h"

#include <atomic>
#include <easylogging++.h>
#include <memory>
#include <unistd.h>

namespace ibislock
{

namespace
{

std::atomic<LogLevel> activeLevel{LogLevel::Warning};

/// The queue, if queued logging is used; set once at startup, before any other thread runs.
std::unique_ptr<LogQueue> queue;

/// Adds a line to the queue if there is one.
/// @return whether there is a queue.
bool pushToQueue(LogLevel level, LogComponent component, std::string_view sentence,
                 std::initializer_list<LogField> fields)
{
    if (!queue) {
        return false;
    }
    std::string line = std::to_string(wallMillis().count());
    line.append(" ")
        .append(nameOf(LogLevelNames, level))
        .append(" ")
        .append(formatLogLine(component, sentence, fields));
    queue->push(sentence, line, steadyMillis());
    return true;
}

bool isEnabled(LogLevel level)
{
    return level >= activeLevel.load(std::memory_order_relaxed);
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n") != std::string_view::npos;
}

void appendValue(std::string &line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line += '\\';
        }
        line += c == '\n' ? ' ' : c;
    }
    line += '"';
}

} // namespace

void startLogging(LogLevel level)
{
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configurations.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%d %H:%m:%s.%g} %level %msg");
    el::Loggers::reconfigureAllLoggers(configurations);
    activeLevel = level;
}

void startQueuedLogging(LogLevel level)
{
    queue = std::make_unique<LogQueue>(STDOUT_FILENO);
    activeLevel = level;
}

void flushLog()
{
    if (queue) {
        queue->flush();
    }
}

std::uint64_t droppedLogLines()
{
    return queue ? queue->dropped() : 0;
}

std::string formatLogLine(LogComponent component, std::string_view sentence, std::initializer_list<LogField> fields)
{
    std::string line(nameOf(LogComponentNames, component));
    line += ": ";
    line += sentence;
    for (const auto &[name, value] : fields) {
        line += ' ';
        line += name;
        line += '=';
        appendValue(line, value);
    }
    return line;
}

void logDebug(LogComponent component, std::string_view sentence, std::initializer_list<LogField> fields)
{
    if (isEnabled(LogLevel::Debug) && !pushToQueue(LogLevel::Debug, component, sentence, fields)) {
        LOG(DEBUG) << formatLogLine(component, sentence, fields);
    }
}

void logInfo(LogComponent component, std::string_view sentence, std::initializer_list<LogField> fields)
{
    if (isEnabled(LogLevel::Info) && !pushToQueue(LogLevel::Info, component, sentence, fields)) {
        LOG(INFO) << formatLogLine(component, sentence, fields);
    }
}

void logWarning(LogComponent component, std::string_view sentence, std::initializer_list<LogField> fields)
{
    if (isEnabled(LogLevel::Warning) && !pushToQueue(LogLevel::Warning, component, sentence, fields)) {
        LOG(WARNING) << formatLogLine(component, sentence, fields);
    }
}

void logError(LogComponent component, std::string_view sentence, std::initializer_list<LogField> fields)
{
    if (isEnabled(LogLevel::Error) && !pushToQueue(LogLevel::Error, component, sentence, fields)) {
        LOG(ERROR) << formatLogLine(component, sentence, fields);
    }
}

} // namespace ibislock
