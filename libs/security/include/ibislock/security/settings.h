// Settings of TLS and credentials, and the checks that need the files that they name.

#pragma once

#include "ibislock/base/settings.h"
#include "ibislock/security/credential_store.h"
#include "ibislock/security/tls.h"

namespace ibislock::security
{

/// Describes the settings of TLS, which every daemon has.
std::vector<SettingSpec> tlsSettingSpecs();

/// Describes the settings of credentials, which entry daemons have.
std::vector<SettingSpec> credentialSettingSpecs();

/// Builds the options of TLS from checked settings.
TlsOptions tlsOptionsFrom(const Settings &settings);

/// Builds the options of credentials from checked settings; lines with mistakes are left out.
CredentialOptions credentialOptionsFrom(const Settings &settings);

/// Checks the certificates that the settings name.
/// @param file the name that error messages give.
std::vector<SettingError> checkTls(const std::string &file, const TlsOptions &options, bool servesHttp, Millis now);

/// Checks the credentials in the settings and in the file that they name.
std::vector<SettingError> checkCredentials(const std::string &file, const Settings &settings);

} // namespace ibislock::security
