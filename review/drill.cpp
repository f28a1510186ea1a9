// A drill of the platform's store: it comes back from a copy that is some seconds old, and offsets are given out again.
// Checks that the desired state that the operator files right behind it takes effect on all entry daemons (CONFIG).

#include "scene.h"

#include <algorithm>

namespace review
{

namespace
{

/// How long the store is away.
constexpr std::int64_t AwayMs = 400;

/// From the return of the store until the operator writes its next state.
constexpr std::int64_t OperatorPauseMs = 1000;

constexpr int LeastRequests = 20;

const std::string KeptKey = "key-that-stays-0001";
const std::string WithdrawnKey = "key-withdrawn-0002";

std::string pathOf(std::int64_t version)
{
    return "/v" + std::to_string(version) + "/";
}

/// Writes a desired state with a route for each tenth version up to its own.
void fileState(Scene &scene, std::int64_t version, const std::vector<std::string> &keys)
{
    nlohmann::json routes = nlohmann::json::array();
    for (std::int64_t n = 10; n <= version; n += 10) {
        routes.push_back(makeRoute(pathOf(n), "idempotent", PlainService, 2500, 150));
    }
    scene.fileState(version, routes, keys);
}

CallerRequest requestOn(std::int64_t version, const std::string &key, const std::string &kind)
{
    return {.kind = kind, .method = "GET", .host = Host, .path = pathOf(version) + "item", .key = key};
}

/// Waits until all front daemons serve the route that a version adds.
bool awaitVersion(Scene &scene, std::int64_t version, std::int64_t timeoutMs)
{
    const std::int64_t until = nowMs() + timeoutMs;
    for (const Daemon *daemon : scene.fronts()) {
        const CallerRequest look = requestOn(version, KeptKey, "look at version " + std::to_string(version));
        while (!scene.callers.sendOnce(*daemon, look).served) {
            if (nowMs() > until) {
                scene.record.say(daemon->ip + " doesn't serve version " + std::to_string(version));
                return false;
            }
            sleepMs(100);
        }
    }
    return true;
}

/// The store comes back from an old copy. Runners and operator write again what is newest of each key.
void drill(Scene &scene, const StoreContent &old)
{
    scene.record.say("the store is away for " + std::to_string(AwayMs) + " ms; keyed.op ends at "
                     + std::to_string(scene.store.endOf("keyed.op")));
    scene.store.goAway();
    sleepMs(AwayMs);
    scene.store.comeBack(old);
    scene.record.say(
        "the store is back from a copy that is some seconds old, and Store-Era has risen; keyed.op ends at "
        + std::to_string(scene.store.endOf("keyed.op")));
    for (const auto &runner : scene.engines) {
        runner->writeListing();
    }
    for (const auto &runner : scene.desks) {
        runner->writeListing();
    }
    fileState(scene, 30, {KeptKey, WithdrawnKey});
    sleepMs(OperatorPauseMs);
}

/// @return 1 if CONFIG was broken, 0 if it held.
int judge(Scene &scene, std::int64_t judgedFrom, int looks, int notFound)
{
    const std::vector<Run> runs = scene.runs.all();
    int requests = 0;
    int run = 0;
    int refused = 0;
    for (const CallerResult &result : scene.callers.results()) {
        if (result.request.key != WithdrawnKey || result.sentAt < judgedFrom) {
            continue;
        }
        const bool ran =
            std::any_of(runs.begin(), runs.end(), [&](const Run &item) { return item.attempt == result.attempt; });
        ++requests;
        run += ran ? 1 : 0;
        refused += result.status == 401 ? 1 : 0;
    }
    scene.record.say("requests with the withdrawn key: " + std::to_string(requests)
                     + ", of them run: " + std::to_string(run) + ", refused with 401: " + std::to_string(refused));
    scene.record.say("requests on the route that version 40 adds: " + std::to_string(looks)
                     + ", of them refused with 404: " + std::to_string(notFound));
    if (requests < LeastRequests) {
        return 2;
    }
    return run > 0 || notFound > 0 ? 1 : 0;
}

[[noreturn]] void play(Scene &scene)
{
    fileState(scene, 10, {KeptKey, WithdrawnKey});
    if (!scene.startAll() || !awaitVersion(scene, 10, 15000)) {
        scene.finish(2);
    }
    for (const Daemon *daemon : scene.fronts()) {
        for (int n = 0; n < 2; ++n) {
            scene.callers.start(*daemon, 200, [] { return requestOn(10, KeptKey, "with the kept key"); });
            scene.callers.start(*daemon, 200, [] { return requestOn(10, WithdrawnKey, "with the withdrawn key"); });
        }
    }
    sleepMs(6000);
    const StoreContent old = scene.store.copy();
    sleepMs(300);
    fileState(scene, 20, {KeptKey, WithdrawnKey});
    sleepMs(800);
    fileState(scene, 30, {KeptKey, WithdrawnKey});
    if (!awaitVersion(scene, 30, ConfigApplyMs)) {
        scene.finish(2);
    }
    sleepMs(800);
    if (!withoutTrouble()) {
        drill(scene, old);
    }
    fileState(scene, 40, {KeptKey});
    scene.record.say("it adds a route and withdraws a key");
    const std::int64_t confirmedAt = nowMs();
    const std::int64_t judgedFrom = confirmedAt + ContactMs + MaxStretchMs + ConfigApplyMs;
    sleepMs(judgedFrom - nowMs());
    scene.record.say("requests are judged from here on, " + std::to_string(judgedFrom - confirmedAt)
                     + " ms after that confirmation");
    int looks = 0;
    int notFound = 0;
    for (int round = 0; round < 10; ++round) {
        for (const Daemon *daemon : scene.fronts()) {
            const CallerResult look = scene.callers.sendOnce(*daemon, requestOn(40, KeptKey, "look at version 40"));
            ++looks;
            notFound += look.status == 404 ? 1 : 0;
        }
        sleepMs(1000);
    }
    scene.callers.stop();
    sleepMs(3000);
    const int verdict = judge(scene, judgedFrom, looks, notFound);
    scene.record.say(verdict == 1       ? "CONFIG is broken: requests are handled as only an older version allows"
                         : verdict == 0 ? "CONFIG held"
                                        : "the case couldn't run");
    scene.finish(verdict);
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
