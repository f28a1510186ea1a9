// The reference pages that are written from the code's own tables: `ibislock reference settings|counters`.

#pragma once

#include <string>

namespace ibislock::app
{

/// Writes docs/reference/settings.md.
std::string settingsPage();

/// Writes docs/reference/counters.md.
std::string countersPage();

/// `ibislock reference settings|counters`, for those who change the tables.
int runReference(int argc, char **argv);

} // namespace ibislock::app
