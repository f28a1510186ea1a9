// The TLS context of new connections, rebuilt when the certificate was replaced. Lives on the event loop.

#pragma once

#include "ibislock/security/tls.h"

#include <kj/async-io.h>
#include <kj/compat/tls.h>
#include <memory>

namespace ibislock::rpc
{

/// Gives the context for the next connection. Connections that are open keep the one that they began with.
class TlsContexts
{
public:
    TlsContexts(std::shared_ptr<const security::TlsStore> store, kj::Timer &timer, Millis handshakeTimeout);

    /// Gives a context in which both sides prove that the deployment's authority signed their certificate.
    kj::TlsContext &current();

    /// Gives the DNS name that peers must carry.
    const std::string &peerName() const;

private:
    std::shared_ptr<const security::TlsStore> m_store;
    kj::Timer &m_timer;
    Millis m_handshakeTimeout;
    std::shared_ptr<const security::TlsMaterial> m_material;
    kj::Own<kj::TlsContext> m_context;
};

} // namespace ibislock::rpc
