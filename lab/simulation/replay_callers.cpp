#include "simulation/replay_state.h"
#include "simulation/work_bound.h"

#include <algorithm>
#include <utility>

namespace ibislock::lab
{

namespace
{

/// The gap after which a caller gives a stream up: eight times the longest pause.
constexpr double GapMs = 3200;

/// Longest pause between events for which an answer is on time.
constexpr double PauseMs = 400;

/// The part of the time left that a caller waits at most before it comes back.
constexpr double LongestReturnPart = 1.0 / 3;

/// How soon an eager caller comes back, and how soon a leaving one leaves.
constexpr double EagerMs = 20;
constexpr double LeavingMs = 500;

/// Between two looks of an entry VM at what waits.
constexpr double TickMs = 20;

/// By how much a token takes longer than a step, as entry VMs reckon.
constexpr double SharedStepFactor = 1.5;

/// Prompt tokens of a usual request.
constexpr int UsualPrompt = 979;

constexpr double MillisInSecond = 1000;

double promptMs(const ReplayState &state, int tokens)
{
    return tokens / state.pattern.engine.promptTokensPerMs;
}

ReplayEntry &entryOf(ReplayState &state, const ReplayRequest &request)
{
    return state.entries[static_cast<std::size_t>(request.entry)];
}

void end(ReplayState &state, std::uint64_t id, ReplayEnd how)
{
    ReplayRequest &request = state.requests[id];
    if (request.ended) {
        return;
    }
    request.ended = true;
    takeFromEngine(state, id);
    const auto index = static_cast<std::size_t>(how);
    ++state.outcome.ends[index];
    ++state.outcome.byShape[std::string(request.shape->name)][index];
    ++state.outcome.bySize[request.sizeClass][index];
    ++state.outcome.byWorkspace[request.workspace][index];
    if (request.second < state.outcome.seconds.size()) {
        ++state.outcome.seconds[request.second].ends[index];
    }
    if (how == ReplayEnd::Left) {
        return;
    }
    state.outcome.worthOwed += request.shape->worth;
    if (how == ReplayEnd::OnTime) {
        state.outcome.worthEarned += request.shape->worth;
    } else if (how == ReplayEnd::Late) {
        state.outcome.worthEarned += request.shape->lateWorth;
    }
}

void beginTry(ReplayState &state, std::uint64_t id)
{
    ReplayRequest &request = state.requests[id];
    if (request.ended) {
        return;
    }
    ++request.tries;
    request.tryAt = state.now;
    request.entry = static_cast<int>(state.random() % state.entries.size());
    recordArrival(entryOf(state, request).demand, state.clock());
    recordWorkspace(entryOf(state, request).workspaces, std::to_string(request.workspace), state.clock());
    dispatch(state, id);
}

serving::Urgency urgency(const ReplayState &state, const ReplayRequest &request)
{
    return state.policy.reserves ? serving::urgencyOf(state.desired, "s", request.shape->priority) : serving::Urgency{};
}

/// When a request must be sent to be on time, as its entry VM expects.
double dueAt(const ReplayState &state, const ReplayRequest &request)
{
    const EngineShape &shape = state.pattern.engine;
    const serving::EngineSpec spec{.stepMs = shape.stepMs,
                                   .promptTokensPerMs = shape.promptTokensPerMs,
                                   .typicalPromptTokens = UsualPrompt,
                                   .stepsPerPass = shape.stepsPerPass};
    const Millis expected = state.policy.foresees ? serving::expectedFirstEvent(spec, request.promptTokens) : Millis{0};
    return request.firstTryAt + static_cast<double>((request.shape->goal - expected).count());
}

bool isLate(const ReplayState &state, const ReplayRequest &request)
{
    return state.now >= dueAt(state, request);
}

void refuse(ReplayState &state, std::uint64_t id, serving::RefusalCause cause)
{
    ReplayRequest &request = state.requests[id];
    ++state.heldTries;
    state.outcome.heldMs += (state.now - request.tryAt - state.outcome.heldMs) / state.heldTries;
    const double left = request.firstTryAt + DeadlineMs - state.now;
    const auto advice = static_cast<double>(serving::suggestedRetryDelay(cause, state.random).count());
    const double pause = request.eager ? EagerMs : std::min(advice, left * LongestReturnPart);
    if (request.tries >= request.mostTries || left <= 0) {
        end(state, id, ReplayEnd::Refused);
        return;
    }
    state.at(state.now + pause, [&state, id] { beginTry(state, id); });
}

serving::Placement placementOf(ReplayState &state, const ReplayRequest &request)
{
    const double workspaceReserve = state.policy.sharesByWorkspace
        ? serving::workspaceReserve(entryOf(state, request).workspaces, std::to_string(request.workspace),
                                    state.clock())
        : 0;
    const EngineShape &shape = state.pattern.engine;
    const double duration =
        promptMs(state, request.promptTokens) + request.shape->answerTokens * shape.stepMs * SharedStepFactor;
    return serving::place(
        entryOf(state, request).table,
        {.service = "s",
         .domain = entryOf(state, request).domain,
         .engine = true,
         .typicalPromptMs = state.policy.countsPrompts ? promptMs(state, UsualPrompt) : 0,
         .expectedDuration = Millis{static_cast<std::int64_t>(duration)},
         .urgent = !state.policy.refusesLate || !isLate(state, request),
         .reservedShare = reservedShare(urgency(state, request), request.tries > 1) + workspaceReserve,
         .contention = {.entryVms = state.policy.contends ? state.pattern.entryVms : 1,
                        .demand = demandAt(entryOf(state, request).demand, state.clock())},
         .now = state.clock()},
        state.random, state.policy.placement);
}

void send(ReplayState &state, std::uint64_t id, serving::Target &target)
{
    ReplayRequest &request = state.requests[id];
    ++state.outcome.sends;
    serving::recordAttempt(target, state.clock(),
                           state.policy.countsPrompts ? promptMs(state, request.promptTokens) : 0);
    request.engine = std::stoi(target.entry.id.substr(1));
    const std::uint64_t send = ++request.send;
    state.at(state.now + WayMs, [&state, id, send] {
        if (state.requests[id].send == send && !state.requests[id].ended) {
            handToEngine(state, id);
        }
    });
}

/// Plans when a caller gives up: at its time limit, or after a gap without events.
void planGivingUp(ReplayState &state, std::uint64_t id, double at)
{
    state.at(at, [&state, id] {
        const ReplayRequest &request = state.requests[id];
        if (request.ended) {
            return;
        }
        const double quietSince = request.lastEventAt >= 0 ? request.lastEventAt : request.tryAt;
        const double until = std::min(request.firstTryAt + DeadlineMs, quietSince + GapMs);
        if (state.now >= until) {
            end(state, id, ReplayEnd::Lost);
        } else {
            planGivingUp(state, id, until);
        }
    });
}

/// Draws the lengths of a request of a kind with a spread, and its workspace. Patterns without draw nothing, so that
/// their replays stay the same.
void drawLengths(ReplayState &state, ReplayRequest &request)
{
    request.answerTokens = request.shape->answerTokens;
    if (request.shape->promptSpread > 0) {
        const double spread = request.shape->promptSpread;
        const double median = request.promptTokens / std::exp(spread * spread / 2);
        const double tokens = std::lognormal_distribution<double>(std::log(median), spread)(state.random);
        request.promptTokens = static_cast<int>(std::clamp(tokens, 1.0, static_cast<double>(LongestPrompt)));
        const double factor =
            std::uniform_real_distribution<double>(ShortestAnswerFactor, LongestAnswerFactor)(state.random);
        request.answerTokens = static_cast<int>(request.shape->answerTokens * factor);
    }
    if (state.pattern.workspaces > 1) {
        const double all = state.pattern.heavyWorkspaceFactor + state.pattern.workspaces - 1;
        const double drawn = state.draw() * all - state.pattern.heavyWorkspaceFactor;
        request.workspace = drawn < 0 ? 0 : 1 + static_cast<int>(drawn);
    }
}

/// Sorts the requests into the size classes of `ReplayOutcome::bySize`.
void classifySizes(ReplayState &state)
{
    constexpr double LargestShare = 0.1;
    constexpr double LargeShare = 0.3;
    std::vector<int> sizes;
    for (const ReplayRequest &request : state.requests) {
        sizes.push_back(request.promptTokens);
    }
    std::sort(sizes.begin(), sizes.end(), std::greater<>());
    const auto at = [&](double share) {
        return sizes.empty() ? 0 : sizes[static_cast<std::size_t>(static_cast<double>(sizes.size()) * share)];
    };
    for (ReplayRequest &request : state.requests) {
        request.sizeClass =
            request.promptTokens > at(LargestShare) ? 0 : (request.promptTokens > at(LargeShare) ? 1 : 2);
    }
}

void arrive(ReplayState &state, double at)
{
    const std::uint64_t id = state.requests.size();
    ReplayRequest request{.firstTryAt = at, .second = static_cast<std::size_t>(at / MillisInSecond)};
    double drawn = state.draw();
    request.shape = &state.pattern.shapes.back();
    for (const RequestShape &shape : state.pattern.shapes) {
        if (drawn < shape.share) {
            request.shape = &shape;
            break;
        }
        drawn -= shape.share;
    }
    const bool hot = state.draw() < state.pattern.hotShare;
    request.promptTokens = static_cast<int>(request.shape->promptTokens * (hot ? state.pattern.promptFactor : 1));
    request.eager = state.draw() < state.pattern.eagerShare;
    request.mostTries = request.eager ? EagerTries : request.mostTries;
    request.leavesAt = state.draw() < state.pattern.leavingShare ? at + LeavingMs * state.draw() : 0;
    drawLengths(state, request);
    state.requests.push_back(request);
    state.at(at, [&state, id] { beginTry(state, id); });
    planGivingUp(state, id, at + GapMs);
    if (request.leavesAt > 0) {
        state.at(request.leavesAt, [&state, id] { end(state, id, ReplayEnd::Left); });
    }
}

void tick(ReplayState &state)
{
    for (ReplayEntry &entry : state.entries) {
        serving::expireListings(entry.table, state.clock());
        dispatchWaiting(state, entry);
    }
    const double next = state.now + TickMs;
    const auto second = static_cast<std::size_t>(state.now / MillisInSecond);
    if (static_cast<std::size_t>(next / MillisInSecond) > second && second < state.outcome.seconds.size()) {
        ReplaySecond &row = state.outcome.seconds[second];
        double held = 0;
        double slots = 0;
        for (const ReplayEngine &engine : state.engines) {
            held += engine.serves ? engine.model.running() + engine.model.queued() : 0;
            slots += engine.serves ? state.pattern.engine.slots : 0;
        }
        row.occupancy = slots > 0 ? held / slots : 0;
        for (const ReplayEntry &entry : state.entries) {
            row.waiting += static_cast<int>(entry.waiting.size());
        }
    }
    if (next < state.endsAt()) {
        state.at(next, [&state] { tick(state); });
    }
}

void workOutBound(ReplayState &state)
{
    std::vector<BoundRequest> all;
    for (const ReplayRequest &request : state.requests) {
        if (request.leavesAt == 0) {
            all.push_back({.at = request.firstTryAt,
                           .worth = request.shape->worth,
                           .engineMs = engineTimeOf(state.pattern.engine, request.promptTokens, request.answerTokens)});
        }
    }
    state.outcome.worthBound = workBound(all, state.engineSeconds);
}

} // namespace

ReplayState::ReplayState(const LoadPattern &loadPattern, const LoadPolicy &loadPolicy, std::uint64_t seed)
    : pattern(loadPattern)
    , policy(loadPolicy)
    , random(seed)
{
    for (int n = 0; n < pattern.entryVms; ++n) {
        entries.push_back({.domain = std::to_string(n % Domains)});
    }
    for (const RequestShape &shape : pattern.shapes) {
        desired.routes.push_back({.priority = shape.priority, .services = {{.service = "s"}}});
    }
    outcome.seconds.resize(static_cast<std::size_t>(pattern.length / Millis{1000}));
}

void ReplayState::at(double time, std::function<void()> action)
{
    events.emplace(EventKey{.at = time, .number = planned++}, std::move(action));
}

Millis ReplayState::clock() const
{
    // Decisions take zero for "never", so that the replay begins later.
    constexpr std::int64_t Start = 100000;
    return Millis{Start + static_cast<std::int64_t>(now)};
}

double ReplayState::endsAt() const
{
    return static_cast<double>(pattern.length.count()) + DeadlineMs;
}

double ReplayState::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

void startCallers(ReplayState &state)
{
    const auto length = static_cast<double>(state.pattern.length.count());
    double at = 0;
    while (true) {
        const double rate = state.pattern.rate(at / MillisInSecond) / MillisInSecond;
        at += std::exponential_distribution<double>(rate)(state.random);
        if (at >= length) {
            break;
        }
        arrive(state, at);
    }
    classifySizes(state);
    workOutBound(state);
    state.at(0, [&state] { tick(state); });
}

void dispatch(ReplayState &state, std::uint64_t id)
{
    ReplayRequest &request = state.requests[id];
    if (request.ended) {
        return;
    }
    const serving::Placement placement = placementOf(state, request);
    const serving::AdmissionRequest asked{.receivedAt = state.clock()
                                              - Millis{static_cast<std::int64_t>(state.now - request.tryAt)},
                                          .latencyObjective = request.shape->goal,
                                          .late = state.policy.refusesLate && isLate(state, request),
                                          .urgentKind = isUrgent(urgency(state, request)),
                                          .now = state.clock()};
    switch (serving::admit(asked, placement, state.policy.admission)) {
    case serving::AdmissionDecision::Send:
        send(state, id, *placement.target);
        return;
    case serving::AdmissionDecision::Wait:
        entryOf(state, request)
            .waiting.emplace(
                serving::WaitingRank{
                    .priority = urgency(state, request).rank,
                    .firstAttempt = !state.policy.ordersBySlack || request.tries <= 1,
                    .dueAt = Millis{state.policy.ordersBySlack ? static_cast<std::int64_t>(dueAt(state, request)) : 0},
                    .arrival = id},
                id);
        return;
    case serving::AdmissionDecision::RefuseFull:
    case serving::AdmissionDecision::RefuseBackingOff: // The replayed engines ask for no pauses.
        refuse(state, id, serving::RefusalCause::Full);
        return;
    case serving::AdmissionDecision::RefuseNotPermitted: // The replayed requests aren't restricted to regions.
    case serving::AdmissionDecision::RefuseNoTarget:
        refuse(state, id, serving::RefusalCause::NoUsableTarget);
        return;
    }
}

void dispatchWaiting(ReplayState &state, ReplayEntry &entry)
{
    auto waiting = std::exchange(entry.waiting, {});
    for (const auto &[rank, id] : waiting) {
        dispatch(state, id);
    }
}

void takeEvent(ReplayState &state, const EngineEvent &event)
{
    ReplayRequest &request = state.requests[event.id];
    if (request.ended || request.engine < 0) {
        return;
    }
    if (request.firstEventAt < 0) {
        request.firstEventAt = state.now;
    } else {
        request.longestPause = std::max(request.longestPause, state.now - request.lastEventAt);
    }
    request.lastEventAt = state.now;
    if (!event.last) {
        return;
    }
    const bool onTime = request.firstEventAt - request.firstTryAt <= static_cast<double>(request.shape->goal.count())
        && request.longestPause <= PauseMs;
    ReplayEntry &entry = entryOf(state, request);
    end(state, event.id, onTime ? ReplayEnd::OnTime : ReplayEnd::Late);
    dispatchWaiting(state, entry);
}

void takeFailure(ReplayState &state, std::uint64_t id, bool notRun)
{
    ReplayRequest &request = state.requests[id];
    if (request.ended) {
        return;
    }
    takeFromEngine(state, id);
    if (notRun) {
        refuse(state, id, serving::RefusalCause::Full);
    } else {
        dispatch(state, id); // Streams go on elsewhere.
    }
}

} // namespace ibislock::lab
