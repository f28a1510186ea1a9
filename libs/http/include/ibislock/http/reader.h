// An incremental HTTP/1.1 parser: http_parser with size limits and a stop after each message.
//
//     MessageReader reader(MessageKind::Request, {.headBytes = 16384});
//     Result<std::size_t> used = reader.feed(bytes);   // stops behind the end of one message
//     if (reader.complete()) { serve(reader.request(), reader.takeBody()); reader.next(); }

#pragma once

#include "ibislock/base/error.h"
#include "ibislock/http/message.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace ibislock::http
{

/// The kind of messages that a reader parses.
enum class MessageKind { Request, Response };

/// Size limits of a message.
struct ReaderLimits
{
    std::size_t headBytes = 65536;
    std::size_t bodyBytes = 8 * 1024 * 1024; ///< Limit of the part of the body that has been read but not taken.
};

/// Parses one message after another.
class MessageReader
{
public:
    /// @param kind whether to parse requests or responses.
    /// @param limits size limits of each message.
    MessageReader(MessageKind kind, ReaderLimits limits);
    ~MessageReader();
    MessageReader(MessageReader &&) noexcept;
    MessageReader &operator=(MessageReader &&) noexcept;

    /// Parses bytes up to the end of the current message.
    /// @return the number of bytes that belong to the message; Exhausted if a limit is exceeded, InvalidArgument if the
    ///         message is malformed.
    Result<std::size_t> feed(std::string_view bytes);

    /// Handles the end of the input, i.e. that the peer has closed its side.
    /// @return nothing, or InvalidArgument if the current message is incomplete.
    Result<void> finish();

    /// Returns whether any byte of the current message has been parsed.
    bool started() const;

    /// Returns whether the head of the current message has been parsed.
    bool headComplete() const;

    /// Returns whether the current message has been parsed completely.
    bool complete() const;

    /// Returns whether `feed` failed because the head exceeds its limit.
    bool headTooLarge() const;

    /// Returns the head of the current request; valid once `headComplete` returns true.
    const RequestHead &request() const;

    /// Returns the head of the current response; valid once `headComplete` returns true.
    const ResponseHead &response() const;

    /// Returns the length of the current message's body if its head announces one.
    std::optional<std::uint64_t> announcedBodyBytes() const;

    /// Returns the number of body bytes of the current message that have been read, also of those that were taken.
    std::size_t bodyBytesRead() const;

    /// Returns the memory that the current message takes: its head, and the part of the body that wasn't taken.
    std::size_t heldBytes() const;

    /// Moves out the part of the body that was read since the last call.
    std::string takeBody();

    /// Resets the reader for the next message.
    void next();

    /// Declares that the current response answers a HEAD request: it ends after its head, whatever its Content-Length.
    /// Call before the response is parsed; `next` resets it.
    void expectNoBody();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace ibislock::http
