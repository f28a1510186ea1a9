// Stands in for the rate-limited weight store and its origin.
//
//     GET /weights/MODEL/VERSION/manifest
//     GET /weights/MODEL/VERSION/chunks/INDEX

#pragma once

#include "ibislock/standins/stand_in_server.h"
#include "ibislock/weights/manifest.h"
#include "ibislock/weights/token_bucket.h"

#include <map>

namespace ibislock::standins
{

/// The store.
class WeightStoreStandIn
{
public:
    explicit WeightStoreStandIn(std::uint64_t seed, unsigned threads = 256);
    ~WeightStoreStandIn();

    void start();
    void stop();
    std::string url() const;
    Faults &faults();

    /// Limits what the origin sends.
    void setRate(const weights::RateOptions &options);

    /// Corrupts chunks with some probability.
    void setCorruption(double probability);

    /// Adds a version with pseudo-random content, or replaces it.
    /// @return its root digest.
    Digest addVersion(const std::string &model, const std::string &version, std::uint64_t sizeBytes,
                      std::uint64_t chunkBytes, std::uint64_t seed);

    /// Gives the bytes of chunks that were sent.
    std::uint64_t sentBytes() const;

private:
    struct Version
    {
        weights::Manifest manifest;
        std::string content;
    };

    using VersionPointer = std::shared_ptr<const Version>;

    VersionPointer find(const httplib::Request &request);
    void handleManifest(const httplib::Request &request, httplib::Response &response);
    void handleChunk(const httplib::Request &request, httplib::Response &response);

    StandInServer m_server;
    std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, VersionPointer> m_versions;
    weights::TokenBucket m_bucket;
    std::atomic<double> m_corruption = 0;
    std::atomic<std::uint64_t> m_sentBytes = 0;
};

} // namespace ibislock::standins
