#include "dispatcher.h"

#include "ibislock/requests/idempotency_key.h"

#include <algorithm>

namespace ibislock::entry
{

namespace
{

constexpr std::size_t KeyNonceBytes = 16;

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::uint32_t blocksAt(const std::vector<requests::PrefixMatch> &matches, std::uint32_t target)
{
    const auto it = std::find_if(matches.begin(), matches.end(),
                                 [target](const requests::PrefixMatch &match) { return match.target == target; });
    return it == matches.end() ? 0 : it->blocks;
}

} // namespace

Dispatcher::Dispatcher(const EntryOptions &options, node::Node &node, rpc::Client &client, Counters &counters)
    : m_options(options)
    , m_node(node)
    , m_client(client)
    , m_counters(counters)
    , m_tables(node, m_loads)
    , m_route{.random = systemRandom()}
{
}

std::optional<Dispatcher::Chosen> Dispatcher::choose(const Choice &choice)
{
    const Millis now = steadyMillis();
    const auto table = m_tables.of(choice.request.workspace, choice.request.role, now);
    if (!table) {
        return std::nullopt;
    }
    const std::lock_guard lock(m_mutex);
    const auto matches = requests::findMatches(m_index, choice.prefix, now);
    std::vector<requests::Candidate> candidates;
    std::vector<const RoutedTarget *> targets;
    candidates.reserve(table->targets.size());
    targets.reserve(table->targets.size());
    for (const RoutedTarget &target : table->targets) {
        if (contains(choice.tried, target.vm) || (choice.sameVersion && target.manifest != choice.request.manifest)) {
            continue;
        }
        const bool avoid = target.load->avoidUntilMs > now.count();
        candidates.push_back({.sameDomain = target.sameDomain,
                              .saturated = target.holdsBack || avoid,
                              .load = loadOf(*target.load),
                              .prefixBlocks = blocksAt(matches, target.load->id),
                              .affinity = choice.prefix.empty()
                                  ? 0
                                  : requests::affinityOf(choice.prefix.front(), target.load->affinity)});
        targets.push_back(&target);
    }
    const auto chosen = requests::chooseTarget(m_options.policy, candidates, m_route);
    if (!chosen) {
        return std::nullopt;
    }
    const RoutedTarget &target = *targets[*chosen];
    requests::recordSend(m_index, choice.prefix, target.load->id, now);
    ++target.load->inProgress;
    return Chosen{.target = target, .believedBlocks = candidates[*chosen].prefixBlocks};
}

std::optional<RoutedTarget> Dispatcher::find(const requests::Request &request, const std::string &vm)
{
    const auto table = m_tables.of(request.workspace, request.role, steadyMillis());
    if (!table) {
        return std::nullopt;
    }
    const auto it = std::find_if(table->targets.begin(), table->targets.end(),
                                 [&](const RoutedTarget &target) { return target.vm == vm; });
    if (it == table->targets.end()) {
        return std::nullopt;
    }
    ++it->load->inProgress;
    return *it;
}

std::optional<std::string> Dispatcher::mintKey(const std::string &workspace, const std::string &role)
{
    const requests::Request request{.workspace = workspace, .role = role};
    const auto chosen = choose({.request = request, .prefix = {}, .tried = {}});
    if (!chosen) {
        return std::nullopt;
    }
    --chosen->target.load->inProgress;
    return requests::formatIdempotencyKey({.vm = chosen->target.vm,
                                           .incarnation = chosen->target.incarnation,
                                           .mintedAt = wallMillis(),
                                           .nonce = hexOf(secureRandomBytes(KeyNonceBytes))});
}

void Dispatcher::noteCached(const Chosen &chosen, std::uint32_t cachedBytes)
{
    const std::lock_guard lock(m_mutex);
    requests::recordCachedBlocks(m_index, chosen.target.load->id, chosen.believedBlocks,
                                 cachedBytes / static_cast<std::uint32_t>(requests::PrefixBlockBytes));
}

bool Dispatcher::drawRetry()
{
    const std::lock_guard lock(m_mutex);
    return requests::tryConsumeRetry(m_budget);
}

void Dispatcher::open()
{
    m_counters.add(Counter::RequestsReceived);
    {
        const std::lock_guard lock(m_mutex);
        requests::recordFirstAttempt(m_budget);
    }
    const std::lock_guard lock(m_openMutex);
    ++m_open;
}

void Dispatcher::close()
{
    const std::lock_guard lock(m_openMutex);
    --m_open;
    m_idle.notify_all();
}

std::uint32_t Dispatcher::waitUntilIdle(Millis timeout)
{
    std::unique_lock lock(m_openMutex);
    m_idle.wait_for(lock, timeout, [this] { return m_open == 0; });
    return m_open;
}

void Dispatcher::count(requests::Outcome outcome)
{
    using requests::Outcome;
    switch (outcome) {
    case Outcome::Answered:
        m_counters.add(Counter::RequestsAnswered);
        break;
    case Outcome::RefusedNotRun:
        m_counters.add(Counter::RequestsRefused);
        break;
    case Outcome::FailedAfterStart:
        m_counters.add(Counter::RequestsFailed);
        break;
    case Outcome::Unknown:
        m_counters.add(Counter::RequestsUnknown);
        break;
    }
}

} // namespace ibislock::entry
