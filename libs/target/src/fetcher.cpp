#include "fetcher.h"

#include "swarm.h"

#include "ibislock/base/log.h"
#include "ibislock/weights/rendezvous.h"

#include <algorithm>
#include <thread>

namespace ibislock::target
{

namespace
{

using configuration::VmAssignment;
using weights::Manifest;
using weights::Participant;

constexpr Millis ManifestRetryInterval{40};
constexpr std::size_t ManifestFanout = 4;

weights::RateOptions shared(weights::RateOptions rate, double share)
{
    rate.bytesPerSecond *= share;
    return rate;
}

/// The live VMs in the order in which the manifest passes through them, those near the store first.
std::vector<std::string> manifestOrder(const std::vector<Participant> &participants, const Digest &root,
                                       const std::string &storeDomain, const std::string &self)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const Participant &it : participants) {
        if (it.isLive || it.vm == self) {
            (it.domain == storeDomain ? near : far).push_back(it.vm);
        }
    }
    auto order = weights::rendezvousOrder(bytesOf(root), near);
    const auto rest = weights::rendezvousOrder(bytesOf(root), far);
    order.insert(order.end(), rest.begin(), rest.end());
    return order;
}

} // namespace

std::vector<Participant> participantsOf(const node::Node &node, const VmAssignment &duty)
{
    const auto &options = node.options();
    const Millis now = steadyMillis();
    return node.withView([&](const membership::View &view) {
        std::vector<Participant> participants;
        for (const std::string &vm : duty.assignment.vms) {
            if (vm == options.vm) {
                participants.push_back({.vm = vm, .domain = options.domain, .isLive = true});
                continue;
            }
            const membership::Member *member = membership::find(view, vm);
            if (member == nullptr) {
                participants.push_back({.vm = vm, .domain = {}, .isLive = false});
                continue;
            }
            participants.push_back(
                {.vm = vm,
                 .domain = member->hasReport ? member->report.domain : member->listed.domain,
                 .isLive = membership::isUsable(*member, options.view, now) || membership::isExpected(*member)});
        }
        return participants;
    });
}

Fetcher::Fetcher(const FetchContext &context)
    : m_context(context)
    , m_links{.download = weights::makeBucket(shared(context.options.download, context.options.share), steadyMillis()),
              .origin = weights::makeBucket(shared(context.options.origin, context.options.share), steadyMillis()),
              .imports = {}}
    , m_origin(context.options.store, context.options.plan.maxOriginRequests)
    , m_random(systemRandom())
{
}

void Fetcher::stop()
{
    m_origin.stop();
}

Result<Manifest> Fetcher::fetch(const VmAssignment &duty, const Withdrawn &withdrawn, const ChunkSink &sink)
{
    auto manifest = fetchManifest(duty, withdrawn);
    if (!manifest) {
        return manifest;
    }
    Swarm swarm(m_context, m_links, m_origin, m_random, duty, *manifest, sink);
    const auto fetched = swarm.run(withdrawn);
    if (!fetched) {
        return tl::unexpected(fetched.error());
    }
    return manifest;
}

Result<Manifest> Fetcher::fetchManifest(const VmAssignment &duty, const Withdrawn &withdrawn)
{
    const Digest &root = duty.assignment.manifest;
    const std::string &self = m_context.options.node.vm;
    const Millis begin = steadyMillis();
    while (!withdrawn()) {
        if (auto known = findManifest(m_context.holdings, root)) {
            return std::move(*known);
        }
        const auto participants = participantsOf(m_context.node, duty);
        const auto order = manifestOrder(participants, root, m_context.options.plan.storeDomain, self);
        const auto rank = static_cast<std::size_t>(std::find(order.begin(), order.end(), self) - order.begin());
        const bool alone = m_context.options.plan.policy == weights::Policy::Origin;
        if (alone || rank == 0
            || steadyMillis() - begin >= m_context.options.plan.takeoverTimeout * static_cast<int>(rank)) {
            auto manifest = manifestFromOrigin(duty);
            if (manifest || manifest.error().code == ErrorCode::Corrupt) {
                return manifest;
            }
        }
        const auto parent = rank == 0 ? self : order[(rank - 1) / ManifestFanout];
        for (const std::string &vm : {parent, order[m_random() % order.size()]}) {
            if (auto manifest = vm == self ? std::nullopt : manifestFromPeer(duty, vm)) {
                return std::move(*manifest);
            }
        }
        std::this_thread::sleep_for(ManifestRetryInterval);
    }
    return failure(ErrorCode::Cancelled, "the transfer was withdrawn");
}

std::optional<Manifest> Fetcher::manifestFromPeer(const VmAssignment &duty, const std::string &vm)
{
    const std::string address = m_context.node.withView([&](const membership::View &view) {
        const membership::Member *member = membership::find(view, vm);
        return member == nullptr ? std::string() : membership::addressOf(*member);
    });
    if (address.empty()) {
        return std::nullopt;
    }
    const auto manifest =
        m_context.client.manifest(address, duty.assignment.manifest).and_then(weights::manifestFromJson);
    if (!manifest || weights::rootDigest(*manifest) != duty.assignment.manifest) {
        return std::nullopt;
    }
    return *manifest;
}

Result<Manifest> Fetcher::manifestFromOrigin(const VmAssignment &duty)
{
    if (!m_context.faults.mayReach(m_context.options.store.url)) {
        return failure(ErrorCode::Unavailable, "the store is cut off");
    }
    stores::WeightStoreClient store(m_context.options.store);
    auto manifest = store.manifest(duty.assignment.model, duty.assignment.version);
    if (manifest && weights::rootDigest(*manifest) != duty.assignment.manifest) {
        return failure(ErrorCode::Corrupt, "the origin holds another version under this name than the ticket names");
    }
    return manifest;
}

} // namespace ibislock::target
