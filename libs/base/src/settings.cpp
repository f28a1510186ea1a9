#include "ibislock/base/settings.h"

#include "ibislock/base/ini.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <stdexcept>

namespace ibislock
{

namespace
{

constexpr std::array<std::pair<std::string_view, bool>, 8> BooleanWords{{
    {"true", true},
    {"false", false},
    {"yes", true},
    {"no", false},
    {"on", true},
    {"off", false},
    {"1", true},
    {"0", false},
}};

std::optional<bool> booleanOf(std::string_view value)
{
    for (const auto &[word, meaning] : BooleanWords) {
        if (word == value) {
            return meaning;
        }
    }
    return std::nullopt;
}

template <typename Number>
std::optional<Number> numberOf(std::string_view value)
{
    Number number{};
    const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (ec != std::errc{} || end != value.data() + value.size()) {
        return std::nullopt;
    }
    return number;
}

std::string numberText(double value)
{
    if (value == std::numeric_limits<double>::max()) {
        return "any";
    }
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') {
        text.pop_back();
    }
    return text;
}

std::string rangeText(const SettingSpec &spec)
{
    std::string text(nameOf(SettingTypeNames, spec.type));
    if (spec.max == std::numeric_limits<double>::max()) {
        return text + " of at least " + numberText(spec.min);
    }
    return text + " from " + numberText(spec.min) + " to " + numberText(spec.max);
}

template <typename Number>
std::optional<std::string> checkNumber(const SettingSpec &spec, std::string_view value)
{
    const auto number = numberOf<Number>(value);
    if (number && static_cast<double>(*number) >= spec.min && static_cast<double>(*number) <= spec.max) {
        return std::nullopt;
    }
    return rangeText(spec) + ", not \"" + std::string(value) + "\"";
}

std::optional<std::string> checkChoice(const SettingSpec &spec, const std::string &value)
{
    const auto choices = splitList(spec.choices);
    if (std::find(choices.begin(), choices.end(), value) != choices.end()) {
        return std::nullopt;
    }
    return "one of " + std::string(spec.choices) + ", not \"" + value + "\"";
}

/// Validates a value.
/// @return what was expected instead, or nothing if the value is valid.
std::optional<std::string> checkValue(const SettingSpec &spec, const std::string &value)
{
    switch (spec.type) {
    case SettingType::Integer:
        return checkNumber<std::int64_t>(spec, value);
    case SettingType::Real:
        return checkNumber<double>(spec, value);
    case SettingType::Choice:
        return checkChoice(spec, value);
    case SettingType::Boolean:
        if (!booleanOf(value)) {
            return "true or false, not \"" + value + "\"";
        }
        return std::nullopt;
    case SettingType::Text:
    case SettingType::List:
        if (value.empty() && !spec.fallback) {
            return std::string("a value that is not empty");
        }
        return std::nullopt;
    }
    return std::nullopt;
}

const SettingSpec *findSpec(std::span<const SettingSpec> specs, std::string_view section, std::string_view key)
{
    const auto it = std::find_if(specs.begin(), specs.end(), [&](const SettingSpec &spec) {
        return spec.section == section && (spec.anyKey || spec.key == key);
    });
    return it == specs.end() ? nullptr : &*it;
}

bool hasSection(std::span<const SettingSpec> specs, std::string_view section)
{
    return std::any_of(specs.begin(), specs.end(), [&](const SettingSpec &spec) { return spec.section == section; });
}

} // namespace

std::string describe(const SettingError &error)
{
    std::string line = error.file + ": ";
    if (!error.section.empty()) {
        line += "[" + error.section + "] ";
    }
    if (!error.key.empty()) {
        line += error.key + ": ";
    }
    return line + "expected " + error.expected;
}

const std::string &Settings::text(std::string_view section, std::string_view key) const
{
    const auto found = m_values.find(section);
    if (found != m_values.end()) {
        const auto it = found->second.find(key);
        if (it != found->second.end()) {
            return it->second;
        }
    }
    throw std::logic_error("setting without a specification: " + std::string(section) + "." + std::string(key));
}

std::int64_t Settings::integer(std::string_view section, std::string_view key) const
{
    return numberOf<std::int64_t>(text(section, key)).value_or(0);
}

double Settings::real(std::string_view section, std::string_view key) const
{
    return numberOf<double>(text(section, key)).value_or(0);
}

bool Settings::boolean(std::string_view section, std::string_view key) const
{
    return booleanOf(text(section, key)).value_or(false);
}

std::vector<std::string> Settings::list(std::string_view section, std::string_view key) const
{
    return splitList(text(section, key));
}

Millis Settings::millis(std::string_view section, std::string_view key) const
{
    return Millis(integer(section, key));
}

std::map<std::string, std::string> Settings::entries(std::string_view section) const
{
    const auto it = m_values.find(section);
    if (it == m_values.end()) {
        return {};
    }
    return {it->second.begin(), it->second.end()};
}

void Settings::put(std::string section, std::string key, std::string value)
{
    m_values[std::move(section)][std::move(key)] = std::move(value);
}

SettingsResult parseSettings(const std::string &file, std::string_view text, std::span<const SettingSpec> specs)
{
    const auto entries = parseIni(text);
    if (!entries) {
        return tl::unexpected(std::vector<SettingError>{{file, "", "", "an INI document: " + entries.error().message}});
    }
    Settings settings;
    std::vector<SettingError> errors;
    std::set<std::pair<std::string, std::string>> seen;
    for (const IniEntry &entry : *entries) {
        const SettingSpec *spec = findSpec(specs, entry.section, entry.key);
        const std::string place = " (line " + std::to_string(entry.line) + ")";
        if (spec == nullptr) {
            const char *what = hasSection(specs, entry.section) ? "a known key" : "a known section";
            errors.push_back({file, entry.section, entry.key, what + place});
            continue;
        }
        if (!seen.emplace(entry.section, entry.key).second) {
            errors.push_back({file, entry.section, entry.key, "the key only once" + place});
            continue;
        }
        if (const auto expected = checkValue(*spec, entry.value)) {
            errors.push_back({file, entry.section, entry.key, *expected + place});
            continue;
        }
        settings.put(entry.section, entry.key, entry.value);
    }
    for (const SettingSpec &spec : specs) {
        if (spec.anyKey || seen.contains({std::string(spec.section), std::string(spec.key)})) {
            continue;
        }
        if (!spec.fallback) {
            errors.push_back({file, std::string(spec.section), std::string(spec.key),
                              "a " + std::string(nameOf(SettingTypeNames, spec.type)) + "; the key is required"});
            continue;
        }
        settings.put(std::string(spec.section), std::string(spec.key), std::string(*spec.fallback));
    }
    if (!errors.empty()) {
        return tl::unexpected(std::move(errors));
    }
    return settings;
}

SettingsResult loadSettings(const std::string &file, std::span<const SettingSpec> specs)
{
    const auto text = readFile(file);
    if (!text) {
        return tl::unexpected(std::vector<SettingError>{{file, "", "", "a file that can be read"}});
    }
    return parseSettings(file, *text, specs);
}

} // namespace ibislock
