#include "runner.h"

#include <nlohmann/json.hpp>

namespace ibislock::review
{

namespace
{

constexpr Millis HeartbeatTime{1200};
constexpr int Slots = 32;
constexpr int MisdirectedStatus = 421;

std::string headerOf(const http::RequestHead &request, std::string_view name)
{
    return std::string(request.headers.find(name).value_or(""));
}

} // namespace

Runner::Runner(asio::io_context &loop, Store &store, Record &record, std::string id, const std::string &ip)
    : m_loop(loop)
    , m_store(store)
    , m_record(record)
    , m_id(std::move(id))
    , m_ip(ip)
    , m_born(wallMillis().count())
    , m_listener(loop, [this](const std::shared_ptr<net::Connection> &connection) { serve(connection); })
    , m_beat(loop)
{
    m_listener.open(ip, 0);
    beat();
}

Runner::~Runner()
{
    for (const auto &connection : m_connections) {
        connection->close();
    }
}

Run Runner::run(const std::string &attempt) const
{
    const auto it = m_runs.find(attempt);
    return it == m_runs.end() ? Run{} : it->second;
}

void Runner::beat()
{
    m_store.append("keyed.servers", m_id,
                   nlohmann::json{{"Service", "s"},
                                  {"Address", m_ip + ":" + std::to_string(m_listener.port())},
                                  {"Zone", "a"},
                                  {"Version", "v1"},
                                  {"Slots", Slots},
                                  {"State", "ready"},
                                  {"ColdLeftMs", 0},
                                  {"Sequence", ++m_sequence},
                                  {"born", m_born}}
                       .dump());
    m_beat.start(HeartbeatTime, [this] { beat(); });
}

void Runner::serve(const std::shared_ptr<net::Connection> &connection)
{
    m_connections.push_back(connection);
    auto reader = std::make_shared<http::MessageReader>(http::MessageKind::Request, http::ReaderLimits{});
    connection->start({.data = [this, raw = connection.get(), reader](std::string_view bytes) {
        while (!bytes.empty()) {
            const auto used = reader->feed(bytes);
            if (!used || !reader->complete()) {
                return;
            }
            bytes.remove_prefix(*used);
            handle(raw->shared_from_this(), reader->request());
            reader->next();
        }
    }});
}

void Runner::handle(const std::shared_ptr<net::Connection> &connection, const http::RequestHead &request)
{
    const std::string attempt = headerOf(request, "X-Ibislock-Attempt-Id");
    const std::string expected = headerOf(request, "X-Ibislock-Expect-Instance");
    if (!expected.empty() && expected != m_id) {
        http::ResponseHead head{.status = MisdirectedStatus};
        head.headers.add("X-Ibislock-Attempt-Id", attempt);
        head.headers.add("X-Ibislock-Not-Executed", "1");
        connection->write(http::writeResponse(head, ""));
        return;
    }
    ++m_runs[attempt].times;
    const std::string last = headerOf(request, "Last-Event-Id");
    m_record.write("runner " + m_id, "runs " + attempt + " (" + request.target + ")");
    const std::size_t begin = request.target.find('/', 1) + 1;
    const std::string what = request.target.substr(begin, request.target.find('/', begin) - begin);
    after(work, [this, connection, attempt, what, from = last.empty() ? 0 : std::stoi(last) + 1] {
        if (connection->isOpen()) {
            answer(connection, attempt, what, from);
        } else {
            m_record.write("runner " + m_id, "the connection of " + attempt + " is gone");
        }
    });
}

void Runner::after(Millis time, const std::function<void()> &step)
{
    auto timer = std::make_shared<asio::steady_timer>(m_loop, time);
    timer->async_wait([timer, step](const asio::error_code &ec) {
        if (!ec) {
            step();
        }
    });
}

void Runner::answer(const std::shared_ptr<net::Connection> &connection, const std::string &attempt,
                    const std::string &what, int from)
{
    http::ResponseHead head{.status = 200};
    head.headers.add("X-Ibislock-Attempt-Id", attempt);
    head.headers.add("X-Ibislock-Response-Signature", "s-" + m_id + "-" + attempt);
    head.headers.add("Keep-Alive", "timeout=30");
    const std::size_t dash = what.find('-');
    if (dash == std::string::npos) {
        connection->write(http::writeResponse(head, std::string(std::stoul(what), 'x')));
        recordAnswer(attempt);
        return;
    }
    head.headers.add("Content-Type", "text/event-stream");
    connection->write(http::writeChunkedHead(head));
    writeEvents(connection, attempt, from, std::stoi(what.substr(0, dash)),
                std::string(std::stoul(what.substr(dash + 1)), 'y'));
}

void Runner::writeEvents(const std::shared_ptr<net::Connection> &connection, const std::string &attempt, int next,
                         int end, const std::string &data)
{
    if (!connection->isOpen()) {
        m_record.write("runner " + m_id, "the connection of " + attempt + " is gone");
        return;
    }
    std::string out;
    if (next < end) {
        out = http::writeChunk("id: " + std::to_string(next) + "\ndata: " + data + "\n\n");
    }
    if (next + 1 < end) {
        connection->write(out);
        after(eventPause, [=, this] { writeEvents(connection, attempt, next + 1, end, data); });
        return;
    }
    connection->write(out.append(http::LastChunk));
    recordAnswer(attempt);
}

void Runner::recordAnswer(const std::string &attempt)
{
    m_runs[attempt].answeredAt = steadyMillis();
    m_record.write("runner " + m_id, "has answered " + attempt + " with 200");
}

} // namespace ibislock::review
