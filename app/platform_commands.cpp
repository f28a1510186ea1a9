#include "daemon_commands.h"

#include "exit_codes.h"

#include "ibislock/base/log.h"
#include "ibislock/front/daemon.h"
#include "ibislock/platform/settings.h"
#include "ibislock/side/daemon.h"

#include <asio/signal_set.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

namespace ibislock::app
{

namespace
{

/// What both daemons of the users' platform take on the command line.
struct PlatformOptions
{
    std::string settings;
    LogLevel logLevel = LogLevel::Info;
    std::uint16_t metricsPort = 0;
};

/// Reads the command line; prints why it can't be used.
/// @return the options, or the exit code.
tl::expected<PlatformOptions, int> parsePlatformOptions(std::string_view command, std::string_view help, int argc,
                                                        char **argv)
{
    cxxopts::Options options("ibislock " + std::string(command), std::string(help));
    options.add_options()("settings", "settings file; by default the one that the platform names",
                          cxxopts::value<std::string>()->default_value(""))(
        "log-level", "debug, info, warning, error or off", cxxopts::value<std::string>()->default_value("info"))(
        "metrics-port", "port that serves metrics; 0 for none",
        cxxopts::value<std::uint16_t>()->default_value("0"))("help", "print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
        std::cout << options.help();
        return tl::unexpected(static_cast<int>(Success));
    }
    PlatformOptions out{.settings = parsed["settings"].as<std::string>(),
                        .metricsPort = parsed["metrics-port"].as<std::uint16_t>()};
    const auto level = valueOf(LogLevelNames, parsed["log-level"].as<std::string>());
    if (!level) {
        std::cerr << "--log-level: no such level\n";
        return tl::unexpected(static_cast<int>(Usage));
    }
    out.logLevel = *level;
    if (out.settings.empty()) {
        const auto path = platform::settingsPath();
        if (!path) {
            std::cerr << path.error().message << "\n";
            return tl::unexpected(static_cast<int>(Usage));
        }
        out.settings = *path;
    }
    return out;
}

/// Runs a daemon until it stops.
template <typename Daemon>
int runDaemon(std::string_view command, std::string_view help, int argc, char **argv)
{
    const auto options = parsePlatformOptions(command, help, argc, argv);
    if (!options) {
        return options.error();
    }
    const auto settings = platform::readSettings(options->settings);
    if (!settings) {
        std::cerr << settings.error().message << "\n";
        return Refused;
    }
    std::signal(SIGPIPE, SIG_IGN);
    startQueuedLogging(options->logLevel);
    asio::io_context loop(1);
    Daemon daemon(loop, *settings, {.metricsPort = options->metricsPort});
    if (const auto started = daemon.start(); !started) {
        std::cerr << started.error().message << "\n";
        return Refused;
    }
    asio::signal_set stops(loop, SIGTERM, SIGINT);
    const std::function<void(const asio::error_code &, int)> onStop = [&](const asio::error_code &ec, int) {
        if (!ec) {
            daemon.stop();
            stops.async_wait(onStop);
        }
    };
    stops.async_wait(onStop);
    asio::signal_set reloads(loop, SIGHUP);
    const std::function<void(const asio::error_code &, int)> onReload = [&](const asio::error_code &ec, int) {
        if (ec) {
            return;
        }
        const auto again = platform::readSettings(options->settings);
        logInfo(LogComponent::Base,
                "The settings file was read again; what a process uses of it holds until its next start.",
                {{"readable", again ? "1" : "0"}});
        reloads.async_wait(onReload);
    };
    reloads.async_wait(onReload);
    loop.run();
    flushLog();
    return Success;
}

} // namespace

int checkPlatformSettings(const std::string &file)
{
    const auto settings = platform::readSettings(file);
    if (!settings) {
        std::cerr << settings.error().message << "\n";
        return Refused;
    }
    std::cout << file << ": no mistakes\n";
    return Success;
}

int runFront(int argc, char **argv)
{
    return runDaemon<front::FrontDaemon>("front", "Runs the daemon of an entry VM on the users' platform.", argc, argv);
}

int runSide(int argc, char **argv)
{
    return runDaemon<side::SideDaemon>("side", "Runs the daemon of a target VM on the users' platform.", argc, argv);
}

} // namespace ibislock::app
