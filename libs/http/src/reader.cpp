#include "ibislock/http/reader.h"

#include "ibislock/base/http_status.h"

#include <algorithm>
#include <http_parser.h>

namespace ibislock::http
{

namespace
{

/// Bytes of chunk framing that each byte of a body may take; a chunk of one byte takes five.
constexpr std::size_t FramingPerByte = 8;

/// Bytes of chunk framing that a body may take beyond that, e.g. for extensions of its first chunks and trailers.
constexpr std::size_t FramingSlack = 64 * 1024;

/// A body that isn't announced grows by this part of its size. Doubling would hold up to twice what was received.
constexpr std::size_t GrowthDivisor = 4;

/// Beginning of a response that is kept to check how its status is written; longer status lines have more spaces than
/// any server sends.
constexpr std::size_t StatusLineBytes = 24;

/// Digits of a status.
constexpr std::size_t StatusDigits = 3;

/// Returns whether the status in the beginning of a response has three digits. http_parser takes a number of any length
/// up to 999, such as 2, 20 or 0200.
bool hasThreeDigits(std::string_view statusLine)
{
    statusLine.remove_prefix(std::min(statusLine.find(' '), statusLine.size()));
    statusLine.remove_prefix(std::min(statusLine.find_first_not_of(' '), statusLine.size()));
    const std::size_t end = statusLine.find_first_not_of("0123456789");
    return end == StatusDigits;
}

/// Appends to a body whose capacity grows in small steps; std::string doubles it, also on `reserve`.
void appendInSteps(std::string &body, const char *at, std::size_t n)
{
    const std::size_t size = body.size() + n;
    if (size > body.capacity()) {
        std::string grown;
        grown.reserve(std::max(size, body.size() + body.size() / GrowthDivisor));
        grown.append(body);
        body.swap(grown);
    }
    body.append(at, n);
}

} // namespace

struct MessageReader::State
{
    http_parser parser{};
    MessageKind kind = MessageKind::Request;
    ReaderLimits limits;
    RequestHead request;
    ResponseHead response;
    std::string statusLine; ///< Its first bytes.
    std::string body;
    std::size_t headBytes = 0;
    std::optional<std::uint64_t> announcedBodyBytes;
    std::size_t bodyBytesRead = 0;
    std::size_t bodyWireBytes = 0; ///< Bytes of the body and its framing; those that arrive with the head don't count.
    bool started = false;
    bool headComplete = false;
    bool complete = false;
    bool headTooLarge = false;
    bool bodyTooLarge = false;
    bool inValue = false;
    bool bodyless = false; ///< The current response answers a HEAD request.

    /// Keeps the first bytes of a response, without the empty lines in front of it.
    void keepStatusLine(std::string_view bytes)
    {
        if (kind == MessageKind::Request || statusLine.size() >= StatusLineBytes) {
            return;
        }
        if (statusLine.empty()) {
            bytes.remove_prefix(std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
        }
        statusLine.append(bytes.substr(0, StatusLineBytes - statusLine.size()));
    }

    Headers &headers()
    {
        return kind == MessageKind::Request ? request.headers : response.headers;
    }
};

// Callbacks of http_parser; `parser->data` points to the reader's state.
struct ParserCallbacks
{
    template <typename S>
    static S &stateOf(http_parser *parser)
    {
        return *static_cast<S *>(parser->data);
    }

