// Certificates and private keys of a daemon: reading, checking, and reading again when their files change.
//
//     auto store = TlsStore::open(options.peers, {.peerName = "ibislock"});
//     (*store)->current()->certificatePem;
//     (*store)->refresh();                   // on a timer

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/error.h"
#include "ibislock/security/file_watch.h"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace ibislock::security
{

/// How a daemon's connections are protected.
enum class TlsMode { Plaintext, Tls };

/// External names of the modes, as in the settings.
inline constexpr NameTable<TlsMode, 2> TlsModeNames{{{TlsMode::Plaintext, "plaintext"}, {TlsMode::Tls, "tls"}}};

/// The PEM files of one identity.
struct TlsFiles
{
    std::string certificate;
    std::string privateKey;
    std::string authority; ///< What signs the peers' certificates; empty where no peer is checked.
};

/// Everything about TLS that a daemon needs to know.
struct TlsOptions
{
    TlsMode mode = TlsMode::Tls;
    TlsFiles peers; ///< Between the processes of the deployment.
    TlsFiles http; ///< Towards callers and operators.
    std::string peerName = "ibislock"; ///< The DNS name that the certificate of every process carries.
    Millis reloadInterval{2000};
};

/// A certificate, its key and the authority, checked, in PEM.
struct TlsMaterial
{
    std::string certificatePem;
    std::string keyPem;
    std::string authorityPem;
    std::string commonName; ///< The VM's name.
    Millis expiresAt{0}; ///< Wall clock.
};

/// Reads and checks the files of an identity: readable, valid now, key and certificate belong together, signed by the
/// authority, and carrying a name.
/// @param peerName the DNS name that the certificate must carry; empty for any.
/// @param now the wall clock.
/// @return the material, or one sentence that names the file and what is wrong with it.
Result<TlsMaterial> loadTls(const TlsFiles &files, const std::string &peerName, Millis now);

/// An identity that changes while the daemon runs. Safe from several threads.
class TlsStore
{
public:
    /// Reads the files.
    static Result<std::shared_ptr<TlsStore>> open(const TlsFiles &files, std::string peerName);

    /// Gives the material for the next connection.
    std::shared_ptr<const TlsMaterial> current() const;

    /// Gives the DNS name that peers must carry.
    const std::string &peerName() const;

    /// Reads the files again when one was replaced. Files with mistakes change nothing.
    /// @return whether the material was replaced, or what is wrong with the new files.
    Result<bool> refresh();

private:
    TlsStore(TlsFiles files, std::string peerName, FileWatch watch);

    TlsFiles m_files;
    std::string m_peerName;
    FileWatch m_watch;
    mutable std::mutex m_mutex;
    std::shared_ptr<const TlsMaterial> m_material;
};

} // namespace ibislock::security
