// Settings in INI files that are validated when they are loaded.
//
// A program describes each setting by one `SettingSpec`. Loading validates the whole file against these specifications
// and reports all mistakes at once, each with file, section, key and what was expected.
//
//     SettingsResult settings = loadSettings("entry.ini", specs);
//     settings->integer("http", "port");

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/names.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace ibislock
{

/// The type of a setting's value.
enum class SettingType { Text, Integer, Real, Boolean, List, Choice };

/// Names of the types in the reference documentation and in error messages.
inline constexpr NameTable<SettingType, 6> SettingTypeNames{{
    {SettingType::Text, "text"},
    {SettingType::Integer, "whole number"},
    {SettingType::Real, "number"},
    {SettingType::Boolean, "true or false"},
    {SettingType::List, "comma-separated list"},
    {SettingType::Choice, "one of a set"},
}};

/// The specification of one setting.
struct SettingSpec
{
    std::string_view section;
    std::string_view key;
    SettingType type = SettingType::Text;
    /// The default value; a setting without one is required.
    std::optional<std::string_view> fallback;
    double min = 0;
    double max = std::numeric_limits<double>::max();
    /// The allowed values of a choice, separated by commas.
    std::string_view choices;
    std::string_view help;
    /// Whether any key is allowed in the section; the specification then applies to each of them.
    bool anyKey = false;
};

/// A mistake in a settings file.
struct SettingError
{
    std::string file;
    std::string section;
    std::string key;
    std::string expected;
};

/// Formats a mistake as one line: file, section, key and what was expected.
std::string describe(const SettingError &error);

/// Settings that have been validated. Reading a setting without a specification throws std::logic_error.
class Settings
{
public:
    /// Returns the value or default of a text setting.
    const std::string &text(std::string_view section, std::string_view key) const;

    /// Returns the value or default of an integer setting.
    std::int64_t integer(std::string_view section, std::string_view key) const;

    /// Returns the value or default of a floating-point setting.
    double real(std::string_view section, std::string_view key) const;

    /// Returns the value or default of a boolean setting.
    bool boolean(std::string_view section, std::string_view key) const;

    /// Returns the value or default of a list setting.
    std::vector<std::string> list(std::string_view section, std::string_view key) const;

    /// Returns the value or default of an integer setting in milliseconds.
    Millis millis(std::string_view section, std::string_view key) const;

    /// Returns the entries of a section that allows any key.
    std::map<std::string, std::string> entries(std::string_view section) const;

    /// Stores a validated value; used by the loader.
    void put(std::string section, std::string key, std::string value);

private:
    std::map<std::string, std::map<std::string, std::string, std::less<>>, std::less<>> m_values;
};

/// Settings, or all mistakes that the file contains.
using SettingsResult = tl::expected<Settings, std::vector<SettingError>>;

/// Parses and validates a settings document.
/// @param file the file name for error messages.
/// @param text the document.
/// @param specs the specifications of all settings.
SettingsResult parseSettings(const std::string &file, std::string_view text, std::span<const SettingSpec> specs);

/// Loads and validates a settings file.
/// @param file the path of the file.
/// @param specs the specifications of all settings.
SettingsResult loadSettings(const std::string &file, std::span<const SettingSpec> specs);

} // namespace ibislock
