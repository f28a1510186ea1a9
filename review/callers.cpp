#include "callers.h"

#include <thread>
#include <unistd.h>

namespace review
{

namespace
{

/// How long a caller waits for a new channel.
constexpr int ConnectMs = 1000;

} // namespace

Callers::Callers(Record &record)
    : m_record(record)
    , m_prefix(std::to_string(getpid()) + "-")
{
}

void Callers::start(const Daemon &front, std::int64_t pauseMs, std::function<CallerRequest()> next)
{
    std::thread([this, front, pauseMs, next = std::move(next)] {
        std::unique_ptr<Channel> channel;
        std::int64_t due = nowMs();
        while (!m_stopped) {
            send(front, next(), channel);
            due = std::max(due + pauseMs, nowMs());
            sleepMs(due - nowMs());
        }
    }).detach();
}

CallerResult Callers::sendOnce(const Daemon &front, const CallerRequest &request)
{
    std::unique_ptr<Channel> channel;
    return send(front, request, channel);
}

CallerResult Callers::send(const Daemon &front, const CallerRequest &request, std::unique_ptr<Channel> &channel)
{
    CallerResult out{.request = request, .attempt = m_prefix + std::to_string(++m_attempts), .front = front.ip};
    if (request.newChannel) {
        channel.reset();
    }
    if (channel && channel->closedByPeer()) {
        channel.reset();
    }
    if (!channel) {
        const int fd = Channel::connectTo(front.ip, front.callers, ConnectMs);
        channel = fd < 0 ? nullptr : std::make_unique<Channel>(fd);
    }
    out.sentAt = nowMs();
    if (channel) {
        std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + request.host
            + "\r\nX-Ibislock-Attempt-Id: " + out.attempt
            + "\r\nX-Ibislock-Deadline-Ms: " + std::to_string(request.deadlineMs) + "\r\n";
        text += request.key.empty() ? "" : "X-Api-Key: " + request.key + "\r\n";
        for (const auto &[name, value] : request.fields) {
            text += name + ": " + value + "\r\n";
        }
        if (request.method != "GET") {
            text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
        }
        m_record.line("sent " + out.attempt + " " + request.kind + " to " + front.ip);
        channel->write(text + "\r\n" + request.body);
        const auto answer = channel->read(request.deadlineMs);
        out.status = answer ? answer->status() : 0;
        out.served = answer && out.status / 100 == 2 && !answer->field("X-Ibislock-Response-Signature").empty();
        out.timedOut = !answer && nowMs() - out.sentAt >= request.deadlineMs;
        if (!answer || answer->field("Connection") == "close") {
            channel.reset();
        }
    }
    out.endedAt = nowMs();
    m_record.line("answered " + out.attempt + " status=" + std::to_string(out.status) + (out.served ? " served" : "")
                  + (out.timedOut ? " time limit" : ""));
    const std::lock_guard lock(m_mutex);
    m_results.push_back(out);
    return out;
}

void Callers::stop()
{
    m_stopped = true;
}

std::vector<CallerResult> Callers::results()
{
    const std::lock_guard lock(m_mutex);
    return m_results;
}

} // namespace review
