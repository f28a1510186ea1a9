#include "exit_codes.h"
#include "operator_call.h"
#include "operator_commands.h"
#include "ticket_view.h"

namespace ibislock::app
{

int runAudit(int argc, char **argv)
{
    int exitCode = Usage;
    const auto invocation =
        parseInvocation(argc, argv, "ibislock audit", "Shows the audit trail of changes, the newest last.", exitCode);
    if (!invocation) {
        return exitCode;
    }
    const auto client = clientFor(*invocation);
    const std::string newest = "/v1/audit?before=18446744073709551615";
    return finish(judge(client->Get(newest), false), invocation->asJson, [](const nlohmann::json &body) {
        for (const nlohmann::json &entry : body.value("entries", nlohmann::json::array())) {
            printAuditLine(entry);
        }
        printRefusedAttempts(body.value("refused_attempts", nlohmann::json::object()));
    });
}

} // namespace ibislock::app