    template <typename S>
    static http_parser_settings make()
    {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_url = [](http_parser *parser, const char *at, std::size_t n) {
            stateOf<S>(parser).request.target.append(at, n);
            return 0;
        };
        settings.on_status = [](http_parser *parser, const char *at, std::size_t n) {
            stateOf<S>(parser).response.reason.append(at, n);
            return 0;
        };
        settings.on_header_field = [](http_parser *parser, const char *at, std::size_t n) {
            S &state = stateOf<S>(parser);
            if (state.headComplete) {
                return 0; // Trailers are discarded.
            }
            auto &lines = state.headers().lines;
            if (state.inValue || lines.empty()) {
                lines.emplace_back();
                state.inValue = false;
            }
            lines.back().name.append(at, n);
            return 0;
        };
        settings.on_header_value = [](http_parser *parser, const char *at, std::size_t n) {
            S &state = stateOf<S>(parser);
            if (!state.headComplete && !state.headers().lines.empty()) {
                state.inValue = true;
                state.headers().lines.back().value.append(at, n);
            }
            return 0;
        };
        settings.on_headers_complete = [](http_parser *parser) {
            S &state = stateOf<S>(parser);
            if (!namesAreTokens(state.headers()) || parser->http_major != 1) {
                return -1;
            }
            const bool isRequest = state.kind == MessageKind::Request;
            if (!isRequest && !(isHttpStatus(parser->status_code) && hasThreeDigits(state.statusLine))) {
                return -1;
            }
            state.headComplete = true;
            parser->upgrade = 0; // Upgrades aren't supported; the message is parsed like any other.
            const bool keepAlive = http_should_keep_alive(parser) != 0;
            if ((parser->flags & F_CHUNKED) == 0 && parser->content_length != UINT64_MAX) {
                state.announcedBodyBytes = parser->content_length;
            }
            if (state.kind == MessageKind::Request) {
                state.request.method = http_method_str(static_cast<http_method>(parser->method));
                state.request.keepAlive = keepAlive;
                // Nobody takes a part of a request's body, so it can't be read.
                state.bodyTooLarge = state.announcedBodyBytes.value_or(0) > state.limits.bodyBytes;
                return state.bodyTooLarge ? -1 : 0;
            } else {
                state.response.status = parser->status_code;
                state.response.keepAlive = keepAlive;
                state.response.chunked = (parser->flags & F_CHUNKED) != 0;
                state.response.closeDelimited = !state.bodyless && endsWithConnection(parser);
                return state.bodyless || hasNoBody(parser) ? SkipBody : 0;
            }
            return 0;
        };
        settings.on_body = [](http_parser *parser, const char *at, std::size_t n) {
            S &state = stateOf<S>(parser);
            if (state.body.size() + n > state.limits.bodyBytes) {
                state.bodyTooLarge = true;
                return 1;
            }
            appendInSteps(state.body, at, n);
            state.bodyBytesRead += n;
            return 0;
        };
        settings.on_message_complete = [](http_parser *parser) {
            stateOf<S>(parser).complete = true;
            http_parser_pause(parser, 1);
            return 0;
        };
        return settings;
    }

private:
    // http_parser accepts spaces in header names, which receivers interpret differently (a request smuggling risk).
    static bool namesAreTokens(const Headers &headers)
    {
        for (const Header &line : headers.lines) {
            if (line.name.empty() || line.name.find_first_of(" \t") != std::string::npos) {
                return false;
            }
        }
        return true;
    }

    // Return value of on_headers_complete which tells http_parser that the message has no body.
    static constexpr int SkipBody = 1;

    // Responses that never have a body, whatever their Content-Length: RFC 9110, section 6.4.1.
    static bool hasNoBody(const http_parser *parser)
    {
        return parser->status_code / 100 == 1 || parser->status_code == 204 || parser->status_code == 304;
    }

