// The state of a replay, and its parts: engines, entry VMs and callers. Only for the files of the replay.

#pragma once

#include "ibislock/serving/first_event.h"
#include "ibislock/serving/retry_delay.h"
#include "ibislock/serving/urgency.h"
#include "ibislock/serving/workspace_shares.h"
#include "simulation/engine_model.h"
#include "simulation/replay.h"

#include <functional>
#include <memory>
#include <set>

namespace ibislock::lab
{

/// Domains over which engines and entry VMs are dealt.
inline constexpr int Domains = 3;

/// Time limit of a caller.
inline constexpr double DeadlineMs = 6000;

/// One way between an entry VM and an engine.
inline constexpr double WayMs = 1;

/// The order of events: by time, then as they were planned.
struct EventKey
{
    double at = 0; ///< Milliseconds.
    std::uint64_t number = 0;

    auto operator<=>(const EventKey &) const = default;
};

/// An engine and the VM that it is on.
struct ReplayEngine
{
    explicit ReplayEngine(const EngineShape &shape)
        : model(shape)
    {
    }

    EngineModel model;
    bool serves = false;
    bool frozen = false;
    bool loading = false;
    std::uint64_t planned = 0; ///< Counts the plans of its pass; older ones are void.
};

/// A caller's request.
struct ReplayRequest
{
    const RequestShape *shape = nullptr;
    int promptTokens = 0;
    int answerTokens = 0;
    int workspace = 0;
    std::size_t sizeClass = 0; ///< As in `ReplayOutcome::bySize`.
    double firstTryAt = 0;
    double tryAt = 0;
    int tries = 0;
    int mostTries = 2;
    bool eager = false;
    double leavesAt = 0; ///< By itself; 0 for a caller that stays.
    std::size_t second = 0; ///< In which it arrived first.
    int entry = 0; ///< Of the present try.
    int engine = -1; ///< It was sent to; below 0 for none.
    std::uint64_t send = 0; ///< Counts sends; events of older ones are void.
    double firstEventAt = -1;
    double lastEventAt = -1;
    double longestPause = 0;
    bool ended = false;
};

/// An entry VM.
struct ReplayEntry
{
    std::string domain;
    serving::TargetTable table;
    serving::DemandMeter demand;
    serving::WorkspaceShares workspaces;
    std::map<serving::WaitingRank, std::uint64_t> waiting;
};

/// The state of a replay.
struct ReplayState
{
    ReplayState(const LoadPattern &loadPattern, const LoadPolicy &loadPolicy, std::uint64_t seed);

    /// Plans an action.
    void at(double time, std::function<void()> action);

    Millis clock() const;

    /// When the last caller has given up.
    double endsAt() const;

    /// Draws from 0 to below 1.
    double draw();

    const LoadPattern &pattern;
    const LoadPolicy &policy;
    Random random;
    double now = 0;
    std::uint64_t planned = 0;
    std::map<EventKey, std::function<void()>> events;
    std::vector<ReplayEngine> engines;
    std::vector<ReplayEntry> entries;
    std::vector<ReplayRequest> requests;
    serving::DesiredState desired; ///< Routes with the priorities of the pattern's kinds, to one service.
    std::vector<double> engineSeconds; ///< Engines that serve, by second.
    int heldTries = 0;
    ReplayOutcome outcome;
};

/// Plans what the pattern does to engines, and their reports.
void startEngines(ReplayState &state);

/// Plans the callers, and works out the bound.
void startCallers(ReplayState &state);

/// Hands a request to an engine.
void handToEngine(ReplayState &state, std::uint64_t id);

/// Takes a request from its engine.
void takeFromEngine(ReplayState &state, std::uint64_t id);

/// Goes on with a request at its entry VM: sends it, lets it wait or refuses it.
void dispatch(ReplayState &state, std::uint64_t id);

/// Goes on with all that wait at an entry VM.
void dispatchWaiting(ReplayState &state, ReplayEntry &entry);

/// Takes an event of an answer.
void takeEvent(ReplayState &state, const EngineEvent &event);

/// Takes the news that an engine lost or rejected a request.
/// @param notRun whether the engine says that it did not run.
void takeFailure(ReplayState &state, std::uint64_t id, bool notRun);

} // namespace ibislock::lab
