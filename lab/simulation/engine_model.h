// A model of an engine that works on requests in batches, in virtual time: passes of some token steps for all that
// write, with prompts read in between. No I/O.
//
//     EngineModel engine({.slots = 16});
//     engine.add({.id = 1, .promptTokens = 979, .answerTokens = 92}, now);
//     while (auto end = engine.passEnd()) { for (const EngineEvent &event : engine.finishPass()) { ... } }

#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace ibislock::lab
{

/// What an engine is, from the description of the services.
struct EngineShape
{
    int slots = 16;
    int queue = 32; ///< Requests beyond the slots that wait inside.
    double stepMs = 9.27; ///< A token step.
    double stepMsPerRequest = 0.0232; ///< More for each request that writes.
    double stepMsPerThousandTokens = 0.0322; ///< More for the context of those.
    double promptTokensPerMs = 20.7;
    int chunkTokens = 2048; ///< Prompt tokens read in a pass at most.
    int stepsPerPass = 5;
};

/// A request as an engine sees it.
struct EngineRequest
{
    std::uint64_t id = 0;
    int promptTokens = 0;
    int answerTokens = 0;
    int priority = 5; ///< 0 is admitted to a slot first; within a priority the order is that of arrival.
};

/// Something that a pass brought to a request.
struct EngineEvent
{
    std::uint64_t id = 0;
    bool last = false;
};

/// The engine. Times are in milliseconds since the start of the replay.
class EngineModel
{
public:
    explicit EngineModel(const EngineShape &shape);

    /// Takes a request.
    /// @return false if the queue is full.
    bool add(const EngineRequest &request, double now);

    /// Drops a request, at work or waiting.
    void drop(std::uint64_t id);

    /// Drops all, as a crash does.
    /// @return the ids of what was dropped.
    std::vector<std::uint64_t> clear();

    /// Sets how many times longer everything takes.
    void setPace(double pace);

    /// Sets whether new requests are admitted to slots; those at work go on.
    void setAdmitting(bool admitting, double now);

    /// When the present pass ends; nothing if the engine is idle.
    std::optional<double> passEnd() const;

    /// Ends the present pass and begins the next.
    std::vector<EngineEvent> finishPass();

    int running() const;
    int queued() const;

private:
    struct Work
    {
        EngineRequest request;
        int read = 0;
        int written = 0;
    };

    void beginPass(double now);
    void fillSlots();

    EngineShape m_shape;
    std::vector<Work> m_running;
    std::deque<Work> m_waiting;
    std::optional<double> m_passEnd;
    double m_pace = 1;
    bool m_admitting = true;
};

} // namespace ibislock::lab
