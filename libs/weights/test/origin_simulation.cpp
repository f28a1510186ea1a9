#include "origin_simulation.h"

#include <algorithm>
#include <deque>
#include <map>

namespace ibislock::weights::testing
{

namespace
{

constexpr Millis Step = FirstStep; // The interval at which fetchers check their turns.
constexpr Millis End{120000};
constexpr Millis MessageTime{20}; // From a VM that holds a piece to one that waits for it.
constexpr Millis DeathKnownAfter{850}; // As in the exchange: quiet time and probe.
constexpr Millis JuniorsInterval{300};
constexpr int AskedInTurn = 8;
constexpr Millis CorruptRetryTime{250};
constexpr Millis RequestTimeout{4000};
constexpr Millis ProbeTimeout{700};
constexpr Millis FreshTime{1500};
constexpr int Percent = 100;
constexpr Millis SurveyTime{400};
constexpr Millis LateTime{2500};
constexpr Millis MillisPerSecond{1000};

struct VersionView
{
    OriginTurns turns;
    std::vector<bool> held;
    std::vector<Millis> readyAt; // When a piece that is available elsewhere is received; 0 for none.
    Millis startedAt{0};
    bool surveyed = false; // The VM knows what others held when they started, or waited long enough for them.
    bool started = false;
};

struct VmModel
{
    std::string name;
    int domain = 0;
    bool alive = true;
    Millis changedAt{-10000}; // When it died or came back.
    Millis startedAt{0};
    OriginAvailability origin;
    std::vector<VersionView> versions;
    std::vector<OriginRank> ranks;
    Millis linkFreeAt{0};
    Millis juniorsAt{0};
    bool busy = false; // Waits for the origin.
    std::uint64_t incarnation = 0;
    Random random{1};
    std::vector<bool> staged; // What it has of the first version when it restarts.
};

struct OriginRequest
{
    int vm = 0;
    std::uint64_t incarnation = 0;
    int version = 0;
    int piece = 0;
    Millis sentAt{0};
    Millis endsAt{0}; // Of the response, or of the failure.
    bool fails = false;
};

class Simulation
{
public:
    explicit Simulation(const OriginSimulationOptions &options)
        : m_options(options)
    {
        std::vector<DistributionMember> members;
        for (int n = 0; n < options.vms; ++n) {
            const int domain = n % options.domains;
            members.push_back({.vm = "10." + std::to_string(domain) + "." + std::to_string(100 + n),
                               .domain = "d" + std::to_string(domain)});
            m_index[members.back().vm] = n;
        }
        for (int n = 0; n < options.vms; ++n) {
            VmModel vm{.name = members[static_cast<std::size_t>(n)].vm, .domain = n % options.domains};
            vm.random.seed(options.seed * 1000 + static_cast<std::uint64_t>(n));
            for (int piece = 0; piece < options.pieces; ++piece) {
                vm.ranks.push_back(originRank(piece, vm.name, "d" + std::to_string(vm.domain), members));
            }
            vm.versions.resize(options.secondVersionAt ? 2 : 1);
            stageSome(vm, n);
            m_vms.push_back(std::move(vm));
        }
    }

    OriginSimulationResult run()
    {
        while (m_now < End && !isDone()) {
            m_now += Step;
            applyFaults();
            endRequests();
            if (isRestart()) {
                updateTold();
            }
            for (VmModel &vm : m_vms) {
                if (vm.alive) {
                    act(vm);
                }
            }
            observe();
        }
        return m_result;
    }

private:
    void stageSome(VmModel &vm, int n) const
    {
        for (std::uint64_t piece = 0; piece < static_cast<std::uint64_t>(m_options.pieces); ++piece) {
            Random common(m_options.seed * 7919 + piece); // All VMs draw the same pieces that any of them holds.
            Random own(m_options.seed * 104729 + piece * 1009 + static_cast<std::uint64_t>(n));
            const bool isAvailable = static_cast<int>(common() % Percent) < m_options.availablePercent;
            const bool isOwn = static_cast<int>(own() % Percent) < m_options.stagedPercent;
            vm.staged.push_back(isAvailable && isOwn);
        }
    }

    int indexOf(const VmModel &vm) const
    {
        return static_cast<int>(&vm - m_vms.data());
    }

    bool isUp() const
    {
        return m_now < m_options.outageAt || m_now >= m_options.outageEnd;
    }

    bool isIsolated(const VmModel &vm, Millis before) const
    {
        return m_options.isolatedDomain == vm.domain && m_now >= m_options.isolatedAt + before;
    }

    // Whether messages between two VMs arrive, or arrived some time before.
    bool reaches(const VmModel &from, const VmModel &to, Millis before = Millis{0}) const
    {
        const bool alive = m_now >= to.changedAt + before ? to.alive : !to.alive;
        return alive && (from.domain == to.domain || isIsolated(from, before) == isIsolated(to, before));
    }

