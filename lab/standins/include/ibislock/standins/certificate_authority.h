// A certificate authority for tests and experiments. It writes PEM files; its keys live as long as the object.
//
//     CertificateAuthority authority("deployment", directory);
//     IssuedFiles files = authority.issue({.commonName = "entry1"});

#pragma once

#include "ibislock/base/clock.h"

#include <memory>
#include <string>
#include <vector>

namespace ibislock::standins
{

/// What a certificate says.
struct CertificateOptions
{
    std::string commonName;
    std::vector<std::string> dnsNames{"ibislock", "localhost"};
    std::string ipNumber = "127.0.0.1";
    Millis validFrom{-3600000}; ///< From now.
    Millis validUntil{3600000}; ///< From now.
    std::string fileName; ///< Without suffix; empty for the common name.
};

/// The files of an identity.
struct IssuedFiles
{
    std::string certificate;
    std::string privateKey;
    std::string authority;
};

/// Signs certificates.
class CertificateAuthority
{
public:
    /// @param directory where the files go; it must exist.
    CertificateAuthority(const std::string &name, std::string directory);
    ~CertificateAuthority();

    CertificateAuthority(const CertificateAuthority &) = delete;
    CertificateAuthority &operator=(const CertificateAuthority &) = delete;

    /// Writes a new key and its certificate, in place of files of the same name.
    IssuedFiles issue(const CertificateOptions &options) const;

    /// Gives the file of the authority's own certificate.
    const std::string &file() const;

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

/// A directory that is removed with this object.
class TemporaryDirectory
{
public:
    TemporaryDirectory();
    ~TemporaryDirectory();

    TemporaryDirectory(const TemporaryDirectory &) = delete;
    TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

    const std::string &path() const;

private:
    std::string m_path;
};

} // namespace ibislock::standins
