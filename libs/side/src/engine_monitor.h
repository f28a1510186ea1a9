// Polls the engine on the same VM for its report and keeps the last one.

#pragma once

#include "ibislock/net/http_client.h"
#include "ibislock/net/timer.h"
#include "ibislock/platform/engine_api.h"
#include "ibislock/platform/settings.h"

namespace ibislock::side
{

/// What shows for how long an engine has run. The wall clock, by which the engine gives its start, may jump; it is used
/// only for an incarnation that was running before this process.
struct EngineAge
{
    std::int64_t startedAt = 0; ///< Start of the incarnation in Unix milliseconds, as reported; 0 if unknown.
    Millis seenAt{0}; ///< When its first report arrived.
    bool sawStart = false; ///< An earlier poll failed or brought the report of an earlier incarnation.
    bool polled = false; ///< A poll has ended.
};

/// The clocks by which the age of an engine is computed.
struct EngineAgeClocks
{
    Millis now{0}; ///< Monotonic time.
    Millis wall{0}; ///< Unix time.
    Millis boot{0}; ///< Time since the machine was booted; nothing has run for longer.
};

/// Records the end of a poll.
/// @param startedAt start of the incarnation in the report; nothing if the poll failed.
void recordPoll(EngineAge &age, std::optional<std::int64_t> startedAt, Millis now);

/// Returns for how long the engine has run.
Millis runningFor(const EngineAge &age, const EngineAgeClocks &clocks);

/// Maximum size of the engine's response to a report, a write or an order, which have some hundred bytes. An engine in
/// trouble may send without end, to many requests at once.
inline constexpr std::size_t MaxEngineReplyBytes = 64U << 10U;

/// Polls the engine and sends requests to it.
class EngineMonitor
{
public:
    /// @param onChange is called after each poll, also a failed one.
    EngineMonitor(asio::io_context &loop, net::HttpClient &client, platform::Endpoint engine,
                  std::function<void()> onChange);

    /// Starts polling.
    void start();

    /// Sends a request to the engine.
    /// @param done receives the HTTP status, or 0 without a complete response, and the body.
    /// @param maxBodyBytes limit of the body.
    void call(const platform::ApiRequest &request, Millis timeout,
              std::function<void(int status, std::string body)> done, std::size_t maxBodyBytes = MaxEngineReplyBytes);

    /// Sends an order to the engine.
    /// @param sendDeadline time of the boot clock after which the order must not be sent.
    /// @param done receives the outcome, the HTTP status, or 0 without a complete response, and the body.
    void order(const platform::ApiRequest &request, Millis timeout, Millis sendDeadline,
               std::function<void(net::ExchangeOutcome outcome, int status, std::string body)> done);

    /// Returns the last report; nothing while the engine doesn't respond.
    const std::optional<platform::EngineReport> &report() const;

    /// Returns when the last report arrived.
    Millis reportedAt() const;

    /// Returns the time since which no poll has failed.
    Millis respondingSince() const;

    /// Returns for how long the incarnation of the last report has run.
    Millis runningFor() const;

    /// Returns the version of the weights that the engine has loaded; 0 for none.
    std::int64_t loadedVersion() const;

private:
    void poll();
    void exchange(const platform::ApiRequest &request, const net::ExchangeOptions &options,
                  std::function<void(net::ExchangeOutcome outcome, int status, std::string body)> done);

    net::HttpClient &m_client;
    platform::Endpoint m_engine;
    std::function<void()> m_changed;
    net::Timer m_pollTimer;
    std::optional<platform::EngineReport> m_report;
    Millis m_reportedAt{0};
    Millis m_respondingSince{0};
    EngineAge m_age;
    int m_failures = 0;
};

} // namespace ibislock::side
