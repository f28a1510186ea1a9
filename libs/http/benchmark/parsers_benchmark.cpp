// Compares libs/http, which is based on http_parser, with the incremental parsers of Boost.Beast: whether each accepts
// a table of framing cases, and how long each takes for the most frequent message of an entry VM.

#include "ibislock/http/reader.h"

#include <array>
#include <benchmark/benchmark.h>
#include <boost/beast/http.hpp>
#include <iomanip>
#include <iostream>

namespace
{

using namespace ibislock;
namespace beast = boost::beast::http;

/// Limits of body and head in bytes, for both parsers.
constexpr std::size_t BodyLimit = 1024;
constexpr std::size_t HeadLimit = 512;

/// The result of parsing some bytes.
struct Verdict
{
    bool whole = false; ///< They start with a complete message.
    std::size_t used = 0;
    std::string body;
};

Verdict judgeOurs(http::MessageKind kind, const std::string &bytes, bool ends)
{
    http::MessageReader reader(kind, {.headBytes = HeadLimit, .bodyBytes = BodyLimit});
    const auto used = reader.feed(bytes);
    const bool finished = used && (!ends || reader.finish());
    return {.whole = finished && reader.complete(), .used = used.value_or(0), .body = reader.takeBody()};
}

template <typename Parser>
Verdict judgeBeast(const std::string &bytes, bool ends)
{
    Parser parser;
    parser.eager(true);
    parser.header_limit(HeadLimit);
    parser.body_limit(BodyLimit);
    boost::system::error_code ec;
    const std::size_t used = parser.put(boost::asio::buffer(bytes), ec);
    const bool incomplete = ec == beast::error::need_more;
    if (ends && (!ec || incomplete) && !parser.is_done()) {
        ec = {};
        parser.put_eof(ec);
    }
    return {.whole = !ec && parser.is_done(), .used = used, .body = parser.get().body()};
}

/// Input bytes, and how a strict receiver parses them.
struct FramingCase
{
    std::string name;
    http::MessageKind kind = http::MessageKind::Request;
    std::string bytes;
    bool ends = false; ///< The connection is closed after them.
    bool whole = false;
    std::size_t left = 0; ///< Number of bytes that belong to the next message.
};

const std::string Post = "POST / HTTP/1.1\r\nHost: a\r\n";
const std::string Ok = "HTTP/1.1 200 OK\r\n";

std::vector<FramingCase> framingCases()
{
    constexpr auto Request = http::MessageKind::Request;
    constexpr auto Response = http::MessageKind::Response;
    return {
        {"length", Request, Post + "Content-Length: 3\r\n\r\nabc", false, true},
        {"chunked", Request, Post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false, true},
        {"same length twice", Request, Post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"},
        {"two lengths", Request, Post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"},
        {"list of lengths", Request, Post + "Content-Length: 3, 4\r\n\r\nabcd"},
        {"length with sign", Request, Post + "Content-Length: +3\r\n\r\nabc"},
        {"chunked with length", Request,
         Post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
        {"unknown coding last", Request, Post + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n"},
        {"bare LF in head", Request, "POST / HTTP/1.1\nHost: a\nContent-Length: 0\n\n"},
        {"bare CR in value", Request, Post + "X: a\rb\r\nContent-Length: 0\r\n\r\n"},
        {"folded line", Request, Post + "X: a\r\n b\r\nContent-Length: 0\r\n\r\n"},
        {"space before colon", Request, Post + "Content-Length : 0\r\n\r\n"},
        {"space in name", Request, Post + "X Y: 0\r\nContent-Length: 0\r\n\r\n"},
        {"large head", Request, Post + "X: " + std::string(HeadLimit, 'x') + "\r\nContent-Length: 0\r\n\r\n"},
        {"large body", Request, Post + "Content-Length: 1025\r\n\r\n" + std::string(BodyLimit + 1, 'x')},
        {"chunk size overflows", Request,
         Post + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nabc\r\n0\r\n\r\n"},
        {"cut off body", Request, Post + "Content-Length: 5\r\n\r\nabc", true},
        {"pipelined", Request, Post + "Content-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n", false, true, 18},
        {"major version 2", Request, "POST / HTTP/2.0\r\nHost: a\r\nContent-Length: 0\r\n\r\n"},
        {"bytes behind answer", Response, Ok + "Content-Length: 3\r\n\r\nabcdef", false, true, 3},
        {"interim answer", Response, "HTTP/1.1 100 Continue\r\n\r\n" + Ok + "Content-Length: 0\r\n\r\n", false, true,
         Ok.size() + 21},
        {"204 with body", Response, "HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\nabc", false, true, 3},
        {"answer without length", Response, Ok + "\r\nabc", true, true},
        {"cut off chunks", Response, Ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", true},
        {"answer of version 2", Response, "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n"},
    };
}

std::string textOf(const Verdict &verdict, const FramingCase &item)
{
    const bool right = verdict.whole == item.whole && (!item.whole || item.bytes.size() - verdict.used == item.left);
    return std::string(right ? "correct" : "wrong") + (verdict.whole ? ", accepted" : ", rejected");
}

void printCases()
{
    std::cout << std::left << std::setw(26) << "case" << std::setw(20) << "libs/http"
              << "Beast\n";
    for (const FramingCase &item : framingCases()) {
        const bool request = item.kind == http::MessageKind::Request;
        const Verdict beasts = request ? judgeBeast<beast::request_parser<beast::string_body>>(item.bytes, item.ends)
                                       : judgeBeast<beast::response_parser<beast::string_body>>(item.bytes, item.ends);
        std::cout << std::setw(26) << item.name << std::setw(20)
                  << textOf(judgeOurs(item.kind, item.bytes, item.ends), item) << textOf(beasts, item) << "\n";
    }
}

/// Returns a typical request of a caller.
std::string usualRequest()
{
    http::RequestHead head{.method = "POST", .target = "/lepu270/2f"};
    head.headers.add("Host", "jepu9.example");
    head.headers.add("X-Attempt", "9c41d07be2a35f68");
    head.headers.add("X-Model", "daka510000");
    head.headers.add("X-Tokens", "1460,80");
    head.headers.add("X-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    head.headers.add("X-Deadline", "6000");
    head.headers.add("X-Key", "jnbanfqasnmgkcuyj8pj");
    return http::writeRequest(head, std::string(BodyLimit / 2, 'x'));
}

void readOurs(benchmark::State &state)
{
    const std::string bytes = usualRequest();
    for (auto step : state) {
        http::MessageReader reader(http::MessageKind::Request, {});
        benchmark::DoNotOptimize(reader.feed(bytes));
        benchmark::DoNotOptimize(reader.takeBody());
    }
}

void readBeast(benchmark::State &state)
{
    const std::string bytes = usualRequest();
    for (auto step : state) {
        beast::request_parser<beast::string_body> parser;
        parser.eager(true);
        boost::system::error_code ec;
        benchmark::DoNotOptimize(parser.put(boost::asio::buffer(bytes), ec));
        benchmark::DoNotOptimize(parser.get().body());
    }
}

BENCHMARK(readOurs);
BENCHMARK(readBeast);

} // namespace

int main(int argc, char **argv)
{
    printCases();
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
