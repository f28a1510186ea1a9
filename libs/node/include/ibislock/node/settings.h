// Settings that entry and target daemons have in common.

#pragma once

#include "ibislock/base/settings.h"
#include "ibislock/node/node.h"

namespace ibislock::node
{

/// Describes the common settings.
std::vector<SettingSpec> settingSpecs();

/// Builds the node's options from checked settings.
NodeOptions optionsFrom(const Settings &settings, membership::VmKind kind);

/// Reads the log level from checked settings.
std::string logLevelFrom(const Settings &settings);

} // namespace ibislock::node
