#include "engine_monitor.h"

#include "ibislock/base/log.h"

#include <algorithm>

namespace ibislock::side
{

namespace
{

/// Delay between two polls; half the age at which a load becomes misleading to entry VMs.
constexpr Millis PollTime{100};

/// Timeout of a poll; the engine runs on the same VM.
constexpr Millis ReportTime{1000};

/// Consecutive failed polls after which the engine counts as unreachable.
constexpr int FailuresToLose = 3;

constexpr int OkStatus = 200;

} // namespace

void recordPoll(EngineAge &age, std::optional<std::int64_t> startedAt, Millis now)
{
    if (startedAt && (age.seenAt == Millis{0} || age.startedAt != *startedAt)) {
        age.startedAt = *startedAt;
        age.seenAt = now;
        age.sawStart = age.polled;
    }
    age.polled = true;
}

Millis runningFor(const EngineAge &age, const EngineAgeClocks &clocks)
{
    const Millis seen = clocks.now - age.seenAt;
    if (age.sawStart || age.startedAt == 0) {
        return seen;
    }
    return std::max(seen, std::min(clocks.wall - Millis{age.startedAt}, clocks.boot));
}

EngineMonitor::EngineMonitor(asio::io_context &loop, net::HttpClient &client, platform::Endpoint engine,
                             std::function<void()> onChange)
    : m_client(client)
    , m_engine(std::move(engine))
    , m_changed(std::move(onChange))
    , m_pollTimer(loop)
{
}

void EngineMonitor::start()
{
    poll();
}

void EngineMonitor::call(const platform::ApiRequest &request, Millis timeout,
                         std::function<void(int status, std::string body)> done, std::size_t maxBodyBytes)
{
    exchange(request, {.connectTimeout = timeout, .timeout = timeout, .maxBodyBytes = maxBodyBytes},
             [done = std::move(done)](net::ExchangeOutcome, int status, std::string body) {
                 done(status, std::move(body));
             });
}

void EngineMonitor::order(const platform::ApiRequest &request, Millis timeout, Millis sendDeadline,
                          std::function<void(net::ExchangeOutcome outcome, int status, std::string body)> done)
{
    // A connection that is established later is not used.
    const Millis left = std::max(Millis{1}, sendDeadline - bootMillis());
    exchange(request,
             {.connectTimeout = std::min(timeout, left), .timeout = timeout, .maxBodyBytes = MaxEngineReplyBytes},
             std::move(done));
}

void EngineMonitor::exchange(const platform::ApiRequest &request, const net::ExchangeOptions &options,
                             std::function<void(net::ExchangeOutcome outcome, int status, std::string body)> done)
{
    http::RequestHead head = request.head;
    head.headers.add("Host", m_engine.ip);
    m_client.call(
        m_engine.ip, m_engine.port, writeRequest(head, request.body), options,
        [done = std::move(done)](net::ExchangeOutcome end, const http::ResponseHead &answer, std::string body) {
            done(end, end == net::ExchangeOutcome::Complete ? answer.status : 0, std::move(body));
        });
}

const std::optional<platform::EngineReport> &EngineMonitor::report() const
{
    return m_report;
}

Millis EngineMonitor::reportedAt() const
{
    return m_reportedAt;
}

Millis EngineMonitor::respondingSince() const
{
    return m_respondingSince;
}

Millis EngineMonitor::runningFor() const
{
    return side::runningFor(m_age, {.now = steadyMillis(), .wall = wallMillis(), .boot = bootMillis()});
}

std::int64_t EngineMonitor::loadedVersion() const
{
    return m_report && !m_report->models.empty() ? m_report->models.front().version : 0;
}

void EngineMonitor::poll()
{
    call(platform::makeReportRequest(), ReportTime, [this](int status, const std::string &body) {
        auto report = status == OkStatus ? platform::decodeReport(body)
                                         : failure(ErrorCode::Unavailable, "status " + std::to_string(status));
        recordPoll(m_age, report ? std::optional(report->startedAt) : std::nullopt, steadyMillis());
        if (report) {
            if (!m_report) {
                logInfo(LogComponent::Side, "The engine responds to polls.",
                        {{"version", std::to_string(report->models.empty() ? 0 : report->models.front().version)}});
            }
            m_report = std::move(*report);
            m_reportedAt = steadyMillis();
            m_respondingSince = m_failures > 0 || m_respondingSince == Millis{0} ? m_reportedAt : m_respondingSince;
            m_failures = 0;
        } else if (++m_failures == FailuresToLose) {
            logWarning(LogComponent::Side, "The engine doesn't respond to polls.", {{"cause", report.error().message}});
            m_report.reset();
        }
        m_changed();
        m_pollTimer.start(PollTime, [this] { poll(); });
    });
}

} // namespace ibislock::side
