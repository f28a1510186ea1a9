// What an entry VM knows of the deployment, as the JSON document of `GET /v1/status`.
//
// Every part carries its age, and is marked as stale once it is older than what the routing would still rely on, so
// that an old view never looks fresh.

#pragma once

#include "ibislock/configuration/state.h"
#include "ibislock/membership/view.h"

#include <nlohmann/json.hpp>

namespace ibislock::entry
{

/// What the document is made from.
struct StatusInput
{
    std::string vm;
    std::string domain;
    const configuration::State &state;
    const membership::View &view;
    membership::ViewOptions viewOptions;
    bool logReachable = false;
    Millis logReadAt{0}; ///< Monotonic; when the log last answered.
    Millis now{0}; ///< Monotonic.
    Millis wallNow{0};
};

/// Builds the document.
nlohmann::json statusDocument(const StatusInput &input);

} // namespace ibislock::entry
