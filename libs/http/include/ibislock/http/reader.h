// Reads HTTP/1.1 messages from bytes as they arrive. A library parses; this adds limits and stops after each message.
//
//     MessageReader reader(MessageKind::Request, {.headBytes = 16384});
//     Result<std::size_t> used = reader.feed(bytes);   // stops behind the end of one message
//     if (reader.complete()) { serve(reader.request(), reader.takeBody()); reader.next(); }

#pragma once

#include "ibislock/base/error.h"
#include "ibislock/http/message.h"

#include <memory>

namespace ibislock::http
{

/// Which messages are read.
enum class MessageKind { Request, Response };

/// What a message may be at most.
struct ReaderLimits
{
    std::size_t headBytes = 65536;
    std::size_t bodyBytes = 8 * 1024 * 1024; ///< Of the part of the body that has not been taken.
};

/// Reads one message after another.
class MessageReader
{
public:
    /// @param kind which messages to read.
    /// @param limits what a message may be at most.
    MessageReader(MessageKind kind, ReaderLimits limits);
    ~MessageReader();
    MessageReader(MessageReader &&) noexcept;
    MessageReader &operator=(MessageReader &&) noexcept;

    /// Reads bytes up to the end of the present message.
    /// @return how many bytes belong to the message; Exhausted if a limit is passed, InvalidArgument for bytes that are
    ///         no message.
    Result<std::size_t> feed(std::string_view bytes);

    /// Tells the reader that the peer has ended its side.
    /// @return nothing, or InvalidArgument if that cuts a message off.
    Result<void> finish();

    /// Tells whether any byte of the present message has been read.
    bool started() const;

    /// Tells whether the head of the present message has been read.
    bool headComplete() const;

    /// Tells whether the whole present message has been read.
    bool complete() const;

    /// Tells whether the limit that was passed is that of the head.
    bool headTooLarge() const;

    /// The head of a request, once it is complete.
    const RequestHead &request() const;

    /// The head of a response, once it is complete.
    const ResponseHead &response() const;

    /// Takes what has been read of the body since the last call.
    std::string takeBody();

    /// Begins with the next message.
    void next();

    /// Tells the reader that the present response answers HEAD: its head ends it, whatever length it names.
    void expectNoBody();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace ibislock::http