    // http_parser doesn't export its own check. This is the condition of RFC 9112 for a response without framing.
    static bool endsWithConnection(const http_parser *parser)
    {
        const bool framed = (parser->flags & F_CHUNKED) != 0 || parser->content_length != UINT64_MAX;
        return !hasNoBody(parser) && !framed;
    }
};

MessageReader::MessageReader(MessageKind kind, ReaderLimits limits)
    : m_state(std::make_unique<State>())
{
    m_state->kind = kind;
    m_state->limits = limits;
    http_parser_init(&m_state->parser, kind == MessageKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    m_state->parser.data = m_state.get();
}

MessageReader::~MessageReader() = default;
MessageReader::MessageReader(MessageReader &&) noexcept = default;
MessageReader &MessageReader::operator=(MessageReader &&) noexcept = default;

Result<std::size_t> MessageReader::feed(std::string_view bytes)
{
    static const http_parser_settings settings = ParserCallbacks::make<State>();
    State &state = *m_state;
    if (bytes.empty() || state.complete) {
        return 0;
    }
    state.started = true;
    std::size_t used = 0;
    if (!state.headComplete) {
        // The head must end within its limit, also if it arrives together with the bytes after it.
        const std::size_t allowed = std::min(bytes.size(), state.limits.headBytes - state.headBytes);
        state.keepStatusLine(bytes.substr(0, allowed));
        // http_parser interprets a call with no bytes as the end of the connection.
        used = allowed > 0 ? http_parser_execute(&state.parser, &settings, bytes.data(), allowed) : 0;
        state.headBytes += used;
        const bool overflow = HTTP_PARSER_ERRNO(&state.parser) == HPE_HEADER_OVERFLOW;
        const bool unfinished = HTTP_PARSER_ERRNO(&state.parser) == HPE_OK && !state.headComplete;
        state.headTooLarge = overflow || (unfinished && allowed < bytes.size());
    }
    if (HTTP_PARSER_ERRNO(&state.parser) == HPE_OK && state.headComplete && used < bytes.size()) {
        const std::size_t n = http_parser_execute(&state.parser, &settings, bytes.data() + used, bytes.size() - used);
        used += n;
        state.bodyWireBytes += n;
    }
    const http_errno problem = HTTP_PARSER_ERRNO(&state.parser);
    if (state.headTooLarge || state.bodyTooLarge) {
        return failure(ErrorCode::Exhausted,
                       state.headTooLarge ? "the message head exceeds the size limit"
                                          : "the message body exceeds the size limit");
    }
    if (problem != HPE_OK && problem != HPE_PAUSED) {
        return failure(ErrorCode::InvalidArgument, http_errno_description(problem));
    }
    if (state.bodyWireBytes > state.bodyBytesRead * (1 + FramingPerByte) + FramingSlack) {
        return failure(ErrorCode::InvalidArgument, "the framing of the chunks is larger than their content");
    }
    return used;
}

Result<void> MessageReader::finish()
{
    static const http_parser_settings settings = ParserCallbacks::make<State>();
    State &state = *m_state;
    if (!state.started || state.complete) {
        return {};
    }
    http_parser_execute(&state.parser, &settings, nullptr, 0);
    if (!state.complete) {
        return failure(ErrorCode::InvalidArgument, "the connection was closed before the message was complete");
    }
    return {};
}

bool MessageReader::started() const
{
    return m_state->started;
}

bool MessageReader::headComplete() const
{
    return m_state->headComplete;
}

bool MessageReader::complete() const
{
    return m_state->complete;
}

bool MessageReader::headTooLarge() const
{
    return m_state->headTooLarge;
}

const RequestHead &MessageReader::request() const
{
    return m_state->request;
}

const ResponseHead &MessageReader::response() const
{
    return m_state->response;
}

std::optional<std::uint64_t> MessageReader::announcedBodyBytes() const
{
    return m_state->announcedBodyBytes;
}

std::size_t MessageReader::bodyBytesRead() const
{
    return m_state->bodyBytesRead;
}

std::size_t MessageReader::heldBytes() const
{
    const std::size_t lines = m_state->headers().lines.capacity() * sizeof(Header);
    return lines + m_state->headBytes + m_state->body.capacity();
}

std::string MessageReader::takeBody()
{
    return std::exchange(m_state->body, {});
}

void MessageReader::next()
{
    State &state = *m_state;
    http_parser_init(&state.parser, state.kind == MessageKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    state.parser.data = &state;
    state.request = {};
    state.response = {};
    state.statusLine.clear();
    state.body.clear();
    state.headBytes = 0;
    state.announcedBodyBytes.reset();
    state.bodyBytesRead = state.bodyWireBytes = 0;
    state.started = state.headComplete = state.complete = state.inValue = false;
    state.headTooLarge = state.bodyTooLarge = false;
    state.bodyless = false;
}

void MessageReader::expectNoBody()
{
    m_state->bodyless = true;
}

} // namespace ibislock::http
