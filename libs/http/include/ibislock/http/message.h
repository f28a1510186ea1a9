// HTTP/1.1 messages as plain data, and their serialization. No I/O.
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

/// One header field line.
struct Header
{
    std::string name;
    std::string value;
};

/// Returns whether two header names are equal; case is ignored.
bool headerNamesEqual(std::string_view a, std::string_view b);

/// The header field lines of a message in their order.
struct Headers
{
    std::vector<Header> lines;

    /// Appends a line without replacing others of the same name.
    void add(std::string_view name, std::string_view value);

    /// Replaces all lines of a name with one line, which is appended.
    void set(std::string_view name, std::string_view value);

    /// Removes all lines of a name.
    void remove(std::string_view name);

    /// Finds the first line of a name.
    /// @return its value, or nothing; the view is valid as long as the line.
    std::optional<std::string_view> find(std::string_view name) const;

    /// Counts the lines of a name.
    std::size_t count(std::string_view name) const;
};

/// A request without its body.
struct RequestHead
{
    std::string method;
    std::string target; ///< The request target as sent: path and query.
    Headers headers;
    bool keepAlive = true;
};

/// A response without its body.
struct ResponseHead
{
    int status = 0;
    std::string reason;
    Headers headers;
    bool keepAlive = true;
    bool chunked = false;
    bool closeDelimited = false; ///< The body has no framing and ends when the peer closes the connection.
};

/// Removes hop-by-hop headers, which a proxy must not forward: Connection and the headers that it lists, Keep-Alive,
/// TE, Trailer, Transfer-Encoding, Upgrade and Proxy-Connection. Content-Length is removed too, as it is written anew.
void removeHopByHopHeaders(Headers &headers);

/// Parses a decimal number; spaces and tabs around it are ignored.
/// @return the number, or nothing if the text contains anything else or the number exceeds 64 bits.
std::optional<std::uint64_t> parseUnsigned(std::string_view text);

/// Returns the standard reason phrase of a status code; "Status" for codes that the daemons don't send.
std::string_view reasonPhrase(int status);

/// Serializes a request with its body. Content-Length is added unless a GET or HEAD request has no body.
std::string writeRequest(const RequestHead &head, std::string_view body);

/// Serializes a response with its complete body and Content-Length.
std::string writeResponse(const ResponseHead &head, std::string_view body);

/// Serializes the head of a response whose body of a known length is written behind it.
std::string writeResponseHead(const ResponseHead &head, std::size_t bodyBytes);

/// Serializes the head of a response with chunked transfer coding.
std::string writeChunkedHead(const ResponseHead &head);

/// Serializes one chunk of a body. Empty input gives an empty result, as an empty chunk would end the body.
std::string writeChunk(std::string_view bytes);

/// The last chunk, which ends a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace ibislock::http
