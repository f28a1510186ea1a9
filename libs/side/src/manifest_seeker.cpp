#include "manifest_seeker.h"

#include "ibislock/base/log.h"
#include "origin_call.h"

namespace ibislock::side
{

namespace
{

/// How long a VM that is on its way to get the manifest is given: it may learn of the naming some 500 ms later, and
/// asks another VM or the origin itself.
constexpr Millis ManifestWait{1500};

/// How much longer an ask lasts than the asked VM may wait.
constexpr Millis AnswerMargin{700};

/// Until a manifest that no source gave is asked for again.
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
        member.hasVersion = false; // A VM that has loaded a version may not know its manifest, as after a start of all.
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
                   logWarning(LogComponent::Side, "The origin gave no manifest.",
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
