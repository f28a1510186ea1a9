// All processes are killed right behind the confirmation of a desired state; once they are back, new weights are
// announced, and the origin sends their manifest with one wrong digit. Checks that requests are served afterwards
// (RECOVER).

#include "scene.h"

namespace review
{

namespace
{

constexpr std::int64_t DownMs = 1000;

/// From the return of the daemons until the announcement of new weights.
constexpr std::int64_t AnnouncedAfterMs = 4000;

constexpr std::int64_t JudgedMs = 20000;
constexpr int LeastRequests = 100;

const std::string Key = "key-of-tenant-a-0001";

CallerRequest streamRequest()
{
    return {.kind = "stream",
            .host = Host,
            .path = "/notes/one",
            .key = Key,
            .deadlineMs = 6000,
            .fields = {{"X-Ibislock-Model", "m0"},
                       {"X-Ibislock-Token-Count", "800,100"},
                       {"X-Ibislock-Prompt-Prefix", "5c1e07a2:400,91bd3f06:400"}},
            .body = "prompt"};
}

CallerRequest plainRequest()
{
    return {.kind = "plain", .method = "GET", .host = Host, .path = "/desk/one", .key = Key, .deadlineMs = 2500};
}

/// The share of the requests sent in a span that were served.
struct Served
{
    int sent = 0;
    int served = 0;

    bool atLeastAQuarter() const
    {
        return served * 4 >= sent;
    }
};

Served servedBetween(Scene &scene, std::int64_t from, std::int64_t until)
{
    Served out;
    for (const CallerResult &result : scene.callers.results()) {
        if (result.sentAt >= from && result.sentAt < until) {
            ++out.sent;
            out.served += result.served ? 1 : 0;
        }
    }
    return out;
}

std::string textOf(const Served &served)
{
    return std::to_string(served.served) + " of " + std::to_string(served.sent);
}

[[noreturn]] void play(Scene &scene)
{
    const bool spoils = troubleMode().empty() || troubleMode() == "1";
    const bool kills = !withoutTrouble();
    const nlohmann::json routes{makeRoute("/notes/", "streaming", EngineService, 6000, 400),
                                makeRoute("/desk/", "idempotent", PlainService, 2500, 150)};
    scene.fileState(10, routes, {Key});
    if (!scene.startAll()) {
        scene.finish(2);
    }
    for (const Daemon *daemon : scene.fronts()) {
        for (int n = 0; n < 5; ++n) {
            scene.callers.start(*daemon, 500, streamRequest);
        }
        scene.callers.start(*daemon, 500, plainRequest);
    }
    sleepMs(8000);
    scene.fileState(20, routes, {Key});
    const std::int64_t faultAt = nowMs();
    if (kills) {
        for (Daemon &daemon : scene.daemons) {
            kill(daemon);
        }
        scene.record.say("all daemons are killed");
        sleepMs(DownMs);
        for (Daemon &daemon : scene.daemons) {
            start(daemon, scene.shared);
        }
        scene.record.say("all daemons are started again");
    }
    const std::int64_t backAt = nowMs();
    sleepMs(AnnouncedAfterMs);
    const Served between = servedBetween(scene, nowMs() - 2000, nowMs());
    scene.origin.newest = 2;
    scene.origin.manifestsToSpoil = spoils ? 1 : 0;
    scene.store.append("keyed.op", "version/m0", nlohmann::json{{"Model", "m0"}, {"Version", 2}}.dump());
    scene.record.say("the operator announces version 2 of the weights; the store confirms it");
    const std::int64_t judgedFrom = backAt + RecoveryMs + ContactMs;
    sleepMs(judgedFrom + JudgedMs - nowMs());
    scene.callers.stop();
    sleepMs(6500);
    const Served before = servedBetween(scene, faultAt - 6000, faultAt - 500);
    const Served after = servedBetween(scene, judgedFrom, judgedFrom + JudgedMs);
    int loaded = 0;
    for (const auto &engine : scene.engines) {
        loaded += engine->version() == 2 ? 1 : 0;
    }
    scene.record.say("served before the fault: " + textOf(before)
                     + ", and right before the announcement: " + textOf(between));
    scene.record.say("served later than " + std::to_string(RecoveryMs)
                     + " ms after the daemons were back: " + textOf(after));
    scene.record.say("engines with version 2: " + std::to_string(loaded) + " of 4; the origin sent "
                     + std::to_string(scene.origin.manifests) + " manifests and " + std::to_string(scene.origin.pieces)
                     + " pieces of 64");
    if (before.sent < 20 || !before.atLeastAQuarter() || after.sent < LeastRequests) {
        scene.record.say("the case couldn't run");
        scene.finish(2);
    }
    scene.record.say(after.atLeastAQuarter() ? "RECOVER held" : "RECOVER is broken: less than a quarter is served");
    scene.finish(after.atLeastAQuarter() ? 0 : 1);
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
