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

/// The largest request that is accepted, in bytes. Requests hold an address or the name of a model, some hundred bytes.
inline constexpr std::size_t MaxRequestBytes = 4096;

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

    /// Takes the next message out of the buffer. Memory of messages that were taken out is released when the next one
    /// is incomplete.
    /// @return the message without its length; NotFound if it is incomplete; Corrupt if it exceeds the limit.
    Result<std::string> next();

    /// Releases memory that incomplete messages don't need.
    void releaseUnused();

private:
    Result<std::string> incomplete();

    std::size_t m_maxBytes = MaxFrameBytes;
    std::string m_bytes;
    std::size_t m_taken = 0; ///< Bytes at the beginning of `m_bytes` that belong to messages that were taken out.
};

} // namespace ibislock::peer
