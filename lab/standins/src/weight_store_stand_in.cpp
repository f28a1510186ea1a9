#include "ibislock/standins/weight_store_stand_in.h"

#include <cstring>

namespace ibislock::standins
{

namespace
{

std::string randomContent(std::uint64_t size, std::uint64_t seed)
{
    Random random(seed);
    std::string content(size, '\0');
    for (std::uint64_t at = 0; at < size; at += sizeof(std::uint64_t)) {
        const std::uint64_t word = random();
        std::memcpy(content.data() + at, &word, std::min<std::uint64_t>(sizeof(word), size - at));
    }
    return content;
}

} // namespace

WeightStoreStandIn::WeightStoreStandIn(std::uint64_t seed, unsigned threads)
    : m_server(threads, seed)
{
    m_server.get(
        "/weights/([^/]+)/([^/]+)/manifest",
        [this](const httplib::Request &request, httplib::Response &response) { handleManifest(request, response); });
    m_server.get(
        R"(/weights/([^/]+)/([^/]+)/chunks/(\d+))",
        [this](const httplib::Request &request, httplib::Response &response) { handleChunk(request, response); });
}

WeightStoreStandIn::~WeightStoreStandIn()
{
    stop();
}

void WeightStoreStandIn::start()
{
    m_server.start();
}

void WeightStoreStandIn::stop()
{
    m_server.stop();
}

std::string WeightStoreStandIn::url() const
{
    return m_server.url();
}

Faults &WeightStoreStandIn::faults()
{
    return m_server.faults();
}

void WeightStoreStandIn::setRate(const weights::RateOptions &options)
{
    const std::lock_guard lock(m_mutex);
    m_bucket = weights::makeBucket(options, steadyMillis());
}

void WeightStoreStandIn::setCorruption(double probability)
{
    m_corruption = probability;
}

Digest WeightStoreStandIn::addVersion(const std::string &model, const std::string &version, std::uint64_t sizeBytes,
                                      std::uint64_t chunkBytes, std::uint64_t seed)
{
    auto added = std::make_shared<Version>();
    added->content = randomContent(sizeBytes, seed);
    added->manifest = weights::makeManifest(model, version, added->content, chunkBytes);
    const Digest root = weights::rootDigest(added->manifest);
    const std::lock_guard lock(m_mutex);
    m_versions[{model, version}] = std::move(added);
    return root;
}

std::uint64_t WeightStoreStandIn::sentBytes() const
{
    return m_sentBytes;
}

WeightStoreStandIn::VersionPointer WeightStoreStandIn::find(const httplib::Request &request)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_versions.find({request.matches[1].str(), request.matches[2].str()});
    return it == m_versions.end() ? nullptr : it->second;
}

void WeightStoreStandIn::handleManifest(const httplib::Request &request, httplib::Response &response)
{
    const VersionPointer version = find(request);
    if (!version) {
        response.status = 404;
        return;
    }
    response.set_content(weights::manifestToJson(version->manifest), "application/json");
}

void WeightStoreStandIn::handleChunk(const httplib::Request &request, httplib::Response &response)
{
    const VersionPointer version = find(request);
    const std::uint64_t index = std::strtoull(request.matches[3].str().c_str(), nullptr, 10);
    if (!version || index >= version->manifest.chunks.size()) {
        response.status = 404;
        return;
    }
    std::string bytes = version->content.substr(index * version->manifest.chunkBytes, version->manifest.chunkBytes);
    Millis wait{0};
    {
        const std::lock_guard lock(m_mutex);
        wait = weights::reserve(m_bucket, bytes.size(), steadyMillis());
    }
    std::this_thread::sleep_for(wait);
    if (m_server.happens(m_corruption)) {
        bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 1);
    }
    m_sentBytes += bytes.size();
    response.set_content(bytes, "application/octet-stream");
}

} // namespace ibislock::standins
