#include "daemon_commands.h"

#include "exit_codes.h"

#include "ibislock/base/allocator.h"
#include "ibislock/base/ini.h"
#include "ibislock/base/log.h"
#include "ibislock/entry/daemon.h"
#include "ibislock/entry/settings.h"
#include "ibislock/node/settings.h"
#include "ibislock/security/settings.h"
#include "ibislock/target/daemon.h"
#include "ibislock/target/settings.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

namespace ibislock::app
{

namespace
{

/// Which daemon a settings file is for.
struct DaemonKind
{
    std::vector<SettingSpec> specs;
    bool isEntry = true;
};

DaemonKind entryKind()
{
    return {.specs = entry::settingSpecs(), .isEntry = true};
}

DaemonKind targetKind()
{
    return {.specs = target::settingSpecs(), .isEntry = false};
}

/// Finds the mistakes that show only in the files that the settings name.
std::vector<SettingError> mistakesInFiles(const std::string &file, const Settings &settings, bool isEntry)
{
    auto errors = security::checkTls(file, security::tlsOptionsFrom(settings), isEntry, wallMillis());
    if (isEntry) {
        const auto more = security::checkCredentials(file, settings);
        errors.insert(errors.end(), more.begin(), more.end());
    }
    return errors;
}

void printMistakes(const std::vector<SettingError> &errors)
{
    for (const SettingError &error : errors) {
        std::cerr << describe(error) << "\n";
    }
}

/// Reads a settings file and checks it with the files that it names, or prints why it can't be used.
std::optional<Settings> settingsFrom(const std::string &file, const DaemonKind &kind)
{
    auto settings = loadSettings(file, kind.specs);
    if (!settings) {
        printMistakes(settings.error());
        return std::nullopt;
    }
    const auto errors = mistakesInFiles(file, *settings, kind.isEntry);
    if (!errors.empty()) {
        printMistakes(errors);
        return std::nullopt;
    }
    return std::move(*settings);
}

std::optional<std::string> settingsFile(int argc, char **argv, const char *name, const char *what, int &exitCode)
{
    cxxopts::Options options(name, what);
    options.add_options()("settings", "settings file", cxxopts::value<std::string>())("help", "print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
        std::cout << options.help() << "\n";
        exitCode = Success;
        return std::nullopt;
    }
    if (parsed.count("settings") == 0) {
        std::cerr << "the option --settings FILE is required\n";
        exitCode = Usage;
        return std::nullopt;
    }
    return parsed["settings"].as<std::string>();
}

/// Catches the signals that ask for a planned stop. From then on a repeated signal does not cut the stop short.
class StopSignals
{
public:
    StopSignals() = default;

    /// Only the main thread is left here. The handlers go with the object, so the signals are held back until the end.
    ~StopSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGTERM);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    }

    StopSignals(const StopSignals &) = delete;
    StopSignals &operator=(const StopSignals &) = delete;

    void wait()
    {
        m_signals.async_wait([](const asio::error_code &, int) {});
        m_io.run();
    }

private:
    asio::io_context m_io;
    asio::signal_set m_signals{m_io, SIGINT, SIGTERM};
};

void beginLogging(const Settings &settings)
{
    startLogging(valueOf(LogLevelNames, node::logLevelFrom(settings)).value_or(LogLevel::Info));
}

/// Finds which daemon a file is for; a file that does not say is checked as an entry's.
DaemonKind kindFor(const std::string &file)
{
    const auto entries = readFile(file).and_then([](const std::string &text) { return parseIni(text); });
    if (entries) {
        for (const IniEntry &entry : *entries) {
            if (entry.section == "process" && entry.key == "kind" && entry.value == "target") {
                return targetKind();
            }
        }
    }
    return entryKind();
}

/// Tells whether a settings file is laid out for the users' platform.
bool isPlatformSettings(const std::string &file)
{
    const auto entries = readFile(file).and_then([](const std::string &text) { return parseIni(text); });
    return entries && std::any_of(entries->begin(), entries->end(), [](const IniEntry &entry) {
               return entry.section == "contract";
           });
}

} // namespace

int runEntry(int argc, char **argv)
{
    int exitCode = Usage;
    const auto file = settingsFile(argc, argv, "ibislock entry", "Runs the daemon of an entry VM.", exitCode);
    if (!file) {
        return exitCode;
    }
    const auto settings = settingsFrom(*file, entryKind());
    if (!settings) {
        return Refused;
    }
    returnFreedBlocks();
    beginLogging(*settings);
    StopSignals signals;
    entry::Daemon daemon(entry::optionsFrom(*settings));
    const auto started = daemon.start();
    if (!started) {
        std::cerr << started.error().message << "\n";
        return Unreachable;
    }
    signals.wait();
    daemon.stop();
    return Success;
}

int runTarget(int argc, char **argv)
{
    int exitCode = Usage;
    const auto file = settingsFile(argc, argv, "ibislock target", "Runs the daemon of a target VM.", exitCode);
    if (!file) {
        return exitCode;
    }
    const auto settings = settingsFrom(*file, targetKind());
    if (!settings) {
        return Refused;
    }
    returnFreedBlocks();
    beginLogging(*settings);
    StopSignals signals;
    target::Daemon daemon(target::optionsFrom(*settings));
    const auto started = daemon.start();
    if (!started) {
        std::cerr << started.error().message << "\n";
        return Refused;
    }
    signals.wait();
    daemon.stop();
    return Success;
}

int checkSettings(int argc, char **argv)
{
    cxxopts::Options options("ibislock check-settings",
                             "Checks a settings file, also one for the users' platform, and prints every mistake.");
    options.add_options()("file", "settings file", cxxopts::value<std::string>())("help", "print this help");
    options.parse_positional({"file"});
    options.positional_help("FILE");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
        std::cout << options.help() << "\n";
        return Success;
    }
    if (parsed.count("file") == 0) {
        std::cerr << "a FILE is required\n";
        return Usage;
    }
    const auto file = parsed["file"].as<std::string>();
    if (isPlatformSettings(file)) {
        return checkPlatformSettings(file);
    }
    if (!settingsFrom(file, kindFor(file))) {
        return Refused;
    }
    std::cout << file << ": no mistakes\n";
    return Success;
}

} // namespace ibislock::app
