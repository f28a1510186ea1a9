// Messages over a byte stream, each prefixed with its length in four bytes, little endian.
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

/// The largest message that is accepted, in bytes; a piece of weights has 32 KiB in current installations.
inline constexpr std::size_t MaxFrameBytes = 4 * 1024 * 1024;

/// Returns a message with its length in front.
std::string frame(const std::string &body);

/// Splits received bytes into messages.
class FrameReader
{
public:
    FrameReader() = default;

    /// @param maxBytes limit of a message.
    explicit FrameReader(std::size_t maxBytes);

    /// Appends received bytes.
    void add(std::string_view bytes);

    /// Takes the next message out of the buffer.
    /// @return the message without its length; NotFound if it is incomplete; Corrupt if it exceeds the limit.
    Result<std::string> next();

    /// Releases memory that incomplete messages don't need.
    void releaseUnused();

private:
    std::size_t m_maxBytes = MaxFrameBytes;
    std::string m_bytes;
};

} // namespace ibislock::peer
