// Parser for INI documents that keeps line numbers, based on inih.
//
// Settings files and state charts are both INI documents. The parser returns their entries in file order with section
// and line number, so that the checks of both can report the location of a mistake.

#pragma once

#include "ibislock/base/error.h"

#include <string>
#include <string_view>
#include <vector>

namespace ibislock
{

/// One `key = value` line.
struct IniEntry
{
    std::string section;
    std::string key;
    std::string value;
    int line = 0;
};

/// Parses an INI document.
/// @param text the document.
/// @return the entries in file order, or InvalidArgument with the first line that can't be parsed.
Result<std::vector<IniEntry>> parseIni(std::string_view text);

/// Reads a file completely.
/// @param path the path of the file.
/// @return the content, or NotFound if the file can't be opened.
Result<std::string> readFile(const std::string &path);

/// Returns the text without whitespace at both ends.
std::string trimmed(std::string_view text);

/// Splits a comma-separated list and trims its items; empty items are omitted.
std::vector<std::string> splitList(std::string_view text);

} // namespace ibislock
