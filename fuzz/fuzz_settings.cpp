// Fuzz target: INI settings and credentials.

#include "ibislock/security/settings.h"

// The library asks for this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto specs = ibislock::security::credentialSettingSpecs();
    const auto settings = ibislock::parseSettings("fuzz.ini", text, specs);
    if (settings) {
        ibislock::security::credentialOptionsFrom(*settings);
    }
    return 0;
}
