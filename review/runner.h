// Stand-ins for runners: a plain service, and a model engine with its stage. Both list themselves in the store and
// write their listing again at each heartbeat.

#pragma once

#include "http.h"
#include "record.h"
#include "store.h"

#include <nlohmann/json.hpp>

namespace review
{

/// A request that a runner has run.
struct Run
{
    std::string attempt;
    std::string runner;
    std::string tenant;
    std::int64_t at = 0; ///< By the steady clock.
    std::int64_t version = 0; ///< Of the weights; 0 for plain services.
};

/// What the runners have run.
class Runs
{
public:
    void add(Run run);
    std::vector<Run> all();

private:
    std::mutex m_mutex;
    std::vector<Run> m_runs;
};

/// How a runner is listed.
struct RunnerOptions
{
    std::string ip;
    std::string zone;
    std::string service;
    int slots = 16;
    std::int64_t heartbeatMs = 1200;
};

/// What all runners have in common: an id, a server and a listing.
class Runner
{
public:
    Runner(Store &store, Record &record, Runs &runs, RunnerOptions options);
    virtual ~Runner() = default;
    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;

    /// Starts to write the listing.
    void start();

    /// Writes the listing once.
    void writeListing();

    /// Returns the listing as it would be written now.
    nlohmann::json listing();

    std::string id() const;
    std::string address() const;
    const RunnerOptions &options() const;

    std::atomic<bool> leaving{false}; ///< It is listed as draining, and says so in its answers; it serves on.

protected:
    virtual void handle(const Message &request, Channel &channel) = 0;

    /// Returns the version of the loaded weights; 0 for none, below 0 for a plain service.
    virtual std::int64_t listedVersion();

    /// Answers a request that names another runner with 421.
    /// @return whether it did.
    bool refuseMisdirected(const Message &request, Channel &channel);

    /// Returns the header fields of a response to a request that was run.
    std::vector<std::pair<std::string, std::string>> signedFields(const Message &request);

    Store &m_store;
    Record &m_record;
    Runs &m_runs;
    RunnerOptions m_options;
    std::string m_id;
    std::int64_t m_born;
    std::atomic<std::int64_t> m_writes{0};
    std::atomic<std::int64_t> m_answers{0};
    std::unique_ptr<HttpServer> m_server;
};

/// A plain service.
class PlainRunner : public Runner
{
public:
    using Runner::Runner;

    std::int64_t workMs = 15; ///< How long a request takes.

protected:
    void handle(const Message &request, Channel &channel) override;
};

/// The weights of a model, as the origin has them.
struct Weights
{
    std::string model;
    int pieces = 64;
    std::size_t pieceBytes = 32768;

    /// Returns the bytes of a piece of a version.
    std::string piece(std::int64_t version, int number) const;

    /// Returns the digest of a piece in hexadecimal.
    std::string digest(std::int64_t version, int number) const;
};

/// A model engine: streams events, and loads what is staged when it is ordered to.
class Engine : public Runner
{
public:
    /// It holds version 1, which is also staged.
    Engine(Store &store, Record &record, Runs &runs, RunnerOptions options, Weights weights);

    int events = 20;
    std::int64_t eventMs = 15; ///< Between two events.
    std::int64_t loadMs = 300;

    std::int64_t version();

    /// It is in trouble: reads of its stage are answered with bytes without end.
    std::atomic<bool> endlessStage{false};

protected:
    void handle(const Message &request, Channel &channel) override;
    std::int64_t listedVersion() override;

private:
    void order(const Message &request, Channel &channel);
    void stage(const Message &request, Channel &channel);
    void stream(const Message &request, Channel &channel);
    std::string report();

    Weights m_weights;
    std::mutex m_mutex;
    std::map<int, std::string> m_staged;
    std::int64_t m_version = 1;
    std::int64_t m_orders = 0;
    bool m_loading = false;
    int m_running = 0;
};

/// The origin of weights.
class Origin
{
public:
    Origin(const std::string &ip, Record &record, Weights weights);

    std::string address() const;

    std::atomic<std::int64_t> newest{1};
    double linkMbps = 9.9;

    /// The number of manifests of version 2 that are still to be sent with one wrong digit in a digest.
    std::atomic<int> manifestsToSpoil{0};

    std::atomic<int> manifests{0};
    std::atomic<int> pieces{0};

private:
    void handle(const Message &request, Channel &channel);
    void send(Channel &channel, const std::string &bytes);

    Record &m_record;
    Weights m_weights;
    std::mutex m_link;
    HttpServer m_server;
};

} // namespace review
