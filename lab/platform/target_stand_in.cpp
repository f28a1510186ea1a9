#include "platform/target_stand_in.h"

#include <nlohmann/json.hpp>

namespace ibislock::lab
{

namespace
{

/// Bytes that behaviours without end write at once.
constexpr std::size_t EndlessPart = 64 * 1024;

/// Bytes that are sent of the event in which a stream is cut off.
constexpr std::size_t CutEventBytes = 7;

std::string headerOf(const http::RequestHead &request, std::string_view name)
{
    return std::string(request.headers.find(name).value_or(""));
}

std::string eventText(int number)
{
    return "id: " + std::to_string(number) + "\ndata: event " + std::to_string(number) + "\n\n";
}

} // namespace

TargetStandIn::TargetStandIn(asio::io_context &loop, std::string targetId, const std::string &ip)
    : id(std::move(targetId))
    , m_loop(loop)
    , m_ip(ip)
    , m_listener(loop, [this](const std::shared_ptr<net::Connection> &connection) { serve(connection); })
{
    m_listener.open(m_ip, 0);
}

TargetStandIn::~TargetStandIn()
{
    for (const auto &connection : m_connections) {
        connection->close();
    }
}

std::uint16_t TargetStandIn::port() const
{
    return m_listener.port();
}

std::string TargetStandIn::listing(const std::string &service, bool leaving) const
{
    nlohmann::json out{{"Service", service},
                       {"Address", m_ip + ":" + std::to_string(port())},
                       {"Zone", domain},
                       {"Version", "v1"},
                       {"Slots", Slots},
                       {"State", leaving ? "draining" : "ready"},
                       {"ColdLeftMs", coldLeft.count()},
                       {"Sequence", 1}};
    if (weightsVersion > 0) {
        out["Models"] = {{{"Name", "m"}, {"Version", weightsVersion}, {"Adapters", nlohmann::json::array()}}};
    }
    if (startedAt > 0) {
        out["born"] = startedAt;
    }
    return out.dump();
}

void TargetStandIn::serve(const std::shared_ptr<net::Connection> &connection)
{
    m_connections.push_back(connection);
    ++open;
    auto reader = std::make_shared<http::MessageReader>(http::MessageKind::Request, http::ReaderLimits{});
    connection->start({
        .data =
            [this, raw = connection.get(), reader, used = std::make_shared<bool>(false)](std::string_view bytes) {
                if (std::exchange(*used, true) && behaviour == TargetBehaviour::StreamOnce) {
                    raw->close();
                    return;
                }
                while (!bytes.empty()) {
                    const auto n = reader->feed(bytes);
                    if (!n || !reader->complete()) {
                        return;
                    }
                    bytes.remove_prefix(*n);
                    if (behaviour != TargetBehaviour::Refuse && behaviour != TargetBehaviour::RefuseBusy
                        && behaviour != TargetBehaviour::RefuseLate) {
                        requests.push_back(reader->request());
                        bodies.push_back(reader->takeBody());
                    }
                    answer(*raw, reader->request());
                    reader->next();
                }
            },
        .closed = [this](net::CloseReason) { --open; },
    });
}

http::ResponseHead TargetStandIn::head(int status, const std::string &attempt) const
{
    http::ResponseHead out{.status = status};
    out.headers.add("X-Ibislock-Attempt-Id", attempt);
    out.headers.add("X-Ibislock-Response-Signature", "s-" + id + "-" + attempt);
    for (const http::Header &line : said.lines) {
        out.headers.add(line.name, line.value);
    }
    return out;
}

http::ResponseHead TargetStandIn::refusal(int status, const std::string &attempt) const
{
    http::ResponseHead out{.status = status};
    if (!attempt.empty()) {
        out.headers.add("X-Ibislock-Attempt-Id", attempt);
    }
    out.headers.add("X-Ibislock-Not-Executed", "1");
    for (const http::Header &line : said.lines) {
        out.headers.add(line.name, line.value);
    }
    return out;
}

void TargetStandIn::answer(net::Connection &connection, const http::RequestHead &request)
{
    const std::string attempt = headerOf(request, "X-Ibislock-Attempt-Id");
    const std::string body = answerBytes > 0 ? std::string(answerBytes, 'x') : "from " + id;
    http::ResponseHead own = head(200, attempt);
    switch (behaviour) {
    case TargetBehaviour::Answer:
        connection.write(http::writeResponse(own, body));
        break;
    case TargetBehaviour::AnswerTwice:
        connection.write(http::writeResponse(head(200, "another"), "of another"));
        connection.write(http::writeResponse(own, body));
        break;
    case TargetBehaviour::Extra:
        connection.write(http::writeResponse(own, body) + http::writeResponse(head(200, attempt), "once more"));
        break;
    case TargetBehaviour::Fail:
        connection.write(http::writeResponse(head(500, attempt), "failed"));
        break;
    case TargetBehaviour::NotFound:
        connection.write(http::writeResponse(head(404, attempt), "not found"));
        break;
    case TargetBehaviour::Refuse:
        connection.write(http::writeResponse(refusal(503, attempt), ""));
        break;
    case TargetBehaviour::RefuseBusy:
        connection.write(http::writeResponse(refusal(429, attempt), ""));
        break;
    case TargetBehaviour::RefuseUnnamed:
        connection.write(http::writeResponse(refusal(503, ""), "") + http::writeResponse(own, body));
        break;
    case TargetBehaviour::MisdirectUnnamed:
        connection.write(http::writeResponse(refusal(421, ""), "") + http::writeResponse(own, body));
        break;
    case TargetBehaviour::FailUnnamed: {
        http::ResponseHead failed = head(503, attempt);
        failed.headers.remove("X-Ibislock-Attempt-Id");
        connection.write(http::writeResponse(failed, "failed") + http::writeResponse(own, body));
        break;
    }
    case TargetBehaviour::CloseUnanswered:
        connection.close();
        break;
    case TargetBehaviour::CutOff: {
        const std::string whole = http::writeResponse(own, body);
        connection.write(whole.substr(0, whole.size() - 3));
        connection.closeAfterWrites();
        break;
    }
    case TargetBehaviour::OddStatus: {
        std::string whole = http::writeResponse(own, body);
        constexpr std::string_view Before = "HTTP/1.1 ";
        connection.write(whole.replace(Before.size(), 3, oddStatus));
        break;
    }
    case TargetBehaviour::Unsigned:
        own.headers.remove("X-Ibislock-Response-Signature");
        connection.write(http::writeResponse(own, body));
        break;
    case TargetBehaviour::Encoded:
        own.headers.add("Content-Encoding", "gzip");
        connection.write(http::writeResponse(own, body));
        break;
    case TargetBehaviour::Unframed:
        connection.write("HTTP/1.1 200 OK\r\nX-Ibislock-Attempt-Id: " + attempt
                         + "\r\nX-Ibislock-Response-Signature: s\r\n\r\n" + body);
        connection.closeAfterWrites();
        break;
    case TargetBehaviour::Late:
        writeLate(connection, http::writeResponse(own, body));
        break;
    case TargetBehaviour::RefuseLate:
        writeLate(connection, http::writeResponse(refusal(503, attempt), ""));
        break;
    case TargetBehaviour::Silent:
        break;
    case TargetBehaviour::Stream:
    case TargetBehaviour::StreamWithoutIds:
    case TargetBehaviour::StreamCutOff:
    case TargetBehaviour::StreamCutOffThenSilent:
    case TargetBehaviour::StreamThenSilent:
    case TargetBehaviour::StreamPausing:
    case TargetBehaviour::StreamOnce:
    case TargetBehaviour::StreamFramedCutOff:
    case TargetBehaviour::StreamWithTail:
    case TargetBehaviour::StreamUnlessCrashing:
    case TargetBehaviour::EndlessEvent:
        answerStream(connection, request);
        break;
    case TargetBehaviour::AnswerUnlessCrashing:
        answerUnlessCrashing(connection, request);
        break;
    case TargetBehaviour::StreamUnframed:
    case TargetBehaviour::StreamUnframedCutOff:
    case TargetBehaviour::StreamUnframedEmpty:
        answerUnframedStream(connection, request);
        break;
    case TargetBehaviour::EndlessHead:
        writeForever(connection, "HTTP/1.1 200 OK\r\n", "X-Filler: " + std::string(500, 'x') + "\r\n");
        break;
    case TargetBehaviour::EndlessBody:
        writeForever(connection, http::writeChunkedHead(own), http::writeChunk(std::string(EndlessPart, 'x')));
        break;
    case TargetBehaviour::EndlessFailure:
        own.status = 500;
        writeForever(connection, http::writeChunkedHead(own), http::writeChunk(std::string(EndlessPart, 'x')));
        break;
    case TargetBehaviour::EndlessNoise:
        writeForever(connection, "", std::string(EndlessPart, '?'));
        break;
    case TargetBehaviour::EndlessInterim:
        writeForever(connection, "", "HTTP/1.1 103 Early Hints\r\n\r\n");
        break;
    case TargetBehaviour::EndlessBehind:
        writeForever(connection, http::writeResponse(own, body), std::string(EndlessPart, '?'));
        break;
    }
}

void TargetStandIn::writeLate(net::Connection &connection, std::string bytes)
{
    auto timer = std::make_shared<asio::steady_timer>(m_loop, std::chrono::milliseconds(400));
    timer->async_wait([timer, to = connection.shared_from_this(), late = std::move(bytes)](const asio::error_code &) {
        to->write(late);
    });
}

void TargetStandIn::writeForever(net::Connection &connection, const std::string &begin, const std::string &part)
{
    connection.write(begin);
    auto timer = std::make_shared<asio::steady_timer>(m_loop);
    const auto more = std::make_shared<std::function<void()>>();
    *more = [this, timer, part, weak = connection.weak_from_this(), more] {
        const auto to = weak.lock();
        if (!to || !to->isOpen()) {
            asio::post(m_loop, [more] { *more = nullptr; });
            return;
        }
        if (to->queuedBytes() < EndlessPart) {
            endlessBytes += part.size();
            to->write(part);
        }
        timer->expires_after(std::chrono::milliseconds(1));
        timer->async_wait([more](const asio::error_code &) { (*more)(); });
    };
    (*more)();
}

void TargetStandIn::answerStream(net::Connection &connection, const http::RequestHead &request)
{
    const bool cutOff = behaviour == TargetBehaviour::StreamWithoutIds || behaviour == TargetBehaviour::StreamCutOff
        || behaviour == TargetBehaviour::StreamCutOffThenSilent || behaviour == TargetBehaviour::StreamFramedCutOff;
    const bool ids = behaviour != TargetBehaviour::StreamWithoutIds;
    const std::string last = headerOf(request, "Last-Event-Id");
    if (behaviour == TargetBehaviour::StreamCutOffThenSilent && !last.empty()) {
        return;
    }
    const bool crashing = isCrashing(request);
    crashes += crashing ? 1 : 0;
    http::ResponseHead own = head(200, headerOf(request, "X-Ibislock-Attempt-Id"));
    own.headers.add("Content-Type", "text/event-stream");
    connection.write(http::writeChunkedHead(own));
    if (behaviour == TargetBehaviour::StreamPausing) {
        writeEvents(connection.shared_from_this(), last.empty() ? 0 : std::stoi(last) + 1);
        return;
    }
    for (int number = last.empty() ? 0 : std::stoi(last) + 1; number < events; ++number) {
        if (behaviour == TargetBehaviour::EndlessEvent && number == 2) {
            writeForever(connection, "", http::writeChunk(std::string(EndlessPart, 'x')));
            return;
        }
        if (behaviour == TargetBehaviour::StreamThenSilent && number == 2) {
            return;
        }
        if ((cutOff && number == 2) || crashing) {
            connection.write(http::writeChunk(eventText(number).substr(0, CutEventBytes)));
            if (behaviour == TargetBehaviour::StreamFramedCutOff) {
                connection.write(http::LastChunk);
            } else {
                connection.closeAfterWrites();
            }
            return;
        }
        const std::string event = eventText(number);
        connection.write(http::writeChunk(ids ? event : event.substr(event.find('\n') + 1)));
    }
    if (behaviour == TargetBehaviour::StreamWithTail) {
        connection.write(http::writeChunk(": the end\n\r\n\n"));
    }
    connection.write(http::LastChunk);
}

void TargetStandIn::writeEvents(const std::shared_ptr<net::Connection> &connection, int from)
{
    const int pauseAt = pausesFirst ? from : 2;
    for (int number = from; number < events; ++number) {
        if (number == pauseAt && pause > Millis{0}) {
            auto timer = std::make_shared<asio::steady_timer>(m_loop, pause);
            timer->async_wait([this, timer, connection, number](const asio::error_code &) {
                for (int rest = number; rest < events && connection->isOpen(); ++rest) {
                    connection->write(http::writeChunk(eventText(rest)));
                }
                connection->write(http::LastChunk);
            });
            return;
        }
        connection->write(http::writeChunk(eventText(number)));
    }
    connection->write(http::LastChunk);
}

bool TargetStandIn::isCrashing(const http::RequestHead &request) const
{
    const bool hasPart = headerOf(request, "X-Ibislock-Prompt-Prefix").find(crashingPart + ":") != std::string::npos;
    const bool hasBody = !bodies.empty() && bodies.back() == crashingBody;
    return (behaviour == TargetBehaviour::StreamUnlessCrashing && (hasPart || hasBody))
        || (behaviour == TargetBehaviour::AnswerUnlessCrashing && hasBody);
}

void TargetStandIn::answerUnlessCrashing(net::Connection &connection, const http::RequestHead &request)
{
    if (isCrashing(request)) {
        ++crashes;
        connection.close();
        return;
    }
    connection.write(http::writeResponse(head(200, headerOf(request, "X-Ibislock-Attempt-Id")), "from " + id));
}

void TargetStandIn::answerUnframedStream(net::Connection &connection, const http::RequestHead &request)
{
    const std::string last = headerOf(request, "Last-Event-Id");
    connection.write("HTTP/1.1 200 OK\r\nX-Ibislock-Attempt-Id: " + headerOf(request, "X-Ibislock-Attempt-Id")
                     + "\r\nX-Ibislock-Response-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n");
    const bool empty = behaviour == TargetBehaviour::StreamUnframedEmpty;
    for (int number = last.empty() ? 0 : std::stoi(last) + 1; number < events && !empty; ++number) {
        if (behaviour != TargetBehaviour::StreamUnframed && number == 2) {
            connection.write(eventText(number).substr(0, CutEventBytes));
            break;
        }
        connection.write(eventText(number));
    }
    connection.closeAfterWrites();
}

} // namespace ibislock::lab
