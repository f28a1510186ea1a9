// The keys in force in a daemon, read again when their file changes.
//
//     CredentialStore store({.file = "keys.ini"}, counters);
//     store.refresh();                       // on a timer
//     findOperator(*store.current(), presented);

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/counters.h"
#include "ibislock/base/error.h"
#include "ibislock/security/credentials.h"
#include "ibislock/security/file_watch.h"

#include <memory>
#include <mutex>

namespace ibislock::security
{

/// Where a daemon's keys come from.
struct CredentialOptions
{
    CredentialSet keys; ///< From the settings; a file replaces them.
    std::string file; ///< An INI file with the sections workspaces, operators and operator_roles; empty for none.
    Millis reloadInterval{2000};
};

/// Reads a file with keys.
/// @return the keys, or every mistake; a mistake never shows a key.
tl::expected<CredentialSet, std::vector<CredentialError>> loadCredentials(const std::string &file);

/// Keys that change while the daemon runs. Safe from several threads.
class CredentialStore
{
public:
    /// Reads the file when one is named; a file with mistakes leaves the keys of the settings.
    CredentialStore(const CredentialOptions &options, Counters &counters);

    /// Gives the keys in force.
    std::shared_ptr<const CredentialSet> current() const;

    /// Reads the file again when it was replaced. A file with mistakes changes nothing.
    void refresh();

private:
    void load();

    std::string m_file;
    Counters &m_counters;
    FileWatch m_watch;
    mutable std::mutex m_mutex;
    std::shared_ptr<const CredentialSet> m_keys;
};

} // namespace ibislock::security
