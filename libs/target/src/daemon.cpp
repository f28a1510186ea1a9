#include "ibislock/target/daemon.h"

#include "activation.h"

#include "ibislock/base/log.h"
#include "ibislock/node/peer_security.h"

#include <asio/post.hpp>
#include <asio/thread_pool.hpp>

namespace ibislock::target
{

namespace
{

using requests::AnswerEnd;
using requests::Outcome;
using requests::Request;

AnswerEnd endFor(const Request &request, Outcome outcome, std::string message)
{
    return {.id = request.id,
            .entryIncarnation = request.entryIncarnation,
            .workspace = request.workspace,
            .manifest = request.manifest,
            .outcome = outcome,
            .message = std::move(message)};
}

/// Judges the engine's answer; only a whole answer from the intended weights counts.
AnswerEnd judge(const Request &request, const engine::EngineAnswer &answer)
{
    if (!answer.started) {
        return endFor(request, Outcome::RefusedNotRun, answer.message);
    }
    if (!answer.whole || answer.status == 0) {
        return endFor(request, Outcome::FailedAfterStart, answer.message);
    }
    if (answer.root != request.manifest) {
        return endFor(request, Outcome::FailedAfterStart, "the engine answered with other weights");
    }
    AnswerEnd end = endFor(request, Outcome::Answered, {});
    end.status = answer.status;
    end.contentType = answer.contentType;
    return end;
}

} // namespace

struct Daemon::Impl
{
    explicit Impl(TargetOptions targetOptions)
        : options(std::move(targetOptions))
        , peerTls(node::openPeerTls(options.node.tls))
        , client(loop, node::clientOptions(peerTls))
        , node(options.node, counters, client)
        , upload(weights::makeBucket(options.upload, steadyMillis()))
        , fetcher(options, node, client, counters, holdings)
        , activation(options, node, fetcher, counters, holdings)
        , workers(options.concurrency)
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
        handlers.chunk = [this](const Digest &digest) {
            return sendChunk(digest);
        };
        handlers.manifest = [this](const Digest &root) {
            return sendManifest(root);
        };
        handlers.submit = [this](Request request, std::shared_ptr<rpc::AnswerWriter> writer) {
            accept(std::move(request), std::move(writer));
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
        report.leaving = leaving;
    }

    rpc::ChunkReply sendChunk(const Digest &digest)
    {
        rpc::ChunkReply reply;
        {
            const std::lock_guard lock(holdings.mutex);
            reply.bytes = weights::get(holdings.store, digest);
        }
        if (reply.bytes) {
            const std::lock_guard lock(uploadMutex);
            reply.delay = weights::reserve(upload, reply.bytes->size(), steadyMillis());
            counters.add(Counter::ServedBytes, reply.bytes->size());
        }
        return reply;
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

    void accept(Request request, std::shared_ptr<rpc::AnswerWriter> writer)
    {
        counters.add(Counter::RequestsReceived);
        const auto admitted = activation.admit(request);
        if (!admitted) {
            counters.add(Counter::RequestsRefused);
            writer->finish(endFor(request, Outcome::RefusedNotRun, admitted.error().message));
            return;
        }
        asio::post(workers, [this, request = std::move(request), writer = std::move(writer)] {
            run(request, *writer);
            activation.release();
        });
    }

    void run(const Request &request, rpc::AnswerWriter &writer)
    {
        if (writer.isCancelled()) {
            writer.finish(endFor(request, Outcome::RefusedNotRun, "the caller has gone"));
            return;
        }
        engine::EngineClient engine(options.engine);
        const auto onPart = [&](std::string_view data) {
            return writer.part(data);
        };
        const auto answer =
            options.backend == BackendKind::Service ? engine.forward(request, onPart) : engine.run(request, onPart);
        if (writer.isCancelled() && options.backend == BackendKind::Engine) {
            engine.cancel(request.id);
        }
        AnswerEnd end = judge(request, answer);
        counters.add(end.outcome == Outcome::Answered ? Counter::RequestsAnswered : Counter::RequestsFailed);
        writer.finish(std::move(end));
    }

    TargetOptions options;
    Counters counters;
    Result<std::shared_ptr<security::TlsStore>> peerTls;
    rpc::EventLoop loop;
    rpc::Client client;
    node::Node node;
    Holdings holdings;
    std::mutex uploadMutex;
    weights::TokenBucket upload;
    Fetcher fetcher;
    Activation activation;
    asio::thread_pool workers;
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
    impl.server = std::make_unique<rpc::Server>(
        impl.loop,
        rpc::ServerOptions{.address = impl.options.node.address, .port = impl.options.rpcPort, .tls = *impl.peerTls},
        impl.handlers());
    impl.node.start(impl.server->port());
    impl.activation.start();
    logInfo(Part::Target, "Target is up.", {{"vm", impl.options.node.vm}, {"port", std::to_string(rpcPort())}});
    return {};
}

void Daemon::stop()
{
    Impl &impl = *m_impl;
    if (!impl.started) {
        return;
    }
    impl.started = false;
    impl.leaving = true;
    impl.activation.refuseAll();
    if (!impl.activation.waitUntilIdle(impl.options.drainGrace)) {
        logWarning(Part::Target, "Stop cuts off requests.", {{"running", std::to_string(impl.activation.running())}});
    }
    impl.activation.stop();
    impl.node.stop();
    impl.workers.join();
    impl.server.reset();
    logInfo(Part::Target, "Target has stopped.", {{"vm", impl.options.node.vm}});
}

std::uint16_t Daemon::rpcPort() const
{
    return m_impl->server ? m_impl->server->port() : 0;
}

void Daemon::setReachable(rpc::Reachable reachable)
{
    m_impl->client.setReachable(std::move(reachable));
}

const Counters &Daemon::counters() const
{
    return m_impl->counters;
}

} // namespace ibislock::target
