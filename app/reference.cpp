#include "reference.h"

#include "exit_codes.h"

#include "ibislock/base/counters.h"
#include "ibislock/entry/settings.h"
#include "ibislock/target/settings.h"

#include <iostream>
#include <limits>
#include <sstream>
#include <string_view>

namespace ibislock::app
{

namespace
{

std::string valuesOf(const SettingSpec &spec)
{
    std::ostringstream out;
    out << nameOf(SettingTypeNames, spec.type);
    if (spec.type == SettingType::Choice) {
        out << ": " << spec.choices;
    } else if (spec.type == SettingType::Integer || spec.type == SettingType::Real) {
        out.precision(std::numeric_limits<double>::digits10);
        out << " from " << spec.min;
        if (spec.max != std::numeric_limits<double>::max()) {
            out << " to " << spec.max;
        }
    }
    return out.str();
}

std::string defaultOf(const SettingSpec &spec)
{
    if (!spec.fallback) {
        return "required";
    }
    return spec.fallback->empty() ? "" : "`" + std::string(*spec.fallback) + "`";
}

void writeTable(std::ostream &out, const std::vector<SettingSpec> &specs)
{
    out << "| section | key | value | default | meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const SettingSpec &spec : specs) {
        out << "| " << spec.section << " | " << (spec.anyKey ? "any" : spec.key) << " | " << valuesOf(spec) << " | "
            << defaultOf(spec) << " | " << spec.help << " |\n";
    }
}

} // namespace

std::string settingsPage()
{
    std::ostringstream out;
    out << "# Settings\n\nWritten by `ibislock reference settings`; a test compares it with the code.\n\n## Entry "
           "VMs\n\n";
    writeTable(out, entry::settingSpecs());
    out << "\n## Target VMs\n\n";
    writeTable(out, target::settingSpecs());
    return out.str();
}

std::string countersPage()
{
    std::ostringstream out;
    out << "# Counters\n\nWritten by `ibislock reference counters`; a test compares it with the code.\n\n"
        << "| name | type | meaning |\n| --- | --- | --- |\n";
    for (std::size_t i = 0; i < CounterCount; ++i) {
        const CounterInfo &info = infoOf(static_cast<Counter>(i));
        out << "| " << info.name << " | " << info.type << " | " << info.help << " |\n";
    }
    return out.str();
}

int runReference(int argc, char **argv)
{
    const std::string_view page = argc > 1 ? argv[1] : "";
    if (page != "settings" && page != "counters") {
        std::cerr << "usage: ibislock reference settings|counters\n";
        return Usage;
    }
    std::cout << (page == "settings" ? settingsPage() : countersPage());
    return Success;
}

} // namespace ibislock::app
