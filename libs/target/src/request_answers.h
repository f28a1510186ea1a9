// Ends of answers: what a target says about a request that it ran, or did not.

#pragma once

#include "ibislock/engine/engine_client.h"

namespace ibislock::target
{

/// Builds the end of an answer with what it belongs to.
requests::ResponseEnd endFor(const requests::Request &request, requests::Outcome outcome, std::string message);

/// Builds the end of a request that was not started and never will be.
requests::ResponseEnd refusalFor(const requests::Request &request, requests::Refusal refusal, std::string message,
                                 Millis retryAfter);

/// Judges the engine's answer; only a whole answer from the intended weights counts.
requests::ResponseEnd judge(const requests::Request &request, const engine::EngineAnswer &answer);

} // namespace ibislock::target
