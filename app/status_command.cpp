#include "daemon_status.h"
#include "exit_codes.h"
#include "operator_call.h"
#include "operator_commands.h"
#include "status_view.h"

#include "ibislock/base/clock.h"

#include <iostream>
#include <thread>

namespace ibislock::app
{

namespace
{

constexpr const char *ClearScreen = "\x1b[H\x1b[2J";

/// Redraws until an answer fails.
int watch(const Invocation &invocation)
{
    RolloutEstimates estimates;
    while (true) {
        const auto client = clientFor(invocation);
        const CallResult result = judge(client->Get("/v1/status"), false);
        if (!result.document) {
            return result.exitCode;
        }
        std::cout << ClearScreen << describeStatus(*result.document, estimates, steadyMillis()) << std::flush;
        std::this_thread::sleep_for(Millis(invocation.intervalMs));
    }
}

} // namespace

int runStatus(int argc, char **argv)
{
    int exitCode = Usage;
    const auto invocation =
        parseInvocation(argc, argv, "ibislock status", "Shows rollouts, failure domains and VMs.", exitCode);
    if (!invocation) {
        return exitCode;
    }
    if (!invocation->daemons.empty()) {
        return showDaemons(invocation->daemons);
    }
    if (invocation->watch) {
        return watch(*invocation);
    }
    const auto client = clientFor(*invocation);
    return finish(judge(client->Get("/v1/status"), false), invocation->asJson, [](const nlohmann::json &status) {
        RolloutEstimates estimates;
        std::cout << describeStatus(status, estimates, steadyMillis());
    });
}

} // namespace ibislock::app
