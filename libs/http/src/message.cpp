#include "ibislock/http/message.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <strings.h>

namespace ibislock::http
{

namespace
{

constexpr std::array<std::string_view, 8> ConnectionHeaders{
    "Connection", "Keep-Alive", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection", "Content-Length"};

void appendLines(std::string &out, const Headers &headers)
{
    for (const Header &line : headers.lines) {
        out.append(line.name).append(": ").append(line.value).append("\r\n");
    }
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

std::string statusLine(const ResponseHead &head)
{
    const std::string_view reason = head.reason.empty() ? reasonPhrase(head.status) : std::string_view(head.reason);
    std::string out = "HTTP/1.1 " + std::to_string(head.status) + " ";
    return out.append(reason).append("\r\n");
}

} // namespace

bool headerNamesEqual(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

void Headers::add(std::string_view name, std::string_view value)
{
    lines.push_back({std::string(name), std::string(value)});
}

void Headers::set(std::string_view name, std::string_view value)
{
    remove(name);
    add(name, value);
}

void Headers::remove(std::string_view name)
{
    std::erase_if(lines, [&](const Header &line) { return headerNamesEqual(line.name, name); });
}

std::optional<std::string_view> Headers::find(std::string_view name) const
{
    for (const Header &line : lines) {
        if (headerNamesEqual(line.name, name)) {
            return line.value;
        }
    }
    return std::nullopt;
}

std::size_t Headers::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(
        lines.begin(), lines.end(), [&](const Header &line) { return headerNamesEqual(line.name, name); }));
}

void removeHopByHopHeaders(Headers &headers)
{
    std::vector<std::string> named;
    for (const Header &line : headers.lines) {
        if (!headerNamesEqual(line.name, "Connection")) {
            continue;
        }
        std::string_view rest = line.value;
        while (!rest.empty()) {
            const std::size_t comma = std::min(rest.find(','), rest.size());
            named.emplace_back(trimmed(rest.substr(0, comma)));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    for (const std::string &name : named) {
        headers.remove(name);
    }
    for (const std::string_view name : ConnectionHeaders) {
        headers.remove(name);
    }
}

std::optional<std::uint64_t> parseUnsigned(std::string_view text)
{
    text = trimmed(text);
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::string_view reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

std::string writeRequest(const RequestHead &head, std::string_view body)
{
    std::string out;
    out.reserve(512 + body.size());
    out.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
    appendLines(out, head.headers);
    if (!body.empty() || (head.method != "GET" && head.method != "HEAD")) {
        out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    }
    return out.append("\r\n").append(body);
}

std::string writeResponse(const ResponseHead &head, std::string_view body)
{
    return writeResponseHead(head, body.size()).append(body);
}

std::string writeResponseHead(const ResponseHead &head, std::size_t bodyBytes)
{
    std::string out = statusLine(head);
    appendLines(out, head.headers);
    if (!head.keepAlive) {
        out.append("Connection: close\r\n");
    }
    return out.append("Content-Length: ").append(std::to_string(bodyBytes)).append("\r\n\r\n");
}

std::string writeChunkedHead(const ResponseHead &head)
{
    std::string out = statusLine(head);
    appendLines(out, head.headers);
    if (!head.keepAlive) {
        out.append("Connection: close\r\n");
    }
    return out.append("Transfer-Encoding: chunked\r\n\r\n");
}

std::string writeChunk(std::string_view bytes)
{
    if (bytes.empty()) {
        return {};
    }
    std::array<char, 20> size{};
    const auto [end, ec] = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
    std::string out(size.data(), ec == std::errc{} ? end : size.data());
    return out.append("\r\n").append(bytes).append("\r\n");
}

} // namespace ibislock::http
