// Two engines are in trouble: they answer reads of their stage with bytes without end. Checks that the side daemons
// beside them don't end by themselves, which exceeding their memory counts as (the fault of a day).

#include "scene.h"

#include <algorithm>
#include <thread>

namespace review
{

namespace
{

/// Memory above which the platform kills a side daemon.
constexpr double MemoryMb = 128;

constexpr std::int64_t RestartMs = 500;
constexpr std::int64_t TroubleMs = 25000;
constexpr int MostEnds = 2; ///< Of one machine in a day.
constexpr int MachinesWithEnds = 2;

/// The ends of the daemon of a machine.
struct MachineWatch
{
    Daemon *daemon = nullptr;
    std::atomic<int> ends{0};
    std::atomic<double> peak{0};
};

/// Does what the platform does: kills a daemon that exceeds its memory, and starts it again.
void watch(Scene &scene, MachineWatch &machine)
{
    std::thread([&scene, &machine] {
        while (true) {
            sleepMs(2);
            const double used = residentMb(*machine.daemon);
            machine.peak = std::max(machine.peak.load(), used);
            if (used > MemoryMb) {
                scene.record.say("the side daemon " + machine.daemon->ip + " uses "
                                 + std::to_string(static_cast<int>(used)) + " MB, over its "
                                 + std::to_string(static_cast<int>(MemoryMb)) + " MB: the platform kills it");
                ++machine.ends;
                kill(*machine.daemon);
                sleepMs(RestartMs);
                start(*machine.daemon, scene.shared);
            }
        }
    }).detach();
}

[[noreturn]] void play(Scene &scene)
{
    const nlohmann::json routes{makeRoute("/notes/", "streaming", EngineService, 6000, 400),
                                makeRoute("/desk/", "idempotent", PlainService, 2500, 150)};
    scene.fileState(10, routes, {"key-of-tenant-a-0001"});
    if (!scene.startAll()) {
        scene.finish(2);
    }
    std::vector<std::unique_ptr<MachineWatch>> machines;
    for (Daemon &daemon : scene.daemons) {
        if (daemon.role == "side") {
            machines.push_back(std::make_unique<MachineWatch>());
            machines.back()->daemon = &daemon;
            watch(scene, *machines.back());
        }
    }
    sleepMs(6000);
    for (std::size_t n = 0; n < 2 && !withoutTrouble(); ++n) {
        scene.engines[n]->endlessStage = true;
        scene.record.say("engine " + scene.engines[n]->address() + " is in trouble");
    }
    scene.origin.newest = 2;
    scene.store.append("keyed.op", "version/m0", nlohmann::json{{"Model", "m0"}, {"Version", 2}}.dump());
    scene.record.say("the operator announces version 2 of the weights; the store confirms it");
    sleepMs(TroubleMs);
    int machinesWithEnds = 0;
    for (const auto &machine : machines) {
        machinesWithEnds += machine->ends > MostEnds ? 1 : 0;
        scene.record.say("side daemon " + machine->daemon->ip + ": most memory "
                         + std::to_string(static_cast<int>(machine->peak.load())) + " MB, ends "
                         + std::to_string(machine->ends.load()));
    }
    int loaded = 0;
    for (const auto &engine : scene.engines) {
        loaded += engine->version() == 2 ? 1 : 0;
    }
    scene.record.say("engines with version 2: " + std::to_string(loaded) + " of 4");
    if (loaded < 2) {
        scene.record.say("the case couldn't run");
        scene.finish(2);
    }
    const bool broken = machinesWithEnds >= MachinesWithEnds;
    scene.record.say(broken ? "processes end by themselves three times on two machines" : "the processes go on");
    scene.finish(broken ? 1 : 0);
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
