// The operators' status page: one static HTML document that reads `/v1/status` with the credential that the reader
// types in. The credential stays in the page's memory.
//
//     addStatusPage(server);   // GET /

#pragma once

#include <httplib.h>
#include <string>
#include <string_view>

namespace ibislock::entry
{

/// Gives the document.
std::string_view statusPage();

/// Gives the Content-Security-Policy of the document: its own script and style by their digests, calls to its own
/// origin, and nothing else.
std::string statusPagePolicy();

/// Adds the route to a server. The page holds no data, so it asks for no credential.
void addStatusPage(httplib::Server &server);

} // namespace ibislock::entry
