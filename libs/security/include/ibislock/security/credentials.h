// Keys of callers and operators.
//
// Keys are kept as SHA-256 digests only, and a presented key is compared with every known one in constant time. A
// principal may have two keys at once, so that a key can be replaced without an interruption.
//
//     CredentialSet keys;
//     addCaller(keys, "a long random key", "dala");
//     findCaller(keys, presented);            // "dala", or nothing

#pragma once

#include "ibislock/base/digest.h"
#include "ibislock/base/names.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibislock::security
{

/// The fewest characters of a key.
inline constexpr std::size_t KeyCharactersMin = 16;

/// How many keys a principal may have at the same time.
inline constexpr std::size_t KeysPerPrincipalMax = 2;

/// What an operator may do. Each role includes the ones before it.
enum class OperatorRole { View, File };

/// External names of the roles, as in the settings.
inline constexpr NameTable<OperatorRole, 2> OperatorRoleNames{{
    {OperatorRole::View, "view"},
    {OperatorRole::File, "file"},
}};

/// An operator whose key was recognised.
struct Operator
{
    std::string name;
    OperatorRole role = OperatorRole::View;

    bool operator==(const Operator &) const = default;
};

/// A caller's key.
struct CallerKey
{
    Digest key;
    std::string workspace;
};

/// An operator's key.
struct OperatorKey
{
    Digest key;
    Operator holder;
};

/// All keys that are accepted.
struct CredentialSet
{
    std::vector<CallerKey> callers;
    std::vector<OperatorKey> operators;
};

/// Adds a caller's key.
/// @param key the key itself; only its digest is kept.
void addCaller(CredentialSet &keys, std::string_view key, std::string workspace);

/// Adds an operator's key.
void addOperator(CredentialSet &keys, std::string_view key, Operator holder);

/// Finds the workspace that a presented key belongs to.
std::optional<std::string> findCaller(const CredentialSet &keys, std::string_view presented);

/// Finds the operator that a presented key belongs to.
std::optional<Operator> findOperator(const CredentialSet &keys, std::string_view presented);

/// The sections of a settings file that hold keys: name to value.
struct CredentialSections
{
    std::map<std::string, std::string> workspaces; ///< Workspace to one or two keys, separated by a comma.
    std::map<std::string, std::string> operators; ///< Operator to one or two keys.
    std::map<std::string, std::string> roles; ///< Operator to role; an operator without one may view only.
};

/// A mistake in a section with keys. It names the place and never the key.
struct CredentialError
{
    std::string section;
    std::string key;
    std::string expected;
};

/// Reads the keys of some sections. A key is written in plain text or as `sha256:` and 64 hexadecimal digits.
/// @param errors takes every mistake.
/// @return the keys that are right.
CredentialSet credentialsFrom(const CredentialSections &sections, std::vector<CredentialError> &errors);

} // namespace ibislock::security
