#include "ibislock/target/daemon.h"

#include "request_runner.h"

#include "ibislock/base/log.h"
#include "ibislock/node/drain.h"
#include "ibislock/node/peer_security.h"

namespace ibislock::target
{

namespace
{

/// What a chunk takes over a link that is made to stall.
constexpr Millis StalledDelay{60000};

/// Holdings go along with a chunk that is this many times larger.
constexpr std::size_t HoldingsPart = 64;

} // namespace

struct Daemon::Impl
{
    explicit Impl(TargetOptions targetOptions)
        : options(std::move(targetOptions))
        , peerTls(node::openPeerTls(options.node.tls))
        , client(loop, node::clientOptions(peerTls))
        , node(options.node, counters, client)
        , upload(weights::makeBucket(options.upload, steadyMillis()))
        , random(systemRandom())
        , fetcher({.options = options,
                   .node = node,
                   .client = client,
                   .counters = counters,
                   .holdings = holdings,
                   .faults = faults,
                   .imports = imports})
        , activation(options, node, fetcher, counters, holdings)
        , runner(options, node, activation, counters)
    {
        holdings.store.maxBytes = options.chunkStoreBytes;
        if (peerTls) {
            node::keepUpToDate(node, *peerTls, options.node.tls, counters);
        }
        node.setReportSource([this](membership::Report &report) { fillReport(report); });
    }

    rpc::Handlers handlers()
    {
        rpc::Handlers handlers;
        node.addHandlers(handlers);
        handlers.chunk = [this](const Digest &digest, const Digest &root) {
            return sendChunk(digest, root);
        };
        handlers.manifest = [this](const Digest &root) {
            return sendManifest(root);
        };
        handlers.have = [this](const Digest &root) {
            return tellHoldings(root);
        };
        handlers.submit = [this](requests::Request request, std::shared_ptr<rpc::AnswerWriter> writer) {
            runner.accept(std::move(request), std::move(writer));
        };
        handlers.revoke = [this](const std::string &id, std::uint64_t incarnation) {
            return runner.revoke(id, incarnation);
        };
        handlers.peerRefused = node::peerRefusals(counters);
        return handlers;
    }

    void fillReport(membership::Report &report) const
    {
        const Serving serving = activation.serving();
        report.phase = serving.isServing ? "serving" : serving.phase == "serving" ? "draining" : serving.phase;
        report.ticket = serving.ticket;
        report.serving = serving.manifest;
        report.running = activation.running();
        report.queued = runner.queued();
        report.leaving = leaving;
    }

    rpc::ChunkReply sendChunk(const Digest &digest, const Digest &root)
    {
        rpc::ChunkReply reply;
        {
            const std::lock_guard lock(holdings.mutex);
            reply.bytes = weights::get(holdings.store, digest);
            const auto held = holdings.held.find(root);
            if (reply.bytes && held != holdings.held.end()
                && held->second.bitmap.size() * HoldingsPart <= reply.bytes->size()) {
                reply.held = held->second;
            }
        }
        if (reply.bytes) {
            admitChunk(reply);
        }
        return reply;
    }

    /// Reserves the uplink for a chunk, or refuses it when the queue is too long.
    void admitChunk(rpc::ChunkReply &reply)
    {
        const std::lock_guard lock(uploadMutex);
        const Millis now = steadyMillis();
        weights::setRate(upload, options.upload.bytesPerSecond * options.share, now);
        reply.wait = weights::timeUntilAvailable(upload, reply.bytes->size(), now);
        if (reply.wait > options.uploadQueue) {
            reply.bytes = nullptr;
            reply.busy = true;
            return;
        }
        reply.delay = faults.isStalled ? StalledDelay : weights::reserve(upload, reply.bytes->size(), now);
        counters.add(Counter::ServedBytes, reply.bytes->size());
        if (std::bernoulli_distribution(faults.corruption)(random)) {
            std::string bytes = *reply.bytes;
            bytes[random() % bytes.size()] ^= 1;
            reply.bytes = std::make_shared<const std::string>(std::move(bytes));
        }
    }

