// HTTP/1.1 messages as values, and how they are written. No I/O.
//
//     RequestHead head{.method = "GET", .target = "/health"};
//     head.headers.add("Host", "example");
//     std::string wire = writeRequest(head, body);

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibislock::http
{

/// One header line.
struct Header
{
    std::string name;
    std::string value;
};

/// Compares header names, which ignore case.
bool headerNamesEqual(std::string_view a, std::string_view b);

/// The header lines of a message in their order.
struct Headers
{
    std::vector<Header> lines;

    /// Appends a line.
    void add(std::string_view name, std::string_view value);

    /// Replaces all lines of a name by one.
    void set(std::string_view name, std::string_view value);

    /// Removes all lines of a name.
    void remove(std::string_view name);

    /// Finds the first value of a name.
    /// @return the value, or nothing; the view lives as long as the line.
    std::optional<std::string_view> find(std::string_view name) const;

    /// Counts the lines of a name.
    std::size_t count(std::string_view name) const;
};

/// Everything of a request but its body.
struct RequestHead
{
    std::string method;
    std::string target; ///< The path with its query, as sent.
    Headers headers;
    bool keepAlive = true;
};

/// Everything of a response but its body.
struct ResponseHead
{
    int status = 0;
    std::string reason;
    Headers headers;
    bool keepAlive = true;
    bool chunked = false;
    bool closeDelimited = false; ///< The body has no framing and lasts until the connection ends.
};

/// Removes the lines that concern one connection only: Connection and what it names, Keep-Alive, TE, Trailer,
/// Transfer-Encoding, Upgrade, Proxy-Connection and Content-Length.
void removeHopByHopHeaders(Headers &headers);

/// Reads a whole number that stands alone in a text.
/// @return the number, or nothing for any other text.
std::optional<std::uint64_t> parseUnsigned(std::string_view text);

/// The usual reason phrase of a status.
std::string_view reasonPhrase(int status);

/// Writes a request with its body; Content-Length is added where the body or the method asks for it.
std::string writeRequest(const RequestHead &head, std::string_view body);

/// Writes a response with its whole body and Content-Length.
std::string writeResponse(const ResponseHead &head, std::string_view body);

/// Writes the head of a response whose body follows in chunks.
std::string writeChunkedHead(const ResponseHead &head);

/// Writes one chunk; an empty text gives nothing, as an empty chunk would end the body.
std::string writeChunk(std::string_view bytes);

/// Ends a body that was sent in chunks.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace ibislock::http
