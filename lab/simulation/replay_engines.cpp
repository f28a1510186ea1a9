#include "simulation/replay_state.h"

#include <algorithm>

namespace ibislock::lab
{

namespace
{

/// Between two reports of an engine's VM.
constexpr double ReportMs = 100;

/// How long the listing of a lost engine stays: three heartbeats.
constexpr double LapseMs = 3600;

constexpr double MillisInSecond = 1000;

std::string idOf(int engine)
{
    return "e" + std::to_string(engine);
}

void planPass(ReplayState &state, int index);

void endPass(ReplayState &state, int index)
{
    for (const EngineEvent &event : state.engines[static_cast<std::size_t>(index)].model.finishPass()) {
        state.at(state.now + WayMs, [&state, event] { takeEvent(state, event); });
    }
    planPass(state, index);
}

void planPass(ReplayState &state, int index)
{
    ReplayEngine &engine = state.engines[static_cast<std::size_t>(index)];
    const std::uint64_t plan = ++engine.planned;
    const auto end = engine.model.passEnd();
    if (!end || engine.frozen) {
        return;
    }
    state.at(std::max(*end, state.now), [&state, index, plan] {
        if (state.engines[static_cast<std::size_t>(index)].planned == plan) {
            endPass(state, index);
        }
    });
}

void listEngine(ReplayState &state, int index)
{
    for (ReplayEntry &entry : state.entries) {
        serving::applyEntry(entry.table, idOf(index),
                            serving::TargetEntry{.id = idOf(index),
                                                 .service = "s",
                                                 .address = "10.0.0.1:" + std::to_string(index + 1),
                                                 .domain = std::to_string(index % Domains),
                                                 .slots = state.pattern.engine.slots,
                                                 .models = {{"m", 1}}},
                            state.clock());
    }
}

void report(ReplayState &state, int index)
{
    const ReplayEngine &engine = state.engines[static_cast<std::size_t>(index)];
    if (!engine.serves || state.now > state.endsAt()) {
        return;
    }
    state.at(state.now + ReportMs, [&state, index] { report(state, index); });
    if (engine.frozen) {
        return;
    }
    const serving::TargetLoad load{
        .running = engine.model.running(), .queued = engine.model.queued(), .version = 1, .loading = engine.loading};
    for (std::size_t n = 0; n < state.entries.size(); ++n) {
        if (state.draw() < state.pattern.reportLoss) {
            continue;
        }
        const auto jitter = static_cast<double>(state.pattern.reportJitter.count());
        const double delay =
            static_cast<double>(state.pattern.reportDelay.count()) + (jitter > 0 ? jitter * state.draw() : 0);
        state.at(state.now + delay, [&state, index, n, load] {
            ReplayEntry &entry = state.entries[n];
            serving::TargetLoad arrived = load;
            arrived.receivedAt = state.clock();
            serving::applyLoad(entry.table, idOf(index), arrived, state.clock() - state.policy.unseen);
            dispatchWaiting(state, entry);
        });
    }
}

void join(ReplayState &state, int index)
{
    state.engines[static_cast<std::size_t>(index)].serves = true;
    listEngine(state, index);
    report(state, index);
}

void leave(ReplayState &state, int index)
{
    ReplayEngine &engine = state.engines[static_cast<std::size_t>(index)];
    engine.serves = false;
    ++engine.planned;
    for (const std::uint64_t id : engine.model.clear()) {
        state.at(state.now + WayMs, [&state, id] { takeFailure(state, id, false); });
    }
    state.at(state.now + LapseMs, [&state, index] {
        for (ReplayEntry &entry : state.entries) {
            serving::applyEntry(entry.table, idOf(index), std::nullopt, state.clock());
        }
    });
}

void apply(ReplayState &state, const EngineStep &step)
{
    ReplayEngine &engine = state.engines[static_cast<std::size_t>(step.engine)];
    switch (step.change) {
    case EngineChange::Join:
        join(state, step.engine);
        return;
    case EngineChange::Leave:
        leave(state, step.engine);
        return;
    case EngineChange::Freeze:
        engine.frozen = true;
        ++engine.planned;
        return;
    case EngineChange::Thaw:
        engine.frozen = false;
        break;
    case EngineChange::Slow:
        engine.model.setPace(step.pace);
        return;
    case EngineChange::BeginLoad:
        engine.loading = true;
        engine.model.setAdmitting(false, state.now);
        return;
    case EngineChange::EndLoad:
        engine.loading = false;
        engine.model.setAdmitting(true, state.now);
        break;
    }
    planPass(state, step.engine);
}

/// How many engines serve in each second, for the bound.
std::vector<double> engineSecondsOf(const LoadPattern &pattern)
{
    std::vector<double> out(static_cast<std::size_t>(pattern.length / Millis{1000}), pattern.engines);
    for (const EngineStep &step : pattern.steps) {
        const double from = static_cast<double>(step.at.count()) / MillisInSecond;
        const bool up = step.change == EngineChange::Join || step.change == EngineChange::Thaw;
        const bool down = step.change == EngineChange::Leave || step.change == EngineChange::Freeze;
        double change = up ? 1 : (down ? -1 : 0);
        if (step.change == EngineChange::Slow) {
            change = 1 / step.pace - 1;
        }
        for (std::size_t n = 0; n < out.size(); ++n) {
            out[n] += change * std::clamp(static_cast<double>(n) + 1 - from, 0.0, 1.0);
        }
    }
    return out;
}

int enginePriorityOf(const ReplayState &state, const ReplayRequest &request)
{
    constexpr int Default = 5;
    const int priority =
        state.policy.reserves ? enginePriority(serving::urgencyOf(state.desired, "s", request.shape->priority)) : -1;
    return priority >= 0 ? priority : Default;
}

} // namespace

void startEngines(ReplayState &state)
{
    int count = state.pattern.engines;
    for (const EngineStep &step : state.pattern.steps) {
        count = std::max(count, step.engine + 1);
        state.at(static_cast<double>(step.at.count()), [&state, step] { apply(state, step); });
    }
    state.engines.assign(static_cast<std::size_t>(count), ReplayEngine(state.pattern.engine));
    state.engineSeconds = engineSecondsOf(state.pattern);
    for (int n = 0; n < state.pattern.engines; ++n) {
        // Reports of different engines are spread over the time between two.
        state.at(ReportMs * n / state.pattern.engines, [&state, n] { join(state, n); });
    }
}

void handToEngine(ReplayState &state, std::uint64_t id)
{
    const ReplayRequest &request = state.requests[id];
    ReplayEngine &engine = state.engines[static_cast<std::size_t>(request.engine)];
    if (!engine.serves) {
        state.at(state.now + WayMs, [&state, id] { takeFailure(state, id, true); });
        return;
    }
    const bool idle = !engine.model.passEnd();
    const bool taken = engine.model.add({.id = id,
                                         .promptTokens = request.promptTokens,
                                         .answerTokens = request.answerTokens,
                                         .priority = enginePriorityOf(state, request)},
                                        state.now);
    if (!taken) {
        ++state.outcome.rejected;
        state.at(state.now + WayMs, [&state, id] { takeFailure(state, id, true); });
    } else if (idle) {
        planPass(state, request.engine);
    }
}

void takeFromEngine(ReplayState &state, std::uint64_t id)
{
    ReplayRequest &request = state.requests[id];
    if (request.engine < 0) {
        return;
    }
    state.engines[static_cast<std::size_t>(request.engine)].model.drop(id);
    for (ReplayEntry &entry : state.entries) {
        const auto it = entry.table.targets.find(idOf(request.engine));
        if (&entry == &state.entries[static_cast<std::size_t>(request.entry)] && it != entry.table.targets.end()) {
            it->second.inFlight = std::max(0, it->second.inFlight - 1);
            recordEnd(it->second, state.clock());
        }
    }
    request.engine = -1;
}

} // namespace ibislock::lab
