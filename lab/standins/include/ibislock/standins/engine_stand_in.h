// Stands in for a model engine.
//
//     PUT  /v1/weights/ROOT/INDEX          stages a chunk
//     POST /v1/orders {"order": "load", "root", "chunks", "fence", ...}
//     GET  /v1/status
//     POST /v1/completions, /v1/chat/completions
//     POST /v1/cancel {"request_id"}
//
// The engine serves whatever was staged: the weights that it names in its answers are worked out from the staged bytes,
// so mixed or partial weights show.

#pragma once

#include "ibislock/base/digest.h"
#include "ibislock/standins/engine_model.h"
#include "ibislock/standins/stand_in_server.h"

#include <map>
#include <set>
#include <vector>

namespace ibislock::standins
{

/// How an engine behaves.
struct EngineStandInOptions
{
    std::uint64_t seed = 1;
    unsigned threads = 96;
    bool honoursFence = true;
    Millis loadTime{50};
    Millis firstTokenTime{10};
    Millis tokenTime{2};
    unsigned slots = 64; ///< Requests generated for at the same time; the others wait in the engine.
    Millis prefillTime{0}; ///< For each block of the prompt that is not cached.
    std::size_t cacheBlocks = 4096; ///< Blocks that the prefix cache holds.
    Millis reportLag{50}; ///< How old the reported load may be.
};

/// What an engine did with a prompt's blocks.
struct CacheUse
{
    std::uint64_t blocks = 0;
    std::uint64_t cached = 0;
};

/// The engine.
class EngineStandIn
{
public:
    explicit EngineStandIn(const EngineStandInOptions &options);
    ~EngineStandIn();

    void start();
    void stop();
    std::string url() const;
    Faults &faults();

    /// Gives the weights that the engine serves.
    Digest root() const;

    /// Gives how many requests the engine started.
    std::uint64_t started() const;

    /// Tells whether the engine started a request with some prompt.
    bool hasRun(const std::string &prompt) const;

    /// Answers with the identity of another request, with some probability.
    void setCrossed(double probability);

    /// Answers once more what it answered last, with some probability.
    void setDuplicate(double probability);

    /// Leaves out what it knows of its prefix cache, with some probability.
    void setGappyEvents(double probability);

    /// Generates nothing for a time.
    void stall(Millis time);

    /// Tells whether a call was handed to this engine; calls name themselves in the field `user`.
    bool hasStarted(const std::string &user) const;

    /// Gives how long the engine took for a call; zero when it has not ended.
    std::chrono::microseconds durationOf(const std::string &user) const;

    /// Gives when the last call was handed over.
    Millis lastStartedAt() const;

    /// Gives what the prefix cache did so far.
    CacheUse cacheUse() const;

private:
    void handleStage(const httplib::Request &request, httplib::Response &response);
    void handleOrder(const httplib::Request &request, httplib::Response &response);
    void handleStatus(const httplib::Request &request, httplib::Response &response);
    void handleCompletion(const httplib::Request &request, httplib::Response &response);
    void handleCancel(const httplib::Request &request, httplib::Response &response);
    bool isCancelled(const std::string &requestId);
    void answerWhole(const std::shared_ptr<EngineCall> &call, httplib::Response &response);
    void answerStream(const std::shared_ptr<EngineCall> &call, httplib::Response &response);
    bool generate(const EngineCall &call, const std::function<bool(const std::string &token)> &emit);
    void begin(EngineCall &call);
    void end(const EngineCall &call);

    EngineStandInOptions m_options;
    StandInServer m_server;
    mutable std::mutex m_mutex;
    std::map<std::string, std::map<std::uint64_t, std::pair<std::uint64_t, Digest>>> m_staged;
    Digest m_root;
    std::uint64_t m_fence = 0;
    std::set<std::string> m_cancelled;
    std::map<std::string, std::chrono::microseconds> m_durations; ///< By user; zero while in progress.
    std::string m_lastId;
    Millis m_lastStartedAt{0};
    EngineSlots m_slots;
    PrefixCache m_cache;
    std::set<std::string> m_prompts;
    std::atomic<double> m_crossed = 0;
    std::atomic<double> m_duplicate = 0;
    std::atomic<double> m_gappyEvents = 0;
    std::atomic<std::int64_t> m_stalledUntilMs = 0;
    std::atomic<std::uint64_t> m_started = 0;
};

/// Gives the text of one token, which depends on the prompt and the position only; clients check it.
std::string expectedToken(const std::string &prompt, std::uint64_t position);

/// Gives the text of several tokens.
std::string expectedText(const std::string &prompt, std::uint64_t tokens);

} // namespace ibislock::standins
