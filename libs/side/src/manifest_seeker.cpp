#include "manifest_seeker.h"

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

ManifestSeeker::ManifestSeeker(asio::io_context &loop, net::HttpClient &client, PieceExchange &exchange,
                               std::string self, std::string domain, SpreadMembers members)
    : m_loop(loop)
    , m_client(client)
    , m_exchange(exchange)
    , m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_members(std::move(members))
{
}

void ManifestSeeker::begin(const WeightsGoal &goal, std::function<void(std::vector<Digest>)> found)
{
    stop();
    m_goal = goal;
    m_found = std::move(found);
}

void ManifestSeeker::stop()
{
    ++m_round;
    m_found = nullptr;
    m_asked = false;
}

void ManifestSeeker::step()
{
    if (m_found && !m_asked && steadyMillis() >= m_nextAsk) {
        ask();
    }
}

void ManifestSeeker::ask()
{
    m_asked = true;
    std::vector<weights::DistributionMember> members = m_members(m_goal.version);
    for (weights::DistributionMember &member : members) {
        member.hasVersion =
            false; // A VM that has loaded a version may lack its manifest, e.g. after all VMs started at once.
    }
    m_sources = weights::pieceSources(peer::ManifestIndex, m_self, m_domain, members);
    askSource(0, false);
}

void ManifestSeeker::askSource(std::size_t at, bool lostBefore)
{
    if (at >= m_sources.size() || m_sources[at].vm.empty()) {
        askOrigin();
        return;
    }
    const weights::PieceSource &source = m_sources[at];
    const Millis wait = source.isFetching || (lostBefore && source.isSubstitute) ? ManifestWait : Millis{0};
    const Millis askedAt = steadyMillis();
    m_exchange.ask(source.vm,
                   {.model = m_goal.model,
                    .version = m_goal.version,
                    .index = peer::ManifestIndex,
                    .waitMs = static_cast<std::uint32_t>(wait.count())},
                   wait + AnswerMargin,
                   [this, round = m_round, at, wait, askedAt](const std::optional<peer::PieceMessage> &answer) {
                       if (round != m_round) {
                           return;
                       }
                       if (answer && answer->content == peer::PieceContent::Manifest && !answer->digests.empty()) {
                           take(answer->digests);
                       } else {
                           const bool lost = !answer && steadyMillis() - askedAt < wait;
                           askSource(at + 1, lost);
                       }
                   });
}

void ManifestSeeker::askOrigin()
{
    callOrigin(m_loop, m_client, m_goal.origin, platform::makeManifestRequest(m_goal.model, m_goal.version),
               [this, round = m_round](int status, const std::string &body) {
                   if (round != m_round) {
                       return;
                   }
                   auto manifest = status == OkStatus ? platform::decodeManifest(body)
                                                      : Result<platform::WeightsManifest>(failure(
                                                          ErrorCode::Unavailable, "status " + std::to_string(status)));
                   if (manifest && manifest->version == m_goal.version && manifest->model == m_goal.model) {
                       take(std::move(manifest->digests));
                       return;
                   }
                   logWarning(LogComponent::Side, "Fetching the manifest from the origin failed.",
                              {{"version", std::to_string(m_goal.version)},
                               {"cause", manifest ? "another version" : manifest.error().message}});
                   m_asked = false;
                   m_nextAsk = steadyMillis() + RetryTime;
               });
}

void ManifestSeeker::take(std::vector<Digest> digests)
{
    const auto found = std::exchange(m_found, nullptr);
    stop();
    found(std::move(digests));
}

} // namespace ibislock::side