    std::optional<rpc::HaveReply> tellHoldings(const Digest &root)
    {
        const std::lock_guard lock(holdings.mutex);
        const auto it = holdings.held.find(root);
        return it == holdings.held.end() ? std::nullopt : std::optional(it->second);
    }

    std::optional<std::string> sendManifest(const Digest &root)
    {
        const std::lock_guard lock(holdings.mutex);
        const auto it = holdings.manifests.find(root);
        if (it == holdings.manifests.end()) {
            return std::nullopt;
        }
        return weights::manifestToJson(it->second);
    }

    TargetOptions options;
    Counters counters;
    Result<std::shared_ptr<security::TlsStore>> peerTls;
    rpc::EventLoop loop;
    rpc::Client client;
    node::Node node;
    Holdings holdings;
    LinkFaults faults;
    ImportLedger imports;
    std::mutex uploadMutex;
    weights::TokenBucket upload;
    Random random;
    Fetcher fetcher;
    Activation activation;
    RequestRunner runner;
    std::atomic<bool> leaving = false;
    std::unique_ptr<rpc::Server> server;
    bool started = false;
};

Daemon::Daemon(TargetOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options)))
{
}

Daemon::~Daemon()
{
    stop();
}

Result<void> Daemon::start()
{
    Impl &impl = *m_impl;
    if (!impl.peerTls) {
        return tl::unexpected(impl.peerTls.error());
    }
    impl.started = true;
    impl.server =
        std::make_unique<rpc::Server>(impl.loop,
                                      rpc::ServerOptions{.address = impl.options.node.address,
                                                         .port = impl.options.rpcPort,
                                                         .tls = *impl.peerTls,
                                                         .connectionsMax = impl.options.rpcConnectionsMax,
                                                         .unfinishedBytesMax = impl.options.rpcUnfinishedBytesMax},
                                      impl.handlers());
    impl.node.start(impl.server->port());
    impl.activation.start();
    impl.runner.start();
    logInfo(LogComponent::Target, "Target is up.", {{"vm", impl.options.node.vm}, {"port", std::to_string(rpcPort())}});
    return {};
}

void Daemon::stop()
{
    Impl &impl = *m_impl;
    if (!impl.started) {
        return;
    }
    impl.started = false;
    const std::uint32_t left = node::drain({.refuse =
                                                [&] {
                                                    impl.leaving = true;
                                                    impl.runner.leave();
                                                },
                                            .wait = [&](Millis time) { return impl.runner.drain(time); },
                                            .grace = impl.options.drainGrace});
    if (left > 0) {
        impl.counters.add(Counter::RequestsCutByStop, left);
        logWarning(LogComponent::Target, "Stop cuts off requests.", {{"left", std::to_string(left)}});
    }
    impl.activation.stop();
    impl.node.stop();
    impl.runner.stop();
    impl.server.reset();
    logInfo(LogComponent::Target, "Target has stopped.", {{"vm", impl.options.node.vm}});
}

void Daemon::kill()
{
    Impl &impl = *m_impl;
    if (!impl.started) {
        return;
    }
    impl.started = false;
    impl.server.reset();
    impl.activation.stop();
    impl.node.stop();
    impl.runner.stop();
}

std::uint16_t Daemon::rpcPort() const
{
    return m_impl->server ? m_impl->server->port() : 0;
}

void Daemon::setReachable(rpc::Reachable reachable)
{
    m_impl->faults.setReachable(reachable);
    m_impl->client.setReachable(std::move(reachable));
}

node::StatePointer Daemon::state() const
{
    return m_impl->node.state();
}

LinkFaults &Daemon::linkFaults()
{
    return m_impl->faults;
}

const ImportLedger &Daemon::imports() const
{
    return m_impl->imports;
}

std::uint64_t Daemon::servedTicket() const
{
    return m_impl->activation.serving().ticket;
}

const Counters &Daemon::counters() const
{
    return m_impl->counters;
}

} // namespace ibislock::target