    bool isKnownOut(const VmModel &from, const std::string &name) const
    {
        const VmModel &to = m_vms[static_cast<std::size_t>(m_index.at(name))];
        return (!reaches(from, to) && !reaches(from, to, DeathKnownAfter)) || isCutOff(to.origin);
    }

    bool allOut(const VmModel &vm, const std::vector<std::string> &seniors) const
    {
        return std::all_of(seniors.begin(), seniors.end(),
                           [&](const std::string &name) { return isKnownOut(vm, name); });
    }

    void applyFaults()
    {
        for (const int n : m_options.dead) {
            VmModel &vm = m_vms[static_cast<std::size_t>(n)];
            const bool back = m_options.replacedAt && m_now >= *m_options.replacedAt;
            if (vm.alive == (m_now < m_options.deathAt || back)) {
                continue;
            }
            vm.alive = !vm.alive;
            vm.changedAt = m_now;
            vm.startedAt = m_now;
            vm.busy = false;
            ++vm.incarnation;
            vm.origin = {};
            vm.versions.assign(vm.versions.size(), {});
        }
    }

    void start(VmModel &vm, VersionView &view)
    {
        const auto pieces = static_cast<std::size_t>(m_options.pieces);
        view = {.turns = makeOriginTurns(m_options.pieces, m_options.pieceTime, m_now),
                .held = std::vector<bool>(pieces),
                .readyAt = std::vector<Millis>(pieces),
                .startedAt = m_now,
                .started = true};
        vm.juniorsAt = m_now + JuniorsInterval;
    }

    bool isRestart() const
    {
        return m_options.availablePercent > 0;
    }

    // Whether a VM has a piece of the first version staged when it restarts.
    bool isStaged(const VmModel &vm, std::size_t piece) const
    {
        return isRestart() && vm.staged[piece];
    }

    void readStage(VmModel &vm, VersionView &view)
    {
        int missing = 0;
        for (std::size_t piece = 0; piece < view.held.size(); ++piece) {
            view.held[piece] = isStaged(vm, piece);
            missing += view.held[piece] ? 0 : 1;
            if (view.held[piece]) {
                recordHeld(view.turns, static_cast<int>(piece));
            }
        }
        m_result.missingOfOne = std::max(m_result.missingOfOne, missing);
    }

    Millis announcedAt(std::size_t version) const
    {
        return version > 0 ? *m_options.secondVersionAt : isRestart() ? -FreshTime : Millis{0};
    }

    // When a VM learns of a version.
    Millis knownAt(const VmModel &vm, std::size_t version) const
    {
        if (version == 0 && isRestart()) {
            return m_options.startSpread * (indexOf(vm) * 37 % 100) / 100;
        }
        return announcedAt(version) + (m_options.late.contains(indexOf(vm)) ? LateTime : Millis{0});
    }

    void act(VmModel &vm)
    {
        const bool asksJuniors = m_now >= vm.juniorsAt;
        if (asksJuniors) {
            vm.juniorsAt = m_now + JuniorsInterval;
        }
        for (std::size_t version = 0; version < vm.versions.size(); ++version) {
            VersionView &view = vm.versions[version];
            if (!view.started && m_now >= knownAt(vm, version)) {
                start(vm, view);
                if (version == 0 && isRestart()) {
                    readStage(vm, view);
                }
            }
            if (view.started) {
                survey(vm, version);
                receive(vm, version, asksJuniors);
                if (requestFromOrigin(vm, version)) {
                    return; // The second version waits while pieces of the first one are missing.
                }
            }
        }
    }

    // Updates which pieces the VMs of each domain have told that they hold, early enough for all VMs to know it.
    void updateTold()
    {
        m_allTold = true;
        for (const VmModel &vm : m_vms) {
            const VersionView &view = vm.versions.front();
            const bool told = view.started && m_now >= view.startedAt + MessageTime;
            m_allTold = m_allTold && told;
            for (std::size_t piece = 0; told && piece < view.held.size(); ++piece) {
                if (isStaged(vm, piece)) {
                    m_told[vm.domain].insert(piece);
                }
            }
        }
    }

    bool isTold(std::size_t piece) const
    {
        return std::any_of(m_told.begin(), m_told.end(),
                           [piece](const auto &item) { return item.second.contains(piece); });
    }

