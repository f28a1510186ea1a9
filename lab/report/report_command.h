// `ibislock-lab report FILE... -x FIELD -y FIELD [--series FIELD] [--svg OUT] [--markdown OUT]`

#pragma once

namespace ibislock::lab
{

/// Turns experiments' JSON lines into an SVG plot and a Markdown table.
/// @return the exit code: 0, or 1 when a file can't be read or written, or 2 for a wrong command line.
int runReport(int argc, char **argv);

} // namespace ibislock::lab
