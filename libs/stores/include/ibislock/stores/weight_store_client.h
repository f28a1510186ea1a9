// The platform's rate-limited weight store, which draws on the origin of weights.

#pragma once

#include "ibislock/stores/http_endpoint.h"
#include "ibislock/weights/manifest.h"

namespace ibislock::stores
{

/// A connection to the store. Not safe for use from several threads at once.
class WeightStoreClient
{
public:
    explicit WeightStoreClient(const EndpointOptions &options);

    /// Reads a version's manifest. The caller compares its root digest with the ticket's.
    Result<weights::Manifest> manifest(const std::string &model, const std::string &version);

    /// Reads one chunk. The caller verifies it.
    Result<std::string> chunk(const std::string &model, const std::string &version, std::size_t index);

    /// Breaks a call in progress off. Safe from any thread.
    void stop();

private:
    HttpEndpoint m_endpoint;
};

} // namespace ibislock::stores
