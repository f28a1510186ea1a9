#include "ibislock/stores/weight_store_client.h"

namespace ibislock::stores
{

namespace
{

std::string versionPath(const std::string &model, const std::string &version)
{
    return "/weights/" + model + "/" + version;
}

} // namespace

WeightStoreClient::WeightStoreClient(const EndpointOptions &options)
    : m_endpoint(options)
{
}

Result<weights::Manifest> WeightStoreClient::manifest(const std::string &model, const std::string &version)
{
    return m_endpoint.get(versionPath(model, version) + "/manifest").and_then(weights::manifestFromJson);
}

Result<std::string> WeightStoreClient::chunk(const std::string &model, const std::string &version, std::size_t index)
{
    return m_endpoint.get(versionPath(model, version) + "/chunks/" + std::to_string(index));
}

void WeightStoreClient::stop()
{
    m_endpoint.stop();
}

} // namespace ibislock::stores
