// Asks the engine beside the process for its report again and again, and keeps the last one.

#pragma once

#include "ibislock/net/http_client.h"
#include "ibislock/net/timer.h"
#include "ibislock/platform/engine_api.h"
#include "ibislock/platform/settings.h"

namespace ibislock::side
{

/// Follows the engine.
class EngineWatch
{
public:
    /// @param changed is called after each report.
    EngineWatch(asio::io_context &loop, net::HttpClient &client, platform::Endpoint engine,
                std::function<void()> changed);

    /// Begins.
    void start();

    /// Calls the engine.
    /// @param done is given the status, 0 if there was no whole answer, and the body.
    void call(const platform::ApiRequest &request, Millis timeout,
              std::function<void(int status, std::string body)> done);

    /// The last report; nothing while the engine doesn't answer.
    const std::optional<platform::EngineReport> &report() const;

    /// When the last report came.
    Millis reportedAt() const;

    /// Since when each question for a report has been answered.
    Millis answersSince() const;

    /// The version of a model that is loaded; 0 for none.
    std::int64_t loadedVersion() const;

private:
    void poll();

    net::HttpClient &m_client;
    platform::Endpoint m_engine;
    std::function<void()> m_changed;
    net::Timer m_timer;
    std::optional<platform::EngineReport> m_report;
    Millis m_reportedAt{0};
    Millis m_answersSince{0};
    int m_failures = 0;
};

} // namespace ibislock::side
