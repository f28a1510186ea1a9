#include "gossip.h"

#include "ibislock/base/random.h"

#include <algorithm>

namespace ibislock::node
{

namespace
{

using membership::Member;
using membership::VmKind;

constexpr std::size_t DelegatesTried = 6; ///< Of a VM's order of delegates, before it gives up.
constexpr std::size_t NewsMax = 64; ///< In one message.
constexpr std::string_view ServingPhase = "serving";
constexpr Millis PhaseInterval{2000};
constexpr Millis BackOff{2000};
constexpr Millis TellInterval{100}; ///< Between two rounds of news to the watched VMs.
constexpr Millis ServedLifetime{2500};

membership::View viewOf(const NodeOptions &options)
{
    membership::View view;
    view.domain = options.domain;
    return view;
}

} // namespace

Gossip::Gossip(const NodeOptions &options, Counters &counters, rpc::Client &client, StateHolder &holder,
               LogFollower &follower)
    : m_options(options)
    , m_counters(counters)
    , m_client(client)
    , m_holder(holder)
    , m_follower(follower)
    , m_incarnation(newIncarnation())
    , m_view(viewOf(options))
{
    m_own = {.vm = options.vm,
             .domain = options.domain,
             .kind = options.kind,
             .incarnation = m_incarnation,
             .started = static_cast<std::uint64_t>(wallMillis().count())};
}

void Gossip::setReportSource(std::function<void(membership::Report &)> source)
{
    m_reportSource = std::move(source);
}

void Gossip::setAddress(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    m_own.address = address;
}

std::uint64_t Gossip::incarnation() const
{
    return m_incarnation;
}

bool Gossip::isEntry() const
{
    return m_options.kind == VmKind::Entry;
}

bool Gossip::isServedByOthers() const
{
    const std::lock_guard lock(m_mutex);
    return !isEntry() && steadyMillis() - m_servedAt < ServedLifetime;
}

void Gossip::applyList(const std::vector<membership::ListedVm> &listed)
{
    const std::lock_guard lock(m_mutex);
    membership::applyVmList(m_view, listed, m_options.view, steadyMillis());
}

/// Asks the daemon for its part of the own report. The caller must not hold the lock.
membership::Report Gossip::drawOwn() const
{
    membership::Report report;
    if (m_reportSource) {
        m_reportSource(report);
    }
    return report;
}

/// Brings the own report up to date. The caller holds the lock.
void Gossip::refreshOwn(const membership::Report &drawn, Millis now)
{
    const bool changesUse = (drawn.phase == ServingPhase) != (m_own.phase == ServingPhase)
        || drawn.ticket != m_own.ticket || drawn.serving != m_own.serving || drawn.leaving != m_own.leaving;
    // The steps between two versions change nothing for others, so that only those which last are told.
    const bool lasts = drawn.phase != m_own.phase && now - m_revisedAt > PhaseInterval;
    const bool changed = changesUse || lasts || m_own.revision == 0;
    const auto state = m_holder.state();
    m_own.phase = changed ? drawn.phase : m_own.phase;
    m_revisedAt = changed ? now : m_revisedAt;
    m_own.ticket = drawn.ticket;
    m_own.serving = drawn.serving;
    m_own.leaving = drawn.leaving;
    m_own.running = drawn.running;
    m_own.queued = drawn.queued;
    m_own.logOffset = state->next;
    m_own.revision += changed ? 1 : 0;
    ++m_own.sequence;
    membership::applyReport(m_view, m_own, m_options.view, now);
    m_beat = {.vm = m_own.vm,
              .domain = m_own.domain,
              .kind = m_own.kind,
              .incarnation = m_own.incarnation,
              .revision = m_own.revision,
              .sequence = m_own.sequence,
              .logOffset = m_own.logOffset,
              .lastTicket = state->lastTicket,
              .coveredTicket = m_own.coveredTicket,
              .running = m_own.running,
              .queued = m_own.queued,
              .logReachable = followsLog()};
}

bool Gossip::followsLog() const
{
    return isEntry() && m_follower.isReachable() && !m_follower.hasGap();
}

/// Gives the fingerprint of the view, worked out again only after a change. The caller holds the lock.
std::uint64_t Gossip::fingerprint()
{
    if (m_fingerprintOf != m_view.changeSequence) {
        m_fingerprint = membership::fingerprintOf(m_view);
        m_fingerprintOf = m_view.changeSequence;
    }
    return m_fingerprint;
}

void Gossip::addDomains(rpc::Exchange &message, Millis now) const
{
    for (const auto &[domain, asOf] : m_view.domainsConfirmedAt) {
        message.domains.push_back({.domain = domain, .age = now - asOf});
    }
}

/// Builds the message to a peer. The caller holds the lock.
rpc::Exchange Gossip::messageTo(const Peer &peer, const Member *member, Millis now)
{
    rpc::Exchange message{.from = m_beat,
                          .peerIncarnation = peer.incarnation,
                          .taken = peer.taken,
                          .fingerprint = fingerprint(),
                          .upTo = m_view.changeSequence};
    if (isEntry() && peer.incarnation != 0) {
        addNews(message, peer, member);
    }
    if (isEntry()) {
        addDomains(message, now);
    }
    addOwnReport(message, peer);
    return message;
}

/// Adds what the peer does not know yet. The caller holds the lock.
void Gossip::addNews(rpc::Exchange &message, const Peer &peer, const Member *member) const
{
    const bool isRemote = member != nullptr && member->isRemote;
    message.news = membership::updatesAfter(m_view, peer.acknowledged, isRemote, NewsMax, message.upTo);
    std::erase_if(message.news, [member](const membership::MembershipUpdate &news) {
        return member != nullptr && news.report.vm == member->report.vm && news.suspectedBy.empty();
    });
}

void Gossip::addOwnReport(rpc::Exchange &message, const Peer &peer) const
{
    const bool isAmong =
        std::any_of(message.news.begin(), message.news.end(),
                    [this](const membership::MembershipUpdate &news) { return news.report.vm == m_options.vm; });
    if (!isAmong && peer.toldRevision != m_own.revision) {
        message.news.push_back({.report = m_own, .suspectedBy = {}});
    }
}

/// Takes in a message. The caller holds the lock.
void Gossip::takeIn(const rpc::Exchange &received, Millis now)
{
    for (const membership::MembershipUpdate &news : received.news) {
        if (news.report.vm == m_options.vm) {
            defendOwn(news);
        } else {
            membership::applyUpdate(m_view, news, m_options.view, now);
        }
    }
    for (const rpc::DomainAge &word : received.domains) {
        if (word.domain != m_options.domain) {
            membership::refreshDomain(m_view, word.domain, now - word.age);
        }
    }
    if (received.from.kind == VmKind::Entry) {
        membership::refreshDomain(m_view, received.from.domain, now);
    }
}

/// Answers doubts about this VM, and reports of an earlier life that look newer, by a newer report.
void Gossip::defendOwn(const membership::MembershipUpdate &news)
{
    if (news.report.incarnation != m_incarnation && news.report.started >= m_own.started) {
        m_own.started = news.report.started + 1;
        ++m_own.revision;
    } else if (!news.suspectedBy.empty() && news.report.revision == m_own.revision) {
        ++m_own.revision;
    }
}

rpc::Exchange Gossip::answer(const rpc::Exchange &received)
{
    m_counters.add(Counter::Exchanges);
    const membership::Report drawn = drawOwn();
    const Millis now = steadyMillis();
    const std::lock_guard lock(m_mutex);
    const bool agrees = received.fingerprint == fingerprint();
    Peer &peer = m_peers[received.from.vm];
    if (peer.incarnation != received.from.incarnation) {
        peer = {.incarnation = received.from.incarnation};
    }
    takeIn(received, now);
    const bool known = membership::applyHeartbeat(m_view, received.from, m_options.view, now);
    refreshOwn(drawn, now);
    const bool isFirst = received.peerIncarnation != m_incarnation;
    const std::uint64_t before = isFirst ? 0 : peer.taken;
    peer.taken = isFirst && !agrees ? before : std::max(before, received.upTo);
    peer.acknowledged = isFirst ? 0 : received.taken;
    rpc::Exchange reply{.from = m_beat,
                        .peerIncarnation = peer.incarnation,
                        .taken = peer.taken,
                        .fingerprint = fingerprint(),
                        .upTo = m_view.changeSequence,
                        .wantsReport = !known};
    const Member *member = membership::find(m_view, received.from.vm);
    if (isEntry()) {
        if (!received.wantsNews) {
            reply.upTo = peer.acknowledged;
        } else if (!agrees || peer.acknowledged != 0) {
            addNews(reply, peer, member);
        }
        if (received.wantsNews) {
            addDomains(reply, now);
        }
    }
    if (isFirst || !isEntry()) {
        addOwnReport(reply, peer);
    }
    if (received.from.logOffset > m_own.logOffset && member != nullptr) {
        m_aheadAddress = membership::addressOf(*member);
    }
    return reply;
}

Gossip::Answer Gossip::callOnce(const std::string &vm, bool wantsNews)
{
    rpc::Exchange message;
    std::string address;
    const membership::Report drawn = drawOwn();
    {
        const std::lock_guard lock(m_mutex);
        const Member *member = membership::find(m_view, vm);
        if (member == nullptr || membership::addressOf(*member).empty()) {
            return std::nullopt;
        }
        address = membership::addressOf(*member);
        refreshOwn(drawn, steadyMillis());
        message = messageTo(m_peers[vm], member, steadyMillis());
        message.wantsNews = wantsNews;
    }
    m_counters.add(Counter::Exchanges);
    auto reply = m_client.exchange(address, message);
    const Millis now = steadyMillis();
    {
        const std::lock_guard lock(m_mutex);
        Peer &peer = m_peers[vm];
        if (!reply || reply->from.vm != vm) {
            // Another VM may have taken over the address.
            peer.backOffUntil = now + BackOff;
            return std::nullopt;
        }
        if (peer.incarnation != reply->from.incarnation) {
            peer = {.incarnation = reply->from.incarnation};
        }
        peer.backOffUntil = Millis(0);
        peer.toldRevision = reply->wantsReport ? 0 : message.from.revision;
        peer.taken = reply->upTo;
        peer.acknowledged = reply->peerIncarnation == m_incarnation ? reply->taken : 0;
        takeIn(*reply, now);
        membership::applyHeartbeat(m_view, reply->from, m_options.view, now);
        if (reply->from.logReachable) {
            m_servedAt = now;
        }
    }
    // A VM that follows the log itself needs no help with it.
    if (reply->from.logOffset > m_holder.state()->next && !followsLog()) {
        fetchConfiguration(address);
    }
    return *reply;
}

bool Gossip::exchangeWith(const std::string &vm, bool wantsNews)
{
    auto reply = callOnce(vm, wantsNews);
    if (reply && reply->wantsReport) {
        reply = callOnce(vm, wantsNews);
    }
    return reply.has_value();
}

void Gossip::fetchConfiguration(const std::string &address)
{
    const auto delta = m_client.state(address, m_holder.state()->next);
    if (!delta) {
        return;
    }
    if (!delta->state.empty()) {
        auto decoded = configuration::decodeState(delta->state);
        if (decoded) {
            m_holder.adoptState(std::move(*decoded));
        }
        return;
    }
    std::vector<stores::LogRecord> records;
    for (std::size_t i = 0; i < delta->records.size(); ++i) {
        records.push_back({.offset = delta->first + i, .data = delta->records[i]});
    }
    m_holder.foldRecords(records);
}

std::vector<std::string> Gossip::respondingDelegates(Millis now)
{
    const std::lock_guard lock(m_mutex);
    auto delegates = membership::delegatesOf(m_view, m_options.vm, DelegatesTried, m_options.view, now);
    std::stable_partition(delegates.begin(), delegates.end(), [&](const std::string &vm) {
        const auto it = m_peers.find(vm);
        return it == m_peers.end() || it->second.backOffUntil <= now;
    });
    delegates.resize(std::min<std::size_t>(delegates.size(), m_options.delegates));
    return delegates;
}

void Gossip::exchangeWithDelegate(std::size_t slot)
{
    const auto delegates = respondingDelegates(steadyMillis());
    if (slot < delegates.size()) {
        // A target takes the news from one delegate; the others only have to know that it lives.
        exchangeWith(delegates[slot], isEntry() || slot == 0);
    }
}

void Gossip::exchangeWithBridge()
{
    std::string chosen;
    {
        const std::lock_guard lock(m_mutex);
        const auto bridges = membership::crossDomainPeersOf(m_view, m_options.vm, m_options.view, steadyMillis());
        if (bridges.empty()) {
            return;
        }
        chosen = bridges[m_bridgeTurn++ % bridges.size()];
    }
    exchangeWith(chosen);
}

void Gossip::sendUrgent()
{
    const membership::Report drawn = drawOwn();
    const Millis now = steadyMillis();
    std::vector<std::string> peers;
    std::string ahead;
    bool isUrgent = false;
    {
        const std::lock_guard lock(m_mutex);
        refreshOwn(drawn, now);
        ahead.swap(m_aheadAddress);
        isUrgent = m_ownRevisionSent != m_own.revision || (isEntry() && m_urgentSent != m_view.urgentChangeSequence);
        // Before the first list of VMs there is nobody to tell.
        if (m_view.listedAt != Millis(0)) {
            m_ownRevisionSent = m_own.revision;
            m_urgentSent = m_view.urgentChangeSequence;
        }
        if (isUrgent && isEntry()) {
            peers = membership::crossDomainPeersOf(m_view, m_options.vm, m_options.view, now);
            std::erase_if(peers, [&](const std::string &vm) { return m_peers[vm].backOffUntil > now; });
        }
    }
    if (!ahead.empty() && !followsLog()) {
        fetchConfiguration(ahead);
    }
    for (const std::string &vm : vmsBehind(now)) {
        exchangeWith(vm);
    }
    if (!isUrgent) {
        return;
    }
    const auto delegates = respondingDelegates(now);
    peers.insert(peers.begin(), delegates.begin(), delegates.end());
    for (const std::string &vm : peers) {
        exchangeWith(vm, isEntry() || vm == peers.front());
    }
}

/// Lists the VMs that this VM is the first delegate of and that lack configuration or news; each is told once.
std::vector<std::string> Gossip::vmsBehind(Millis now)
{
    std::vector<std::string> behind;
    const std::lock_guard lock(m_mutex);
    const bool lacksRecords = m_toldOffset != m_own.logOffset;
    const bool lacksNews = m_toldChanges != m_view.urgentChangeSequence && now - m_toldAt >= TellInterval;
    if (!isEntry() || (!lacksRecords && !lacksNews)) {
        return behind;
    }
    m_toldOffset = m_own.logOffset;
    m_toldChanges = lacksNews ? m_view.urgentChangeSequence : m_toldChanges;
    m_toldAt = lacksNews ? now : m_toldAt;
    const auto entries = membership::availableEntryVms(m_view, m_options.domain, m_options.view, now);
    for (const auto &[name, member] : m_view.members) {
        const bool isOwnTarget = !member.isRemote && member.report.kind == VmKind::Target;
        if (isOwnTarget && (lacksNews || member.heardOffset < m_own.logOffset)
            && membership::isUsable(member, m_options.view, now)
            && membership::rendezvousRank(name, entries, m_options.vm) == 0) {
            behind.push_back(name);
        }
    }
    return behind;
}

void Gossip::countMembers()
{
    const Millis now = steadyMillis();
    const std::lock_guard lock(m_mutex);
    std::uint64_t live = 0;
    std::uint64_t silent = 0;
    for (const auto &[name, member] : m_view.members) {
        live += membership::isUsable(member, m_options.view, now) ? 1 : 0;
        silent += membership::isUnreachable(member) ? 1 : 0;
    }
    m_counters.set(Counter::MembersLive, live);
    m_counters.set(Counter::MembersSilent, silent);
}

} // namespace ibislock::node
