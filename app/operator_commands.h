// The commands that operators use: they talk to the administration interface of any entry VM.

#pragma once

namespace ibislock::app
{

/// `ibislock ticket file|show|list`
int runTicket(int argc, char **argv);

/// `ibislock status`
int runStatus(int argc, char **argv);

/// `ibislock audit`
int runAudit(int argc, char **argv);

} // namespace ibislock::app
