// A small deployment: the store, the origin, 4 engines with their side daemons, 2 runners of a plain service and 2
// front daemons, in 2 zones.

#pragma once

#include "callers.h"
#include "runner.h"

#include <nlohmann/json.hpp>

namespace review
{

// Bounds of the rules, as in the settings of the platform.
inline constexpr std::int64_t ConfigApplyMs = 2000;
inline constexpr std::int64_t MaxStretchMs = 5000;
inline constexpr std::int64_t ContactMs = 3000;
inline constexpr std::int64_t RecoveryMs = 12000;

inline constexpr const char *Host = "notices.example";
inline constexpr const char *EngineService = "llm";
inline constexpr const char *PlainService = "desk";

/// Returns a route of a desired state.
nlohmann::json makeRoute(const std::string &path, const std::string &kind, const std::string &service,
                         std::int64_t timeoutMs, std::int64_t objectiveMs);

/// The deployment.
class Scene
{
public:
    /// @param directory for settings and logs.
    /// @param recordFile the file of the record.
    Scene(std::string directory, const std::string &recordFile);

    /// Writes a desired state.
    void fileState(std::int64_t version, const nlohmann::json &routes, const std::vector<std::string> &keys);

    /// Starts runners and daemons, and waits until the front daemons are ready.
    /// @return whether they are.
    bool startAll();

    /// Returns the front daemons.
    std::vector<Daemon *> fronts();

    /// Ends the daemons and the process.
    [[noreturn]] void finish(int verdict);

    std::vector<std::string> extraServices; ///< Further plain services of the desired state.

    Record record;
    Runs runs;
    Store store;
    Weights weights{.model = "m0"};
    Origin origin;
    std::vector<std::unique_ptr<Engine>> engines;
    std::vector<std::unique_ptr<PlainRunner>> desks;
    std::vector<Daemon> daemons;
    SharedSettings shared;
    Callers callers;
};

} // namespace review
