#include "tls_contexts.h"

namespace ibislock::rpc
{

namespace
{

kj::Own<kj::TlsContext> contextFrom(const security::TlsMaterial &material, kj::Timer &timer, Millis handshakeTimeout)
{
    const kj::TlsKeypair keypair{kj::TlsPrivateKey(kj::StringPtr(material.keyPem.c_str())),
                                 kj::TlsCertificate(kj::StringPtr(material.certificatePem.c_str()))};
    const kj::TlsCertificate authority{kj::StringPtr(material.authorityPem.c_str())};
    kj::TlsContext::Options options;
    options.useSystemTrustStore = false;
    options.verifyClients = true;
    options.trustedCertificates = kj::arrayPtr(&authority, 1);
    options.minVersion = kj::TlsVersion::TLS_1_2;
    options.defaultKeypair = keypair;
    options.timer = timer;
    options.acceptTimeout = handshakeTimeout.count() * kj::MILLISECONDS;
    return kj::heap<kj::TlsContext>(options);
}

} // namespace

TlsContexts::TlsContexts(std::shared_ptr<const security::TlsStore> store, kj::Timer &timer, Millis handshakeTimeout)
    : m_store(std::move(store))
    , m_timer(timer)
    , m_handshakeTimeout(handshakeTimeout)
{
}

kj::TlsContext &TlsContexts::current()
{
    auto material = m_store->current();
    if (material != m_material) {
        m_context = contextFrom(*material, m_timer, m_handshakeTimeout);
        m_material = std::move(material);
    }
    return *m_context;
}

const std::string &TlsContexts::peerName() const
{
    return m_store->peerName();
}

} // namespace ibislock::rpc
