// Records when a daemon reached each step of its start: the first time it had a desired state, its listings, and so on.
//
//     StartSteps steps(steadyMillis());
//     steps.reach(StartStep::DesiredState, steadyMillis(), LogComponent::Side);    // logs the first time only
//     writeStartMetrics(out, steps);

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/log.h"
#include "ibislock/base/names.h"

#include <map>
#include <string>

namespace ibislock
{

/// A step of a daemon's start. An entry VM has no weights, and a target VM gets no requests.
enum class StartStep {
    DesiredState, ///< A desired state is in effect.
    Listings, ///< The listings of targets are known.
    OwnListing, ///< They include the target of this VM.
    Manifest, ///< The manifest of the desired weights is known.
    Stage, ///< It is known which of their pieces are staged.
    Pieces, ///< All pieces are staged.
    Load, ///< The engine has loaded them.
    Ready, ///< The VM accepts requests.
    Response, ///< A request was answered by a target.
};

/// External names of the steps.
inline constexpr NameTable<StartStep, 9> StartStepNames{{
    {StartStep::DesiredState, "desired_state"},
    {StartStep::Listings, "listings"},
    {StartStep::OwnListing, "own_listing"},
    {StartStep::Manifest, "manifest"},
    {StartStep::Stage, "stage"},
    {StartStep::Pieces, "pieces"},
    {StartStep::Load, "load"},
    {StartStep::Ready, "ready"},
    {StartStep::Response, "response"},
}};

/// The steps that a daemon has reached.
class StartSteps
{
public:
    /// @param startedAt when the process started, in monotonic time.
    explicit StartSteps(Millis startedAt);

    /// Records that a step is reached; logs it the first time.
    void reach(StartStep step, Millis now, LogComponent component);

    /// Returns how long after the start each step was reached that was.
    const std::map<StartStep, Millis> &reached() const;

private:
    Millis m_startedAt;
    std::map<StartStep, Millis> m_reached;
};

/// Writes a gauge with the time from the start to each step that was reached.
void writeStartMetrics(std::string &out, const StartSteps &steps);

} // namespace ibislock
