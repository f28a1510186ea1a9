#include "http_tls.h"

#include <openssl/err.h>
#include <openssl/pem.h>
#include <stdexcept>

namespace ibislock::entry
{

namespace
{

using Bio = std::unique_ptr<BIO, decltype([](BIO *bio) { BIO_free_all(bio); })>;
using Certificate = std::unique_ptr<X509, decltype([](X509 *certificate) { X509_free(certificate); })>;
using Key = std::unique_ptr<EVP_PKEY, decltype([](EVP_PKEY *key) { EVP_PKEY_free(key); })>;

Bio bioOf(const std::string &pem)
{
    return Bio(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())));
}

/// Adds the certificate and those that lead from it to the authority.
void useChain(SSL_CTX *context, const std::string &pem)
{
    const Bio bio = bioOf(pem);
    const Certificate leaf(PEM_read_bio_X509(bio.get(), nullptr, nullptr, nullptr));
    SSL_CTX_use_certificate(context, leaf.get());
    while (Certificate next{PEM_read_bio_X509(bio.get(), nullptr, nullptr, nullptr)}) {
        SSL_CTX_add1_chain_cert(context, next.get());
    }
    ERR_clear_error();
}

std::unique_ptr<SSL_CTX, SslReleaser> contextFrom(const security::TlsMaterial &material)
{
    std::unique_ptr<SSL_CTX, SslReleaser> context(SSL_CTX_new(TLS_server_method()));
    SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
    useChain(context.get(), material.certificatePem);
    const Key key(PEM_read_bio_PrivateKey(bioOf(material.keyPem).get(), nullptr, nullptr, nullptr));
    if (SSL_CTX_use_PrivateKey(context.get(), key.get()) != 1) {
        throw std::logic_error("a checked certificate is not usable");
    }
    return context;
}

} // namespace

HttpTls::HttpTls(std::shared_ptr<const security::TlsStore> store)
    : m_store(std::move(store))
{
}

SslPointer HttpTls::accept(int socket)
{
    auto material = m_store->current();
    SslPointer ssl;
    {
        const std::lock_guard lock(m_mutex);
        if (material != m_material) {
            m_context = contextFrom(*material);
            m_material = std::move(material);
        }
        ssl.reset(SSL_new(m_context.get()));
    }
    SSL_set_fd(ssl.get(), socket);
    SSL_set_accept_state(ssl.get());
    return ssl;
}

} // namespace ibislock::entry
