// The commands that run a daemon or check its settings.

#pragma once

#include <string>

namespace ibislock::app
{

/// `ibislock entry --settings FILE`
int runEntry(int argc, char **argv);

/// `ibislock target --settings FILE`
int runTarget(int argc, char **argv);

/// `ibislock front [--settings FILE]`
int runFront(int argc, char **argv);

/// `ibislock side [--settings FILE]`
int runSide(int argc, char **argv);

/// Checks a settings file of the users' platform.
/// @return the exit code.
int checkPlatformSettings(const std::string &file);

/// `ibislock explain ID [LOGFILE...]`
int runExplain(int argc, char **argv);

/// `ibislock check-settings FILE`
int checkSettings(int argc, char **argv);

} // namespace ibislock::app
