// Settings of an entry daemon.

#pragma once

#include "ibislock/base/settings.h"
#include "ibislock/entry/options.h"

namespace ibislock::entry
{

/// Describes every setting of an entry daemon.
std::vector<SettingSpec> settingSpecs();

/// Builds the daemon's options from checked settings.
EntryOptions optionsFrom(const Settings &settings);

} // namespace ibislock::entry
