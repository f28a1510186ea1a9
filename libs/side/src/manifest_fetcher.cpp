#include "manifest_fetcher.h"

#include "ibislock/base/log.h"
#include "origin_call.h"

#include <algorithm>

namespace ibislock::side
{

namespace
{

/// Long-poll time of a VM that is fetching the manifest itself: it may learn of the announcement about 500 ms later,
/// and then requests the manifest from another VM or the origin.
constexpr Millis ManifestWait{1500};

/// How much longer the timeout of a request is than its long-poll time.
constexpr Millis AnswerMargin{700};

/// How long sources that are expected to respond at once are waited for, before this VM turns to the origin.
constexpr Millis SourcesTime{200};

/// Time after which the next VM in the order replaces one that responds but doesn't deliver. A manifest takes the
/// origin's link some 10 ms, so that one too many costs little.
constexpr Millis ManifestDutyTime{500};

/// Delay before a manifest that no source delivered is requested again.
constexpr Millis RetryTime{250};

/// How many equal manifests of the origin make it usable; they are requested at the same time, so that this takes no
/// longer than one.
constexpr int EqualManifests = 2;

/// Different manifests of which the origin sends one again at most; with more, all are discarded.
constexpr std::size_t MaxCandidates = 8;

/// Maximum size of a manifest; each piece takes some 70 bytes in it.
constexpr std::size_t MaxManifestBytes = 1U << 20U;

/// Timeout of a request after one to which the origin didn't respond.
constexpr Millis ProbeTimeout{700};

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
    , m_random(systemRandom())
{
}

void ManifestFetcher::begin(const DesiredWeights &desired, ManifestSource source,
                            std::function<void(std::vector<Digest>)> onFound)
{
    stop();
    m_desired = desired;
    m_source = source;
    m_found = std::move(onFound);
    m_startedAt = steadyMillis();
    m_failures = 0;
}

void ManifestFetcher::stop()
{
    ++m_generation;
    m_found = nullptr;
    m_originActive = false;
    m_asked.clear();
    m_awaited.clear();
    m_turnAt = Millis{0};
    m_candidates.clear();
    m_originCalls = 0;
}

void ManifestFetcher::step()
{
    const Millis now = steadyMillis();
    if (!m_found || m_originActive || now < m_nextAttemptAt) {
        return;
    }
    if (m_source == ManifestSource::Origin || !m_candidates.empty()) {
        requestFromOrigin();
    } else if (m_turnAt == Millis{0}) {
        askSources();
    } else if (now >= m_turnAt) {
        requestAtTurn();
    }
}

void ManifestFetcher::askSources()
{
    std::vector<weights::DistributionMember> members = m_members(m_desired.version);
    for (weights::DistributionMember &member : members) {
        member.hasVersion =
            false; // A VM that has loaded a version may lack its manifest, e.g. after all VMs started at once.
    }
    m_rank = weights::originRank(peer::ManifestIndex, m_self, m_domain, members);
    std::vector<weights::PieceSource> sources = weights::pieceSources(peer::ManifestIndex, m_self, m_domain, members);
    std::erase_if(sources, [](const weights::PieceSource &source) { return source.vm.empty(); });
    if (!isFresh(m_desired, steadyMillis())) {
        for (const std::string &vm : m_rank.juniors) {
            sources.push_back({.vm = vm});
        }
    }
    m_turnAt = steadyMillis() + SourcesTime;
    m_awaited.clear();
    for (const weights::PieceSource &source : sources) {
        if (!m_asked.contains(source.vm) && m_exchange.stateOf(source.vm) != PeerState::Unreachable) {
            askSource(source);
        }
    }
    if (m_awaited.empty()) {
        requestAtTurn();
    }
}

void ManifestFetcher::askSource(const weights::PieceSource &source)
{
    const Millis wait = source.isFetching ? ManifestWait : Millis{0};
    m_asked.insert(source.vm);
    if (!source.isFetching) {
        m_awaited.insert(source.vm);
    }
    m_exchange.request(source.vm,
                       {.model = m_desired.model,
                        .version = m_desired.version,
                        .index = peer::ManifestIndex,
                        .waitMs = static_cast<std::uint32_t>(wait.count())},
                       wait + AnswerMargin,
                       [this, generation = m_generation, vm = source.vm,
                        askedAt = steadyMillis()](const std::optional<peer::PieceMessage> &answer) {
                           if (generation == m_generation) {
                               handleSourceResponse(vm, askedAt, answer);
                           }
                       });
}

void ManifestFetcher::handleSourceResponse(const std::string &vm, Millis askedAt,
                                           const std::optional<peer::PieceMessage> &answer)
{
    m_asked.erase(vm);
    const bool wasAwaited = m_awaited.erase(vm) > 0;
    if (answer && answer->content == peer::PieceContent::Manifest && hasAllPieces(answer->digests)) {
        finish(answer->digests, vm);
        return;
    }
    logInfo(LogComponent::Side, "A VM didn't deliver the manifest.",
            {{"version", std::to_string(m_desired.version)},
             {"vm", vm},
             {"cause", answer ? "missing" : "no answer"},
             {"waited_ms", std::to_string((steadyMillis() - askedAt).count())}});
    if (wasAwaited && m_awaited.empty() && m_turnAt > Millis{0} && !m_originActive) {
        requestAtTurn();
    }
}

void ManifestFetcher::requestAtTurn()
{
    m_turnAt = Millis{0};
    m_awaited.clear();
    // A VM that responds but doesn't deliver is replaced for some time by each of the others in turn.
    const Millis waited = steadyMillis() - m_startedAt;
    if (weights::isOnDuty(m_rank.overall, m_rank.vms, waited, ManifestDutyTime) || areSeniorsOut()) {
        requestFromOrigin();
    } else {
        retryLater(RetryTime);
    }
}

bool ManifestFetcher::areSeniorsOut()
{
    bool out = true;
    for (const auto *seniors : {&m_rank.domainSeniors, &m_rank.otherSeniors}) {
        for (const std::string &vm : *seniors) {
            const PeerState state = m_exchange.stateOf(vm);
            out = out && state == PeerState::Unreachable;
            if (state == PeerState::Unknown) {
                m_exchange.check(vm, m_desired.model, m_desired.version);
            }
            if (state == PeerState::Responding) {
                break;
            }
        }
    }
    return out;
}

void ManifestFetcher::retryLater(Millis delay)
{
    m_originActive = false;
    m_nextAttemptAt = steadyMillis() + jittered(m_random, delay);
}

void ManifestFetcher::requestFromOrigin()
{
    m_originActive = true;
    // While the origin doesn't respond, one call at a time is enough to notice that it does again.
    const int calls = m_candidates.empty() && m_failures == 0 ? EqualManifests : 1;
    for (int n = 0; n < calls; ++n) {
        callManifestOrigin();
    }
}

void ManifestFetcher::callManifestOrigin()
{
    ++m_originCalls;
    callOrigin(m_loop, m_client, m_desired.origin, platform::makeManifestRequest(m_desired.model, m_desired.version),
               MaxManifestBytes, m_failures > 0 ? ProbeTimeout : OriginTimeout,
               [this, generation = m_generation](int status, const std::string &body) {
                   if (generation == m_generation) {
                       --m_originCalls;
                       handleOriginResponse(status, body);
                   }
               });
}

void ManifestFetcher::handleOriginResponse(int status, const std::string &body)
{
    auto digests = usableDigests(status, body);
    if (digests && std::find(m_candidates.begin(), m_candidates.end(), *digests) != m_candidates.end()) {
        finish(std::move(*digests), "");
        return;
    }
    if (digests) {
        m_candidates.push_back(std::move(*digests));
    } else {
        logWarning(LogComponent::Side, "Fetching the manifest from the origin failed.",
                   {{"version", std::to_string(m_desired.version)}, {"cause", digests.error().message}});
    }
    if (m_originCalls > 0) {
        return;
    }
    if (m_candidates.size() > 1) {
        logWarning(
            LogComponent::Side, "The origin has sent different manifests; requesting it again.",
            {{"version", std::to_string(m_desired.version)}, {"different", std::to_string(m_candidates.size())}});
    }
    if (m_candidates.size() >= MaxCandidates) {
        m_candidates.clear();
    }
    if (digests && !m_candidates.empty()) {
        callManifestOrigin();
        return;
    }
    m_failures = status == OkStatus ? 0 : m_failures + 1;
    retryLater(m_failures > 0 ? weights::originRetryDelay(m_failures, m_random) : RetryTime);
}

Result<std::vector<Digest>> ManifestFetcher::usableDigests(int status, const std::string &body) const
{
    if (status != OkStatus) {
        return failure(ErrorCode::Unavailable, "status " + std::to_string(status));
    }
    auto manifest = platform::decodeManifest(body);
    if (!manifest) {
        return tl::unexpected(manifest.error());
    }
    if (manifest->version != m_desired.version || manifest->model != m_desired.model) {
        return failure(ErrorCode::Corrupt, "another version");
    }
    if (!hasAllPieces(manifest->digests)) {
        return failure(ErrorCode::Corrupt,
                       std::to_string(manifest->digests.size()) + " pieces of " + std::to_string(m_desired.pieces));
    }
    return std::move(manifest->digests);
}

bool ManifestFetcher::hasAllPieces(const std::vector<Digest> &digests) const
{
    // A list that is too short would pass off an incomplete version as complete.
    return !digests.empty() && (m_desired.pieces == 0 || digests.size() == static_cast<std::size_t>(m_desired.pieces));
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
