// A runner leaves, and is listed as draining. Later another writer writes an entry under its id, with fields missing.
// Checks that the runner gets no request after the drain time (DRAIN).

#include "scene.h"

#include <algorithm>

namespace review
{

namespace
{

constexpr std::int64_t DrainTimeoutMs = 2000;

/// From the confirmation of `draining` until the entry of the other writer.
constexpr std::int64_t ForeignAfterMs = 5000;

/// How long the leaving runner serves on after its report.
constexpr std::int64_t ServesOnMs = 10000;

const std::string Key = "key-of-tenant-a-0001";

CallerRequest readingRequest()
{
    return {.kind = "reading", .host = Host, .path = "/desk/log", .key = Key, .deadlineMs = 2500, .body = "reading"};
}

[[noreturn]] void play(Scene &scene)
{
    scene.fileState(10, nlohmann::json::array({makeRoute("/desk/", "non_idempotent", PlainService, 2500, 150)}), {Key});
    if (!scene.startAll()) {
        scene.finish(2);
    }
    for (const Daemon *daemon : scene.fronts()) {
        for (int n = 0; n < 8; ++n) {
            scene.callers.start(*daemon, 100, readingRequest);
            sleepMs(13);
        }
    }
    sleepMs(6000);
    PlainRunner &leaving = *scene.desks.front();
    nlohmann::json foreign = leaving.listing();
    leaving.leaving = true;
    leaving.writeListing();
    const std::int64_t confirmedAt = nowMs();
    scene.record.say("runner " + leaving.id() + " is listed as draining, and serves on");
    sleepMs(ForeignAfterMs);
    if (!withoutTrouble()) {
        foreign.erase("born");
        foreign.erase("ColdLeftMs");
        scene.store.append("keyed.servers", leaving.id(), foreign.dump());
        scene.record.say("another writer's entry stands under its id: " + foreign.dump());
    }
    sleepMs(confirmedAt + ServesOnMs - nowMs());
    scene.callers.stop();
    sleepMs(3000);
    const std::vector<Run> runs = scene.runs.all();
    int before = 0;
    int late = 0;
    for (const CallerResult &result : scene.callers.results()) {
        const bool ran = std::any_of(runs.begin(), runs.end(), [&](const Run &item) {
            return item.attempt == result.attempt && item.runner == leaving.id();
        });
        before += ran && result.sentAt < confirmedAt ? 1 : 0;
        late += ran && result.sentAt > confirmedAt + DrainTimeoutMs ? 1 : 0;
    }
    scene.record.say("requests that ran at the leaving runner: " + std::to_string(before) + " before its report, "
                     + std::to_string(late) + " sent later than " + std::to_string(DrainTimeoutMs)
                     + " ms after its confirmation");
    if (before < 20) {
        scene.record.say("the case couldn't run");
        scene.finish(2);
    }
    scene.record.say(late > 0 ? "DRAIN is broken" : "DRAIN held");
    scene.finish(late > 0 ? 1 : 0);
}

} // namespace

} // namespace review

int main(int argc, char **argv)
{
    if (argc != 3) {
        return 2;
    }
    review::Scene scene(argv[1], argv[2]);
    review::play(scene);
}
