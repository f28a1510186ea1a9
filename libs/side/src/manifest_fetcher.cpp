#include "manifest_fetcher.h"

#include "ibislock/base/log.h"
#include "origin_call.h"

namespace ibislock::side
{

namespace
{

/// Long-poll time of a VM that is fetching the manifest itself: it may learn of the announcement about 500 ms later,
/// and then requests the manifest from another VM or the origin.
constexpr Millis ManifestWait{1500};

/// How much longer the timeout of a request is than its long-poll time.
constexpr Millis AnswerMargin{700};

/// Delay before a manifest that no source delivered is requested again.
constexpr Millis RetryTime{250};

constexpr int OkStatus = 200;

} // namespace

ManifestFetcher::ManifestFetcher(asio::io_context &loop, net::HttpClient &client, PieceExchange &exchange,
                                 std::string self, std::string domain, DistributionMembers members)
    : m_loop(loop)
    , m_client(client)
    , m_exchange(exchange)
    , m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_members(std::move(members))
{
}

void ManifestFetcher::begin(const DesiredWeights &desired, std::function<void(std::vector<Digest>)> onFound)
{
    stop();
    m_desired = desired;
    m_found = std::move(onFound);
}

void ManifestFetcher::stop()
{
    ++m_generation;
    m_found = nullptr;
    m_requestActive = false;
}

void ManifestFetcher::step()
{
    if (m_found && !m_requestActive && steadyMillis() >= m_nextAttemptAt) {
        startRequest();
    }
}

void ManifestFetcher::startRequest()
{
    m_requestActive = true;
    std::vector<weights::DistributionMember> members = m_members(m_desired.version);
    for (weights::DistributionMember &member : members) {
        member.hasVersion =
            false; // A VM that has loaded a version may lack its manifest, e.g. after all VMs started at once.
    }
    m_sources = weights::pieceSources(peer::ManifestIndex, m_self, m_domain, members);
    requestFromSource(0, false);
}

void ManifestFetcher::requestFromSource(std::size_t sourceIndex, bool previousUnreachable)
{
    if (sourceIndex >= m_sources.size() || m_sources[sourceIndex].vm.empty()) {
        requestFromOrigin();
        return;
    }
    const weights::PieceSource &source = m_sources[sourceIndex];
    const Millis wait = source.isFetching || (previousUnreachable && source.isSubstitute) ? ManifestWait : Millis{0};
    const Millis askedAt = steadyMillis();
    m_exchange.request(
        source.vm,
        {.model = m_desired.model,
         .version = m_desired.version,
         .index = peer::ManifestIndex,
         .waitMs = static_cast<std::uint32_t>(wait.count())},
        wait + AnswerMargin,
        [this, generation = m_generation, sourceIndex, wait, askedAt](const std::optional<peer::PieceMessage> &answer) {
            if (generation != m_generation) {
                return;
            }
            if (answer && answer->content == peer::PieceContent::Manifest && !answer->digests.empty()) {
                finish(answer->digests, m_sources[sourceIndex].vm);
            } else {
                const bool unreachable = !answer && steadyMillis() - askedAt < wait;
                requestFromSource(sourceIndex + 1, unreachable);
            }
        });
}

void ManifestFetcher::requestFromOrigin()
{
    callOrigin(m_loop, m_client, m_desired.origin, platform::makeManifestRequest(m_desired.model, m_desired.version),
               [this, generation = m_generation](int status, const std::string &body) {
                   if (generation != m_generation) {
                       return;
                   }
                   auto manifest = status == OkStatus ? platform::decodeManifest(body)
                                                      : Result<platform::WeightsManifest>(failure(
                                                          ErrorCode::Unavailable, "status " + std::to_string(status)));
                   if (manifest && manifest->version == m_desired.version && manifest->model == m_desired.model) {
                       finish(std::move(manifest->digests), "");
                       return;
                   }
                   logWarning(LogComponent::Side, "Fetching the manifest from the origin failed.",
                              {{"version", std::to_string(m_desired.version)},
                               {"cause", manifest ? "another version" : manifest.error().message}});
                   m_requestActive = false;
                   m_nextAttemptAt = steadyMillis() + RetryTime;
               });
}

void ManifestFetcher::finish(std::vector<Digest> digests, const std::string &source)
{
    std::string content;
    for (const Digest &digest : digests) {
        content += bytesOf(digest);
    }
    logInfo(LogComponent::Side, "A manifest was received.",
            {{"version", std::to_string(m_desired.version)},
             {"from", source.empty() ? "origin" : source},
             {"pieces", std::to_string(digests.size())},
             {"digest", toHex(sha256(content))}});
    const auto onFound = std::exchange(m_found, nullptr);
    stop();
    onFound(std::move(digests));
}

} // namespace ibislock::side
