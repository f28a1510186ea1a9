#include "ibislock/serving/request_digest.h"

#include "ibislock/base/digest.h"

#include <string>

namespace ibislock::serving
{

namespace
{

/// Space for the lengths of the fields; more is allocated if they need it.
constexpr std::size_t LengthBytes = 32;

} // namespace

std::uint64_t requestDigest(const RequestIdentity &identity)
{
    std::string bytes;
    bytes.reserve(identity.method.size() + identity.host.size() + identity.target.size() + identity.caller.size()
                  + identity.body.size() + LengthBytes);
    for (const std::string_view field : {identity.method, identity.host, identity.target, identity.caller}) {
        // Each field follows its length, so that no two identities have the same bytes.
        bytes.append(std::to_string(field.size())).append(":").append(field);
    }
    bytes.append(identity.body);
    const Digest digest = sha256(bytes);
    std::uint64_t out = 0;
    for (std::size_t n = 0; n < sizeof out; ++n) {
        out = (out << 8U) | digest.bytes[n];
    }
    return out;
}

} // namespace ibislock::serving
