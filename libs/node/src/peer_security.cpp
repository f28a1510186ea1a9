#include "ibislock/node/peer_security.h"

#include "ibislock/base/log.h"

#include <bit>

namespace ibislock::node
{

namespace
{

constexpr Millis TlsConnectTimeout{2000};

} // namespace

Result<std::shared_ptr<security::TlsStore>> openPeerTls(const security::TlsOptions &options)
{
    if (options.mode == security::TlsMode::Plaintext) {
        logWarning(LogComponent::Security, "Connections are in plain text, as the settings say.");
        return std::shared_ptr<security::TlsStore>();
    }
    if (options.peers.authority.empty()) {
        return failure(ErrorCode::InvalidArgument, "no file is named for the authority");
    }
    return security::TlsStore::open(options.peers, options.peerName);
}

rpc::ClientOptions clientOptions(const Result<std::shared_ptr<security::TlsStore>> &tls)
{
    rpc::ClientOptions options;
    if (tls && *tls) {
        options.tls = *tls;
        options.connectTimeout = TlsConnectTimeout;
    }
    return options;
}

void keepUpToDate(Node &node, const std::shared_ptr<security::TlsStore> &tls, const security::TlsOptions &options,
                  Counters &counters)
{
    if (!tls) {
        return;
    }
    node.every(options.reloadInterval, [tls, &counters] {
        const auto replaced = tls->refresh();
        if (!replaced) {
            counters.add(Counter::ReloadFailures);
            logError(LogComponent::Security, "A certificate is not taken over.",
                     {{"reason", replaced.error().message}});
        } else if (*replaced) {
            counters.add(Counter::Reloads);
            logInfo(LogComponent::Security, "A certificate is in force.", {{"vm", tls->current()->commonName}});
        }
    });
}

std::function<void(const std::string &)> peerRefusals(Counters &counters)
{
    return [&counters](const std::string &reason) {
        counters.add(Counter::PeersRefused);
        const std::uint64_t refused = counters.value(Counter::PeersRefused);
        if (std::has_single_bit(refused)) {
            logWarning(LogComponent::Security, "A peer is refused.",
                       {{"reason", reason}, {"refused_so_far", std::to_string(refused)}});
        }
    };
}

} // namespace ibislock::node
