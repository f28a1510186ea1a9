// SHA-256 digests of chunks, manifests, tickets and states.
//
//     Digest digest = sha256(bytes);
//     toHex(digest);                 // 64 hexadecimal digits
//     Result<Digest> parsed = digestFromHex(text);

#pragma once

#include "ibislock/base/error.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace ibislock
{

/// The size of a SHA-256 digest in bytes.
inline constexpr std::size_t DigestBytes = 32;

/// A SHA-256 digest. The default value, all zero, stands for "none".
struct Digest
{
    std::array<std::uint8_t, DigestBytes> bytes{};

    auto operator<=>(const Digest &) const = default;

    /// Tells whether this is the value that stands for "none".
    bool isNone() const
    {
        return *this == Digest{};
    }
};

/// Computes the SHA-256 digest of a byte string.
Digest sha256(std::string_view data);

/// Formats bytes as lower-case hexadecimal digits.
std::string hexOf(std::string_view data);

/// Formats a number as hexadecimal digits without leading zeros.
std::string hexNumber(std::uint64_t value);

/// Formats a digest as 64 lower-case hexadecimal digits.
std::string toHex(const Digest &digest);

/// Parses a digest from 64 hexadecimal digits.
/// @return the digest, or InvalidArgument for another length or other characters.
Result<Digest> digestFromHex(std::string_view text);

/// Copies a digest from 32 raw bytes.
/// @return the digest, or InvalidArgument for another length.
Result<Digest> digestFromBytes(std::string_view data);

/// Returns a view of the raw bytes of a digest, which must outlive the view.
std::string_view bytesOf(const Digest &digest);

} // namespace ibislock
