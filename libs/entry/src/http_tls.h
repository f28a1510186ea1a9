// The TLS context of new HTTP connections, rebuilt when the certificate was replaced.

#pragma once

#include "ibislock/security/tls.h"

#include <memory>
#include <mutex>
#include <openssl/ssl.h>

namespace ibislock::entry
{

/// Frees what belongs to OpenSSL.
struct SslReleaser
{
    void operator()(SSL *ssl) const
    {
        SSL_free(ssl);
    }

    void operator()(SSL_CTX *context) const
    {
        SSL_CTX_free(context);
    }
};

/// The TLS side of one connection.
using SslPointer = std::unique_ptr<SSL, SslReleaser>;

/// Gives each connection the certificate that is in force. Safe from several threads.
class HttpTls
{
public:
    explicit HttpTls(std::shared_ptr<const security::TlsStore> store);

    /// Prepares the server's side of a connection.
    /// @param socket the connected socket.
    SslPointer accept(int socket);

private:
    std::shared_ptr<const security::TlsStore> m_store;
    std::mutex m_mutex;
    std::shared_ptr<const security::TlsMaterial> m_material;
    std::unique_ptr<SSL_CTX, SslReleaser> m_context;
};

} // namespace ibislock::entry
