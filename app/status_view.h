// The status as lines for people, with a bar for each rollout.

#pragma once

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace ibislock::app
{

/// Estimates how long rollouts still take from the replicas that came to serve since they were first seen.
class RolloutEstimates
{
public:
    /// Notes how far a rollout is.
    /// @param rollout its scope and ticket.
    /// @return the time left, or nothing while no replica has come to serve.
    std::optional<std::chrono::milliseconds> timeLeft(const std::string &rollout, std::size_t serving,
                                                      std::size_t wanted, std::chrono::milliseconds now);

private:
    struct Start
    {
        std::size_t serving = 0;
        std::chrono::milliseconds at{0};
    };

    std::map<std::string, Start> m_starts;
};

/// Draws a bar of a share of a whole.
std::string progressBar(std::size_t part, std::size_t whole);

/// Writes the status.
/// @param now monotonic time of the status.
std::string describeStatus(const nlohmann::json &status, RolloutEstimates &estimates, std::chrono::milliseconds now);

} // namespace ibislock::app
