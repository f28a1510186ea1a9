// A runner answers one request of a stream with a signed failure whose body has no end. Checks that the callers of the
// same front daemon get their answers from the sound runners (LOST).

#include "scene.h"

#include <algorithm>
#include <thread>

namespace review
{

namespace
{

/// Memory above which the platform kills a front daemon.
constexpr double MemoryMb = 260;

/// The rate at which the runner in trouble sends, below that of the front machine's link (1,000 Mbit/s).
constexpr double SendMbps = 800;

constexpr std::int64_t RestartMs = 500;

const std::string Key = "key-of-tenant-a-0001";
const std::string TroubleService = "bulletins";

/// A runner of a service with streams, whose answer to one request has no end.
class TroubledRunner : public PlainRunner
{
public:
    using PlainRunner::PlainRunner;

    std::atomic<bool> inTrouble{false};

protected:
    void handle(const Message &request, Channel &channel) override
    {
        if (!inTrouble.exchange(false) || !request.path().starts_with("/bulletins/")) {
            PlainRunner::handle(request, channel);
            return;
        }
        std::string head = "HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\n";
        for (const auto &[name, value] : signedFields(request)) {
            head += name + ": " + value + "\r\n";
        }
        m_record.say(m_id + " answers " + request.field("X-Ibislock-Attempt-Id") + " with a failure without end");
        const std::string chunk = "8000\r\n" + std::string(0x8000, 'x') + "\r\n";
        const std::int64_t startedAt = nowMs();
        std::size_t sent = 0;
        bool open = channel.write(head + "\r\n");
        while (open) {
            open = channel.write(chunk);
            sent += chunk.size();
            const auto due = static_cast<std::int64_t>(static_cast<double>(sent) * 8 / (SendMbps * 1000));
            sleepMs(startedAt + due - nowMs());
        }
        m_record.say("its channel was closed after " + std::to_string(nowMs() - startedAt) + " ms and "
                     + std::to_string(sent / 1000000) + " MB");
    }
};

CallerRequest noticeRequest()
{
    return {.kind = "notice", .host = Host, .path = "/desk/issue", .key = Key, .deadlineMs = 2500, .body = "notice"};
}

CallerRequest bulletinRequest()
{
    return {.kind = "bulletin",
            .host = Host,
            .path = "/bulletins/one",
            .key = Key,
            .deadlineMs = 6000,
            .body = "bulletin",
            .newChannel = true};
}

/// Does what the platform does: kills a daemon that exceeds its memory, and starts it again.
void watchMemory(Scene &scene, std::atomic<double> &peak)
{
    std::thread([&scene, &peak] {
        while (true) {
            sleepMs(5);
            for (Daemon *daemon : scene.fronts()) {
                const double used = residentMb(*daemon);
                peak = std::max(peak.load(), used);
                if (used > MemoryMb) {
                    scene.record.say("the front daemon " + daemon->ip + " uses "
                                     + std::to_string(static_cast<int>(used)) + " MB, over its "
                                     + std::to_string(static_cast<int>(MemoryMb)) + " MB: the platform kills it");
                    kill(*daemon);
                    sleepMs(RestartMs);
                    start(*daemon, scene.shared);
                }
            }
        }
    }).detach();
}

[[noreturn]] void play(Scene &scene)
{
    TroubledRunner troubled(
        scene.store, scene.record, scene.runs,
        RunnerOptions{.ip = loopbackIp(2, 9), .zone = "north-a", .service = TroubleService, .slots = 6});
    for (const auto &desk : scene.desks) {
        desk->workMs = 400;
    }
    scene.extraServices = {TroubleService};
    scene.fileState(10,
                    {makeRoute("/desk/", "non_idempotent", PlainService, 2500, 150),
                     makeRoute("/bulletins/", "streaming", TroubleService, 6000, 400)},
                    {Key});
    troubled.start();
    if (!scene.startAll()) {
        scene.finish(2);
    }
    std::atomic<double> peak{0};
    watchMemory(scene, peak);
    for (const Daemon *daemon : scene.fronts()) {
        for (int n = 0; n < 8; ++n) {
            scene.callers.start(*daemon, 500, noticeRequest);
            sleepMs(61);
        }
    }
    sleepMs(6000);
    const std::int64_t from = nowMs();
    troubled.inTrouble = !withoutTrouble();
    std::vector<std::thread> bulletins;
    for (const Daemon *daemon : scene.fronts()) {
        bulletins.emplace_back([&scene, daemon] { scene.callers.sendOnce(*daemon, bulletinRequest()); });
    }
    for (std::thread &bulletin : bulletins) {
        bulletin.join();
    }
    sleepMs(5000);
    scene.callers.stop();
    sleepMs(3000);
    const std::vector<Run> runs = scene.runs.all();
    int sent = 0;
    int before = 0;
    int lost = 0;
    for (const CallerResult &result : scene.callers.results()) {
        if (result.request.kind != "notice") {
            continue;
        }
        const bool ran =
            std::any_of(runs.begin(), runs.end(), [&](const Run &item) { return item.attempt == result.attempt; });
        const bool closed = result.status == 0 && !result.timedOut;
        ++sent;
        before += result.sentAt < from && result.served ? 1 : 0;
        lost += ran && closed ? 1 : 0;
    }
    scene.record.say("notices sent: " + std::to_string(sent) + ", served before the trouble: " + std::to_string(before)
                     + ", run by a sound runner and their channel closed without an answer: " + std::to_string(lost));
    scene.record.say("most memory of a front daemon: " + std::to_string(static_cast<int>(peak.load())) + " MB of "
                     + std::to_string(static_cast<int>(MemoryMb)));
    if (before < 20) {
        scene.record.say("the case couldn't run");
        scene.finish(2);
    }
    scene.record.say(lost > 3 ? "LOST is broken: more than three requests" : "LOST held");
    scene.finish(lost > 3 ? 1 : 0);
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
