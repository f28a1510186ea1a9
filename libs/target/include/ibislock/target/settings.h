// Settings of a target daemon.

#pragma once

#include "ibislock/base/settings.h"
#include "ibislock/target/options.h"

namespace ibislock::target
{

/// Describes every setting of a target daemon.
std::vector<SettingSpec> settingSpecs();

/// Builds the daemon's options from checked settings.
TargetOptions optionsFrom(const Settings &settings);

} // namespace ibislock::target
