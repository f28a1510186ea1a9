#include "ibislock/security/tls.h"

#include "ibislock/base/ini.h"

#include <openssl/bio.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509_vfy.h>
#include <openssl/x509v3.h>

namespace ibislock::security
{

namespace
{

template <auto Release>
struct Releaser
{
    template <typename T>
    void operator()(T *object) const
    {
        Release(object);
    }
};

using Bio = std::unique_ptr<BIO, Releaser<BIO_free_all>>;
using Certificate = std::unique_ptr<X509, Releaser<X509_free>>;
using Key = std::unique_ptr<EVP_PKEY, Releaser<EVP_PKEY_free>>;
using Store = std::unique_ptr<X509_STORE, Releaser<X509_STORE_free>>;
using StoreContext = std::unique_ptr<X509_STORE_CTX, Releaser<X509_STORE_CTX_free>>;

/// A key that needs a passphrase is refused without asking at the terminal.
int noPassphrase(char *, int, int, void *)
{
    return 0;
}

Bio bioOf(const std::string &pem)
{
    return Bio(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())));
}

Result<std::string> readNamed(const std::string &file, const char *what)
{
    if (file.empty()) {
        return failure(ErrorCode::InvalidArgument, std::string("no file is named for the ") + what);
    }
    return readFile(file);
}

Result<Certificate> certificateFrom(const std::string &pem, const std::string &file)
{
    Certificate certificate(PEM_read_bio_X509(bioOf(pem).get(), nullptr, noPassphrase, nullptr));
    if (!certificate) {
        return failure(ErrorCode::InvalidArgument, file + " is not a certificate in PEM");
    }
    return certificate;
}

Result<void> checkTime(const X509 *certificate, const std::string &file, Millis now)
{
    auto seconds = static_cast<std::time_t>(now.count() / 1000);
    if (X509_cmp_time(X509_get0_notBefore(certificate), &seconds) > 0) {
        return failure(ErrorCode::InvalidArgument, file + " is not valid yet");
    }
    if (X509_cmp_time(X509_get0_notAfter(certificate), &seconds) < 0) {
        return failure(ErrorCode::InvalidArgument, file + " has expired");
    }
    return {};
}

Millis expiryOf(const X509 *certificate)
{
    std::tm time{};
    ASN1_TIME_to_tm(X509_get0_notAfter(certificate), &time);
    return std::chrono::seconds(timegm(&time));
}

std::string commonNameOf(const X509 *certificate)
{
    std::array<char, 256> buf{};
    const int n = X509_NAME_get_text_by_NID(X509_get_subject_name(certificate), NID_commonName, buf.data(), buf.size());
    return n > 0 ? std::string(buf.data(), static_cast<std::size_t>(n)) : std::string();
}

Result<void> checkSignature(X509 *certificate, X509 *authority, const TlsFiles &files, Millis now)
{
    const Store store(X509_STORE_new());
    X509_STORE_add_cert(store.get(), authority);
    const StoreContext context(X509_STORE_CTX_new());
    X509_STORE_CTX_init(context.get(), store.get(), certificate, nullptr);
    X509_STORE_CTX_set_time(context.get(), 0, static_cast<std::time_t>(now.count() / 1000));
    if (X509_verify_cert(context.get()) != 1) {
        return failure(ErrorCode::InvalidArgument,
                       files.certificate + " is not signed by " + files.authority + ": "
                           + X509_verify_cert_error_string(X509_STORE_CTX_get_error(context.get())));
    }
    return {};
}

Result<std::string> loadAuthority(const TlsFiles &files, X509 *certificate, Millis now)
{
    if (files.authority.empty()) {
        return std::string();
    }
    const auto pem = readNamed(files.authority, "authority");
    if (!pem) {
        return tl::unexpected(pem.error());
    }
    const auto authority = certificateFrom(*pem, files.authority);
    if (!authority) {
        return tl::unexpected(authority.error());
    }
    return checkTime(authority->get(), files.authority, now)
        .and_then([&] { return checkSignature(certificate, authority->get(), files, now); })
        .map([&] { return *pem; });
}

} // namespace

Result<TlsMaterial> loadTls(const TlsFiles &files, const std::string &peerName, Millis now)
{
    const auto certificatePem = readNamed(files.certificate, "certificate");
    if (!certificatePem) {
        return tl::unexpected(certificatePem.error());
    }
    const auto keyPem = readNamed(files.privateKey, "private key");
    if (!keyPem) {
        return tl::unexpected(keyPem.error());
    }
    const auto certificate = certificateFrom(*certificatePem, files.certificate);
    if (!certificate) {
        return tl::unexpected(certificate.error());
    }
    const Key key(PEM_read_bio_PrivateKey(bioOf(*keyPem).get(), nullptr, noPassphrase, nullptr));
    if (!key) {
        return failure(ErrorCode::InvalidArgument, files.privateKey + " is not a private key in PEM");
    }
    if (X509_check_private_key(certificate->get(), key.get()) != 1) {
        return failure(ErrorCode::InvalidArgument,
                       files.privateKey + " does not belong to the certificate " + files.certificate);
    }
    if (const auto inTime = checkTime(certificate->get(), files.certificate, now); !inTime) {
        return tl::unexpected(inTime.error());
    }
    if (!peerName.empty() && X509_check_host(certificate->get(), peerName.data(), peerName.size(), 0, nullptr) != 1) {
        return failure(ErrorCode::InvalidArgument, files.certificate + " does not carry the name " + peerName);
    }
    return loadAuthority(files, certificate->get(), now).map([&](const std::string &authorityPem) {
        return TlsMaterial{.certificatePem = *certificatePem,
                           .keyPem = *keyPem,
                           .authorityPem = authorityPem,
                           .commonName = commonNameOf(certificate->get()),
                           .expiresAt = expiryOf(certificate->get())};
    });
}

TlsStore::TlsStore(TlsFiles files, std::string peerName, FileWatch watch)
    : m_files(std::move(files))
    , m_peerName(std::move(peerName))
    , m_watch(std::move(watch))
{
}

Result<std::shared_ptr<TlsStore>> TlsStore::open(const TlsFiles &files, std::string peerName)
{
    FileWatch watch({files.certificate, files.privateKey, files.authority});
    std::shared_ptr<TlsStore> store(new TlsStore(files, std::move(peerName), std::move(watch)));
    auto material = loadTls(files, store->m_peerName, wallMillis());
    if (!material) {
        return tl::unexpected(material.error());
    }
    store->m_material = std::make_shared<const TlsMaterial>(std::move(*material));
    return store;
}

std::shared_ptr<const TlsMaterial> TlsStore::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_material;
}

const std::string &TlsStore::peerName() const
{
    return m_peerName;
}

Result<bool> TlsStore::refresh()
{
    if (!m_watch.hasChanged()) {
        return false;
    }
    auto material = loadTls(m_files, m_peerName, wallMillis());
    if (!material) {
        return tl::unexpected(material.error());
    }
    const std::lock_guard lock(m_mutex);
    m_material = std::make_shared<const TlsMaterial>(std::move(*material));
    return true;
}

} // namespace ibislock::security
