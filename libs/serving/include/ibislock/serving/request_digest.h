// The digest by which all VMs recognise a request that a caller sends again.
//
//     std::uint64_t digest = requestDigest({.host = "h", .target = "/r/x", .caller = "w", .body = body});

#pragma once

#include <cstdint>
#include <string_view>

namespace ibislock::serving
{

/// What makes two attempts of a caller the same request.
struct RequestIdentity
{
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< Path and query.
    std::string_view caller; ///< The workspace, or the API key where no workspace is known.
    std::string_view body;
};

/// Returns the first 64 bits of a SHA-256 digest, from which neither an API key nor a body can be recovered.
std::uint64_t requestDigest(const RequestIdentity &identity);

} // namespace ibislock::serving
