#include "ibislock/security/credential_store.h"

#include "ibislock/base/ini.h"
#include "ibislock/base/log.h"

namespace ibislock::security
{

tl::expected<CredentialSet, std::vector<CredentialError>> loadCredentials(const std::string &file)
{
    const auto entries = readFile(file).and_then([](const std::string &text) { return parseIni(text); });
    if (!entries) {
        return tl::unexpected(std::vector<CredentialError>{{"", "", "an INI file that can be read"}});
    }
    CredentialSections sections;
    std::vector<CredentialError> errors;
    const std::map<std::string_view, std::map<std::string, std::string> *> known{
        {"workspaces", &sections.workspaces},
        {"operators", &sections.operators},
        {"operator_roles", &sections.roles},
    };
    for (const IniEntry &entry : *entries) {
        const auto it = known.find(entry.section);
        if (it == known.end()) {
            errors.push_back({entry.section, entry.key, "a known section"});
        } else if (!it->second->emplace(entry.key, entry.value).second) {
            errors.push_back({entry.section, entry.key, "the key only once"});
        }
    }
    CredentialSet keys = credentialsFrom(sections, errors);
    if (!errors.empty()) {
        return tl::unexpected(std::move(errors));
    }
    return keys;
}

CredentialStore::CredentialStore(const CredentialOptions &options, Counters &counters)
    : m_file(options.file)
    , m_counters(counters)
    , m_watch(m_file.empty() ? std::vector<std::string>{} : std::vector{m_file})
    , m_keys(std::make_shared<const CredentialSet>(options.keys))
{
    if (!m_file.empty()) {
        load();
    }
}

std::shared_ptr<const CredentialSet> CredentialStore::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_keys;
}

void CredentialStore::refresh()
{
    if (m_watch.hasChanged()) {
        load();
    }
}

void CredentialStore::load()
{
    auto keys = loadCredentials(m_file);
    if (!keys) {
        m_counters.add(Counter::ReloadFailures);
        for (const CredentialError &error : keys.error()) {
            logError(LogComponent::Security, "Credentials are not taken over.",
                     {{"section", error.section}, {"name", error.key}, {"expected", error.expected}});
        }
        return;
    }
    m_counters.add(Counter::Reloads);
    logInfo(LogComponent::Security, "Credentials are in force.",
            {{"callers", std::to_string(keys->callers.size())}, {"operators", std::to_string(keys->operators.size())}});
    const std::lock_guard lock(m_mutex);
    m_keys = std::make_shared<const CredentialSet>(std::move(*keys));
}

} // namespace ibislock::security
