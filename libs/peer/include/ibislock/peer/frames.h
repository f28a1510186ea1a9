// Messages over a byte stream, each behind its length in four bytes, little endian.
//
//     connection.write(frame(body));
//     reader.add(bytes);
//     while (auto body = reader.next()) { ... }

#pragma once

#include "ibislock/base/error.h"

#include <string>
#include <string_view>

namespace ibislock::peer
{

/// The largest message that is read, in bytes; a piece of weights has 32 KiB on the present installations.
inline constexpr std::size_t MaxFrameBytes = 4 * 1024 * 1024;

/// Puts the length in front of a message.
std::string frame(const std::string &body);

/// Takes messages out of bytes as they arrive.
class FrameReader
{
public:
    /// Adds bytes.
    void add(std::string_view bytes);

    /// Takes the next message.
    /// @return its bytes; NotFound if more are needed; Corrupt if it is too large.
    Result<std::string> next();

private:
    std::string m_bytes;
};

} // namespace ibislock::peer