    // Records what the others hold that have started by now, as the fetcher does when they respond.
    void survey(VmModel &vm, std::size_t version)
    {
        VersionView &view = vm.versions[version];
        if (version > 0 || !isRestart()) {
            view.surveyed = true;
            return;
        }
        for (std::size_t piece = 0; piece < view.held.size(); ++piece) {
            if (view.turns.missing[piece] && isTold(piece)) {
                recordHeld(view.turns, static_cast<int>(piece));
            }
        }
        if (!view.surveyed && (m_allTold || m_now >= view.startedAt + SurveyTime)) {
            view.surveyed = true;
            restartTurns(view.turns, m_now);
        }
    }

    // Whether a VM from which this one may take a piece has told that it holds it.
    bool hasHolder(const VmModel &vm, const OriginRank &rank, std::size_t piece) const
    {
        const auto own = m_told.find(vm.domain);
        return (own != m_told.end() && own->second.contains(piece))
            || (isTold(piece) && allOut(vm, rank.domainSeniors));
    }

    bool holds(const std::string &name, std::size_t version, std::size_t piece) const
    {
        const VersionView &view = m_vms[static_cast<std::size_t>(m_index.at(name))].versions[version];
        return view.started && view.held[piece];
    }

    void receive(VmModel &vm, std::size_t version, bool asksJuniors)
    {
        VersionView &view = vm.versions[version];
        for (std::size_t piece = 0; piece < view.held.size(); ++piece) {
            if (view.held[piece]) {
                continue;
            }
            if (view.readyAt[piece] > Millis{0}) {
                view.held[piece] = m_now >= view.readyAt[piece];
                continue;
            }
            const OriginRank &rank = vm.ranks[piece];
            const bool told = version == 0 && isRestart() && hasHolder(vm, rank, piece);
            if (told || isAvailable(vm, rank, version, piece, asksJuniors)) {
                recordAvailable(view.turns, vm.origin, static_cast<int>(piece), m_now);
                vm.linkFreeAt = std::max(vm.linkFreeAt, m_now + MessageTime) + LinkTime;
                view.readyAt[piece] = vm.linkFreeAt;
            }
        }
    }

    bool isAvailable(const VmModel &vm, const OriginRank &rank, std::size_t version, std::size_t piece,
                     bool asksJuniors) const
    {
        for (const auto *seniors : {&rank.domainSeniors, &rank.otherSeniors}) {
            for (const std::string &name : *seniors) {
                if (!isKnownOut(vm, name)) {
                    return reaches(vm, m_vms[static_cast<std::size_t>(m_index.at(name))])
                        && holds(name, version, piece);
                }
            }
        }
        // As the fetcher, which asks a few of all VMs in turn.
        for (int n = 0; asksJuniors && n < AskedInTurn; ++n) {
            const VmModel &other =
                m_vms[static_cast<std::size_t>(m_now / JuniorsInterval * AskedInTurn + n) % m_vms.size()];
            if (reaches(vm, other) && holds(other.name, version, piece)) {
                return true;
            }
        }
        return asksJuniors && std::any_of(rank.juniors.begin(), rank.juniors.end(), [&](const std::string &name) {
                   return reaches(vm, m_vms[static_cast<std::size_t>(m_index.at(name))]) && holds(name, version, piece);
               });
    }

    // Returns whether pieces of the version are missing.
    bool requestFromOrigin(VmModel &vm, std::size_t version)
    {
        VersionView &view = vm.versions[version];
        const bool missing =
            std::find(view.turns.missing.begin(), view.turns.missing.end(), true) != view.turns.missing.end();
        for (std::size_t n = 0; view.surveyed && missing && !vm.busy && n < vm.ranks.size(); ++n) {
            const auto piece = static_cast<int>(n);
            const OriginTurn turn = decideOriginTurn(view.turns, vm.origin, piece, vm.ranks[n], m_now);
            if (turn != OriginTurn::Wait && mayRequest(vm, version, turn, n)) {
                send(vm, static_cast<int>(version), piece);
            }
        }
        return missing;
    }

    bool mayRequest(const VmModel &vm, std::size_t version, OriginTurn turn, std::size_t piece) const
    {
        const OriginRank &rank = vm.ranks[piece];
        if (turn == OriginTurn::Now) {
            return true;
        }
        if (!allOut(vm, rank.domainSeniors)) {
            return false;
        }
        const bool isNew = rank.overall == 0 && m_now < announcedAt(version) + FreshTime;
        const bool asked =
            isNew || isRestart() || m_now > vm.versions[version].turns.startedAt + JuniorsInterval + Step;
        return asked && (turn == OriginTurn::IfDomainSeniorsOut || allOut(vm, rank.otherSeniors));
    }

