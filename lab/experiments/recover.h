// Restarts of many VMs at once, under load.
//
//     RecoverOptions options{.binary = "ibislock", .directory = "run", .share = RestartShare::Domain};
//     std::cout << runRestart(options).dump() << "\n";
//
// All processes of the share are stopped or killed together, and started again together. Service is full again when
// every restarted target's engine has started a request and every restarted entry has answered one.

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/names.h"

#include <nlohmann/json.hpp>
#include <string>

namespace ibislock::lab
{

/// Which VMs are restarted.
enum class RestartShare { Tenth, Domain, Entries, Targets, All };

/// External names of the shares.
inline constexpr NameTable<RestartShare, 5> RestartShareNames{{
    {RestartShare::Tenth, "tenth"},
    {RestartShare::Domain, "domain"},
    {RestartShare::Entries, "entries"},
    {RestartShare::Targets, "targets"},
    {RestartShare::All, "all"},
}};

/// One restart.
struct RecoverOptions
{
    std::string binary;
    std::string directory;
    RestartShare share = RestartShare::All;
    bool graceful = false; ///< SIGTERM in place of SIGKILL.
    unsigned domains = 3;
    unsigned entriesPerDomain = 2;
    unsigned targetsPerDomain = 4;
    unsigned callers = 16;
    Millis warmUp{1500}; ///< Load before the restart.
    Millis coolDown{1000}; ///< Load after service is full.
    Millis timeout{20000}; ///< For the first rollout and for the recovery.
    Millis fullServiceMax{10000}; ///< What `ok` asks of the recovery.
};

/// Runs one restart.
/// @return what was measured, the limits that were asked for, and whether they were kept (`ok`).
nlohmann::json runRestart(const RecoverOptions &options);

/// `ibislock-lab recover --ibislock BINARY --directory DIR [--share NAME]... [--graceful]`: one JSON line a restart.
int runRecover(int argc, char **argv);

} // namespace ibislock::lab
