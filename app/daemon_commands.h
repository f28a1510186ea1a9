// The commands that run a daemon or check its settings.

#pragma once

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

/// `ibislock check-settings FILE`
int checkSettings(int argc, char **argv);

} // namespace ibislock::app
