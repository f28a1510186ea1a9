#include "ibislock/security/credentials.h"

#include "ibislock/base/ini.h"

#include <openssl/crypto.h>
#include <set>

namespace ibislock::security
{

namespace
{

constexpr std::string_view DigestScheme = "sha256:";

bool isSame(const Digest &a, const Digest &b)
{
    return CRYPTO_memcmp(a.bytes.data(), b.bytes.data(), a.bytes.size()) == 0;
}

/// Reads one key.
/// @return its digest, or what was expected instead.
tl::expected<Digest, std::string> keyFrom(std::string_view text)
{
    if (text.starts_with(DigestScheme)) {
        const auto digest = digestFromHex(text.substr(DigestScheme.size()));
        if (!digest) {
            return tl::unexpected<std::string>("64 hexadecimal digits after sha256:");
        }
        return *digest;
    }
    if (text.size() < KeyCharactersMin) {
        return tl::unexpected("keys of at least " + std::to_string(KeyCharactersMin) + " characters");
    }
    return sha256(text);
}

/// Reads the one or two keys of a principal.
std::vector<Digest> keysFrom(const std::string &section, const std::string &name, const std::string &value,
                             std::vector<CredentialError> &errors)
{
    const auto items = splitList(value);
    if (items.empty() || items.size() > KeysPerPrincipalMax) {
        errors.push_back({section, name, "one or two keys, separated by a comma"});
        return {};
    }
    std::vector<Digest> keys;
    for (const std::string &item : items) {
        const auto key = keyFrom(item);
        if (!key) {
            errors.push_back({section, name, key.error()});
            return {};
        }
        keys.push_back(*key);
    }
    return keys;
}

OperatorRole roleOf(const std::string &name, const CredentialSections &sections, std::vector<CredentialError> &errors)
{
    const auto it = sections.roles.find(name);
    if (it == sections.roles.end()) {
        return OperatorRole::View;
    }
    const auto role = valueOf(OperatorRoleNames, it->second);
    if (!role) {
        errors.push_back({"operator_roles", name, "view or file"});
    }
    return role.value_or(OperatorRole::View);
}

} // namespace

void addCaller(CredentialSet &keys, std::string_view key, std::string workspace)
{
    keys.callers.push_back({sha256(key), std::move(workspace)});
}

void addOperator(CredentialSet &keys, std::string_view key, Operator holder)
{
    keys.operators.push_back({sha256(key), std::move(holder)});
}

std::optional<std::string> findCaller(const CredentialSet &keys, std::string_view presented)
{
    const Digest digest = sha256(presented);
    const CallerKey *found = nullptr;
    for (const CallerKey &key : keys.callers) {
        found = isSame(key.key, digest) ? &key : found;
    }
    return found == nullptr ? std::nullopt : std::optional(found->workspace);
}

std::optional<Operator> findOperator(const CredentialSet &keys, std::string_view presented)
{
    const Digest digest = sha256(presented);
    const OperatorKey *found = nullptr;
    for (const OperatorKey &key : keys.operators) {
        found = isSame(key.key, digest) ? &key : found;
    }
    return found == nullptr ? std::nullopt : std::optional(found->holder);
}

CredentialSet credentialsFrom(const CredentialSections &sections, std::vector<CredentialError> &errors)
{
    CredentialSet keys;
    std::set<Digest> seen;
    const auto isNew = [&](const Digest &key, const std::string &section, const std::string &name) {
        const bool added = seen.insert(key).second;
        if (!added) {
            errors.push_back({section, name, "a key that no other line has"});
        }
        return added;
    };
    for (const auto &[workspace, value] : sections.workspaces) {
        for (const Digest &key : keysFrom("workspaces", workspace, value, errors)) {
            if (isNew(key, "workspaces", workspace)) {
                keys.callers.push_back({key, workspace});
            }
        }
    }
    for (const auto &[name, value] : sections.operators) {
        const OperatorRole role = roleOf(name, sections, errors);
        for (const Digest &key : keysFrom("operators", name, value, errors)) {
            if (isNew(key, "operators", name)) {
                keys.operators.push_back({key, {.name = name, .role = role}});
            }
        }
    }
    for (const auto &[name, role] : sections.roles) {
        if (!sections.operators.contains(name)) {
            errors.push_back({"operator_roles", name, "an operator of the section operators"});
        }
    }
    return keys;
}

} // namespace ibislock::security