    void send(VmModel &vm, int version, int piece)
    {
        vm.busy = true;
        const bool reachable = isUp() && !m_options.cutOff.contains(indexOf(vm));
        OriginRequest request{
            .vm = indexOf(vm), .incarnation = vm.incarnation, .version = version, .piece = piece, .sentAt = m_now};
        if (reachable) {
            m_linkFreeAt = std::max(m_linkFreeAt, m_now) + m_options.pieceTime;
            m_result.sent += m_now >= m_options.outageEnd ? 1 : 0;
            request.fails = m_linkFreeAt > m_now + RequestTimeout;
            request.endsAt = std::min(m_linkFreeAt, m_now + RequestTimeout);
        } else {
            m_attempts.push_back(m_now);
            const bool hangs = m_options.fault == OriginFault::Hanging;
            const Millis timeout = vm.origin.failures % 4 == 3 ? RequestTimeout : ProbeTimeout;
            request.fails = true;
            request.endsAt = m_now + (hangs ? timeout : Step);
        }
        m_requests.push_back(request);
    }

    void endRequests()
    {
        const bool outageBegins = !isUp() && m_options.outageAt > m_now - Step;
        std::erase_if(m_requests, [&](const OriginRequest &request) {
            VmModel &vm = m_vms[static_cast<std::size_t>(request.vm)];
            if (vm.incarnation != request.incarnation) {
                return true;
            }
            VersionView &view = vm.versions[static_cast<std::size_t>(request.version)];
            const bool corrupt = m_options.corruptEach > 0 && ++m_responses % m_options.corruptEach == 0;
            if (request.endsAt <= m_now && !request.fails && corrupt) {
                vm.origin.nextAttemptAt = m_now + jittered(vm.random, CorruptRetryTime);
            } else if (request.endsAt <= m_now && !request.fails) {
                recordServed(view.turns, vm.origin, request.piece, m_now);
                view.held[static_cast<std::size_t>(request.piece)] = true;
            } else if (request.endsAt <= m_now || outageBegins) {
                recordOriginFailure(vm.origin, vm.random, m_now);
            } else if (!isRequestStale(view.turns, request.sentAt, m_now)) {
                return false;
            }
            vm.busy = false;
            return true;
        });
    }

    bool isComplete(const VmModel &vm, std::size_t version) const
    {
        const auto &held = vm.versions[version].held;
        return !held.empty() && std::find(held.begin(), held.end(), false) == held.end();
    }

    bool allComplete(std::size_t version) const
    {
        return std::all_of(m_vms.begin(), m_vms.end(),
                           [&](const VmModel &vm) { return !vm.alive || isComplete(vm, version); });
    }

    bool isDone() const
    {
        return m_now > m_options.outageEnd && allComplete(m_vms.front().versions.size() - 1) && allComplete(0);
    }

    void countMissing()
    {
        for (std::size_t version = 0; version < m_vms.front().versions.size(); ++version) {
            for (std::size_t piece = 0; piece < static_cast<std::size_t>(m_options.pieces); ++piece) {
                m_result.missing +=
                    std::any_of(m_vms.begin(), m_vms.end(),
                                [&](const VmModel &vm) {
                                    const bool held = holds(vm.name, version, piece);
                                    return vm.alive && !isIsolated(vm, Millis{0}) && (held || isStaged(vm, piece));
                                })
                    ? 0
                    : 1;
            }
        }
    }

    void observe()
    {
        if (m_now >= m_options.outageEnd && m_now < m_options.outageEnd + Step) {
            countMissing();
        }
        while (!m_attempts.empty() && m_attempts.front() <= m_now - MillisPerSecond) {
            m_attempts.pop_front();
        }
        m_result.maxAttempts = std::max(m_result.maxAttempts, static_cast<int>(m_attempts.size()));
        const Millis since = m_now - m_options.outageEnd;
        const auto note = [&](Millis &first, Millis &all, std::size_t version) {
            const bool any =
                std::any_of(m_vms.begin(), m_vms.end(), [&](const VmModel &vm) { return isComplete(vm, version); });
            first = first == Millis{0} && any ? since : first;
            all = all == Millis{0} && any && allComplete(version) ? since : all;
        };
        note(m_result.firstComplete, m_result.allComplete, 0);
        if (m_options.secondVersionAt) {
            note(m_result.firstSecond, m_result.allSecond, 1);
        }
    }

    OriginSimulationOptions m_options;
    Millis m_now{0};
    std::vector<VmModel> m_vms;
    std::map<std::string, int> m_index;
    std::vector<OriginRequest> m_requests;
    Millis m_linkFreeAt{0};
    int m_responses = 0;
    std::deque<Millis> m_attempts;
    std::map<int, std::set<std::size_t>> m_told; // By domain: pieces that its VMs have told to hold.
    bool m_allTold = false;
    OriginSimulationResult m_result;
};

} // namespace

OriginSimulationResult simulateOrigin(const OriginSimulationOptions &options)
{
    return Simulation(options).run();
}

} // namespace ibislock::weights::testing
