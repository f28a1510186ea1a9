#include "ibislock/standins/certificate_authority.h"

#include "ibislock/base/digest.h"
#include "ibislock/base/random.h"

#include <atomic>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <openssl/ec.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <stdexcept>

namespace ibislock::standins
{

namespace
{

constexpr long VersionThree = 2;
constexpr std::size_t DirectoryNameBytes = 8;
constexpr Millis AuthorityLifetime{24 * 3600000};

struct KeyReleaser
{
    void operator()(EVP_PKEY *key) const
    {
        EVP_PKEY_free(key);
    }
};

struct CertificateReleaser
{
    void operator()(X509 *certificate) const
    {
        X509_free(certificate);
    }
};

using Key = std::unique_ptr<EVP_PKEY, KeyReleaser>;
using Certificate = std::unique_ptr<X509, CertificateReleaser>;

long secondsOf(Millis duration)
{
    return static_cast<long>(std::chrono::duration_cast<std::chrono::seconds>(duration).count());
}

void addExtension(X509 *certificate, X509 *issuer, int kind, const std::string &value)
{
    X509V3_CTX context;
    X509V3_set_ctx_nodb(&context);
    X509V3_set_ctx(&context, issuer, certificate, nullptr, nullptr, 0);
    X509_EXTENSION *extension = X509V3_EXT_conf_nid(nullptr, &context, kind, value.c_str());
    if (extension == nullptr) {
        throw std::logic_error("certificate extension is malformed: " + value);
    }
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

Certificate unsignedCertificate(EVP_PKEY *key, const std::string &commonName, Millis from, Millis until)
{
    static std::atomic<long> serial = 1;
    Certificate certificate(X509_new());
    X509_set_version(certificate.get(), VersionThree);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), serial++);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), secondsOf(from));
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), secondsOf(until));
    X509_set_pubkey(certificate.get(), key);
    X509_NAME_add_entry_by_txt(X509_get_subject_name(certificate.get()), "CN", MBSTRING_UTF8,
                               reinterpret_cast<const unsigned char *>(commonName.c_str()), -1, -1, 0);
    return certificate;
}

void writePem(const std::string &file, const std::function<int(std::FILE *)> &write)
{
    // Readers see the old file or the new one, never a part.
    const std::string fresh = file + ".new";
    std::FILE *out = std::fopen(fresh.c_str(), "w");
    if (out == nullptr || write(out) != 1 || std::fclose(out) != 0) {
        throw std::runtime_error("can't write " + fresh);
    }
    std::filesystem::rename(fresh, file);
}

void writeCertificate(const std::string &file, X509 *certificate)
{
    writePem(file, [&](std::FILE *out) { return PEM_write_X509(out, certificate); });
}

std::string alternativeNames(const CertificateOptions &options)
{
    std::string names = "IP:" + options.ipNumber;
    for (const std::string &name : options.dnsNames) {
        names += ",DNS:" + name;
    }
    return names;
}

} // namespace

struct CertificateAuthority::Impl
{
    std::string directory;
    std::string file;
    Key key;
    Certificate certificate;
};

CertificateAuthority::CertificateAuthority(const std::string &name, std::string directory)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->file = directory + "/" + name + ".authority.pem";
    m_impl->directory = std::move(directory);
    m_impl->key.reset(EVP_EC_gen("P-256"));
    m_impl->certificate = unsignedCertificate(m_impl->key.get(), name, -AuthorityLifetime, AuthorityLifetime);
    X509 *certificate = m_impl->certificate.get();
    X509_set_issuer_name(certificate, X509_get_subject_name(certificate));
    addExtension(certificate, certificate, NID_basic_constraints, "critical,CA:TRUE");
    addExtension(certificate, certificate, NID_key_usage, "critical,keyCertSign,cRLSign");
    X509_sign(certificate, m_impl->key.get(), EVP_sha256());
    writeCertificate(m_impl->file, certificate);
}

CertificateAuthority::~CertificateAuthority() = default;

IssuedFiles CertificateAuthority::issue(const CertificateOptions &options) const
{
    const Key key(EVP_EC_gen("P-256"));
    const Certificate certificate =
        unsignedCertificate(key.get(), options.commonName, options.validFrom, options.validUntil);
    X509 *issuer = m_impl->certificate.get();
    X509_set_issuer_name(certificate.get(), X509_get_subject_name(issuer));
    addExtension(certificate.get(), issuer, NID_basic_constraints, "CA:FALSE");
    addExtension(certificate.get(), issuer, NID_subject_alt_name, alternativeNames(options));
    X509_sign(certificate.get(), m_impl->key.get(), EVP_sha256());
    const std::string stem =
        m_impl->directory + "/" + (options.fileName.empty() ? options.commonName : options.fileName);
    const IssuedFiles files{.certificate = stem + ".pem", .privateKey = stem + ".key", .authority = m_impl->file};
    writePem(files.privateKey, [&](std::FILE *out) {
        return PEM_write_PrivateKey(out, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    });
    writeCertificate(files.certificate, certificate.get());
    return files;
}

const std::string &CertificateAuthority::file() const
{
    return m_impl->file;
}

TemporaryDirectory::TemporaryDirectory()
    : m_path((std::filesystem::temp_directory_path() / ("ibislock-" + hexOf(secureRandomBytes(DirectoryNameBytes))))
                 .string())
{
    std::filesystem::create_directory(m_path);
}

TemporaryDirectory::~TemporaryDirectory()
{
    std::error_code ec;
    std::filesystem::remove_all(m_path, ec);
}

const std::string &TemporaryDirectory::path() const
{
    return m_path;
}

} // namespace ibislock::standins
