// The platform's list of live and leaving VMs, which lags behind the truth.

#pragma once

#include "ibislock/membership/view.h"
#include "ibislock/stores/http_endpoint.h"

namespace ibislock::stores
{

/// A connection to the list. Not safe for use from several threads at once.
class VmListClient
{
public:
    explicit VmListClient(const EndpointOptions &options);

    /// Reads the list.
    Result<std::vector<membership::ListedVm>> read();

private:
    HttpEndpoint m_endpoint;
};

} // namespace ibislock::stores
