#include "ibislock/entry/daemon.h"

#include "administration_api.h"
#include "body_account.h"
#include "callers_api.h"
#include "status_page.h"

#include "ibislock/base/log.h"
#include "ibislock/node/drain.h"
#include "ibislock/node/peer_security.h"

namespace ibislock::entry
{

namespace
{

Result<std::shared_ptr<security::TlsStore>> openHttpTls(const security::TlsOptions &options)
{
    if (options.mode == security::TlsMode::Plaintext) {
        return std::shared_ptr<security::TlsStore>();
    }
    return security::TlsStore::open(options.http, {});
}

} // namespace

struct Daemon::Impl
{
    explicit Impl(EntryOptions entryOptions)
        : options(std::move(entryOptions))
        , credentials(options.credentials, counters)
        , peerTls(node::openPeerTls(options.node.tls))
        , httpTls(openHttpTls(options.node.tls))
        , client(loop, node::clientOptions(peerTls))
        , node(options.node, counters, client)
        , dispatcher(options, node, client, counters)
        , callersApi(options, credentials, dispatcher, counters)
        , administrationApi(options, credentials, node, counters)
        , bodies(options.bodyMemoryBytes)
        , callers(options.callers, httpTls.value_or(nullptr), bodies, counters)
        , administration(options.administration, httpTls.value_or(nullptr), bodies, counters)
    {
        node.setReportSource([this](membership::Report &report) { report.leaving = leaving; });
        callersApi.addRoutes(callers.routes());
        administrationApi.addRoutes(administration.routes());
        addStatusPage(administration.routes());
        keepUpToDate();
    }

    void keepUpToDate()
    {
        node.every(options.credentials.reloadInterval, [this] { credentials.refresh(); });
        for (const auto *tls : {&peerTls, &httpTls}) {
            if (*tls) {
                node::keepUpToDate(node, **tls, options.node.tls, counters);
            }
        }
    }

    EntryOptions options;
    Counters counters;
    security::CredentialStore credentials;
    Result<std::shared_ptr<security::TlsStore>> peerTls;
    Result<std::shared_ptr<security::TlsStore>> httpTls;
    rpc::EventLoop loop;
    rpc::Client client;
    node::Node node;
    Dispatcher dispatcher;
    CallersApi callersApi;
    AdministrationApi administrationApi;
    std::atomic<bool> leaving = false;
    std::unique_ptr<rpc::Server> server;
    BodyAccount bodies;
    HttpServer callers;
    HttpServer administration;
    bool started = false;
};

Daemon::Daemon(EntryOptions options)
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
    for (const auto *tls : {&impl.peerTls, &impl.httpTls}) {
        if (!*tls) {
            return tl::unexpected((*tls).error());
        }
    }
    impl.started = true;
    rpc::Handlers handlers;
    impl.node.addHandlers(handlers);
    handlers.peerRefused = node::peerRefusals(impl.counters);
    impl.server =
        std::make_unique<rpc::Server>(impl.loop,
                                      rpc::ServerOptions{.address = impl.options.node.address,
                                                         .port = impl.options.rpcPort,
                                                         .tls = *impl.peerTls,
                                                         .connectionsMax = impl.options.rpcConnectionsMax,
                                                         .unfinishedBytesMax = impl.options.rpcUnfinishedBytesMax},
                                      std::move(handlers));
    impl.node.start(impl.server->port());
    auto listening = impl.callers.start().and_then([&] { return impl.administration.start(); });
    if (listening) {
        logInfo(LogComponent::Entry, "Entry is up.",
                {{"vm", impl.options.node.vm},
                 {"callers", std::to_string(callersPort())},
                 {"administration", std::to_string(administrationPort())}});
    }
    return listening;
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
                                                    impl.callersApi.leave();
                                                },
                                            .wait = [&](Millis time) { return impl.dispatcher.waitUntilIdle(time); },
                                            .grace = impl.options.drainGrace});
    if (left > 0) {
        impl.counters.add(Counter::RequestsCutByStop, left);
        logWarning(LogComponent::Entry, "Stop cuts off requests.", {{"left", std::to_string(left)}});
    }
    impl.callers.stop();
    impl.administration.stop();
    impl.node.stop();
    impl.server.reset();
    logInfo(LogComponent::Entry, "Entry has stopped.", {{"vm", impl.options.node.vm}});
}

void Daemon::kill()
{
    Impl &impl = *m_impl;
    if (!impl.started) {
        return;
    }
    impl.started = false;
    impl.callersApi.breakOff();
    impl.client.setReachable([](const std::string &) { return false; });
    impl.server.reset();
    impl.callers.stop();
    impl.administration.stop();
    impl.node.stop();
}

std::uint16_t Daemon::callersPort() const
{
    return m_impl->callers.port();
}

std::uint16_t Daemon::administrationPort() const
{
    return m_impl->administration.port();
}

std::uint16_t Daemon::rpcPort() const
{
    return m_impl->server ? m_impl->server->port() : 0;
}

void Daemon::setReachable(rpc::Reachable reachable)
{
    m_impl->client.setReachable(std::move(reachable));
}

node::StatePointer Daemon::state() const
{
    return m_impl->node.state();
}

const Counters &Daemon::counters() const
{
    return m_impl->counters;
}

} // namespace ibislock::entry
