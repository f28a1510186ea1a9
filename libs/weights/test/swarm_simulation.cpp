#include "swarm_simulation.h"

#include <algorithm>

namespace ibislock::weights::testing
{

namespace
{

constexpr Millis Step{10};
constexpr Millis End{120000};
constexpr Millis DeathKnownAfter{500};
constexpr Millis PeerTime{30};
constexpr Millis OriginTime{60};
constexpr unsigned BitsPerByte = 8;

std::string nameOfVm(unsigned index)
{
    return "vm" + std::to_string(index);
}

/// A request in progress.
struct Call
{
    unsigned vm = 0;
    ChunkRequest draw;
    Millis endsAt{0};
};

class Simulation
{
public:
    explicit Simulation(const SimulationOptions &options)
        : m_options(options)
        , m_random(options.seed)
    {
        std::vector<Digest> chunks;
        for (unsigned i = 0; i < options.chunks; ++i) {
            chunks.push_back(sha256(std::to_string(options.seed) + "#" + std::to_string(i)));
        }
        for (unsigned i = 0; i < options.vms; ++i) {
            const PlanOptions plan{.vm = nameOfVm(i),
                                   .domain = domainOf(i),
                                   .policy = options.policy,
                                   .takeoverTimeout = Millis(1000),
                                   .chunkTimeout = Millis(400),
                                   .domainsAreRegions = options.domainsAreRegions,
                                   .storeDomain = "d0"};
            m_transfers.push_back(makeTransfer(plan, chunks, {}, m_now));
        }
    }

    SimulationResult run()
    {
        while (m_now < End && !allComplete()) {
            m_now += Step;
            endCalls();
            for (unsigned i = 0; i < m_transfers.size(); ++i) {
                if (!isDead(i)) {
                    act(i);
                }
            }
        }
        m_result.isComplete = allComplete();
        return m_result;
    }

private:
    std::string domainOf(unsigned vm) const
    {
        return "d" + std::to_string(vm % m_options.domains);
    }

    bool isDead(unsigned vm) const
    {
        return m_options.dead.contains(vm) && m_now >= m_options.faultAt;
    }

    bool isStalled(unsigned vm) const
    {
        return m_options.stalled.contains(vm) && m_now >= m_options.faultAt;
    }

    bool isKnownDead(unsigned vm) const
    {
        return m_options.dead.contains(vm) && m_now >= m_options.faultAt + DeathKnownAfter;
    }

    bool allComplete() const
    {
        for (unsigned i = 0; i < m_transfers.size(); ++i) {
            if (!m_options.dead.contains(i) && !m_options.stalled.contains(i) && !isComplete(m_transfers[i])) {
                return false;
            }
        }
        return true;
    }

    std::string bitmapOf(unsigned vm) const
    {
        std::string bitmap((m_options.chunks + BitsPerByte - 1) / BitsPerByte, '\0');
        for (unsigned i = 0; i < m_options.chunks; ++i) {
            if (m_transfers[vm].held[i]) {
                bitmap[i / BitsPerByte] = static_cast<char>(bitmap[i / BitsPerByte] | (1 << (i % BitsPerByte)));
            }
        }
        return bitmap;
    }

    void act(unsigned vm)
    {
        Transfer &transfer = m_transfers[vm];
        std::vector<Participant> participants;
        for (unsigned i = 0; i < m_transfers.size(); ++i) {
            participants.push_back({.vm = nameOfVm(i), .domain = domainOf(i), .isLive = !isKnownDead(i)});
        }
        setParticipants(transfer, participants, m_now);
        setSources(transfer, chooseNeighbours(transfer));
        for (unsigned i = 0; i < m_transfers.size(); ++i) {
            if (!isDead(i)) {
                applyHoldings(transfer, nameOfVm(i), bitmapOf(i), m_now);
            }
        }
        expireRequests(transfer, m_now);
        if (isStalled(vm)) {
            return;
        }
        while (const auto draw = nextRequest(transfer, m_now, m_random)) {
            count(vm, *draw);
            m_calls.push_back(
                {.vm = vm, .draw = *draw, .endsAt = m_now + (draw->source.empty() ? OriginTime : PeerTime)});
        }
    }

    unsigned vmOf(const std::string &name) const
    {
        return static_cast<unsigned>(std::strtoul(name.c_str() + 2, nullptr, 10));
    }

    void count(unsigned vm, const ChunkRequest &draw)
    {
        if (draw.source.empty()) {
            m_result.originDraws += m_now >= m_options.originSilentUntil ? 1 : 0;
            return;
        }
        const unsigned source = vmOf(draw.source);
        m_result.asksOfDead += isKnownDead(source) ? 1 : 0;
        m_result.asksOfLiars += m_options.liars.contains(source) ? 1 : 0;
        if (domainOf(source) != domainOf(vm) && !m_imported.insert({domainOf(vm), draw.chunk}).second) {
            ++m_result.importsTwice;
        }
    }

    void endCalls()
    {
        std::vector<Call> ended;
        std::erase_if(m_calls, [&](const Call &it) {
            const bool ends = it.endsAt <= m_now;
            if (ends) {
                ended.push_back(it);
            }
            return ends;
        });
        for (const Call &call : ended) {
            end(call);
        }
    }

    void end(const Call &call)
    {
        Transfer &transfer = m_transfers[call.vm];
        const std::string &source = call.draw.source;
        if (isDead(call.vm) || isStalled(call.vm)) {
            return;
        }
        if (source.empty()) {
            if (m_now < m_options.originSilentUntil) {
                recordFailure(transfer, call.draw.chunk, source, FetchFailure::NoResponse, Millis(0), m_now);
            } else {
                recordArrival(transfer, call.draw.chunk, source, Millis(0), m_now);
            }
            return;
        }
        const unsigned peer = vmOf(source);
        if (isStalled(peer)) {
            return; // It never responds; the request times out.
        }
        if (isDead(peer)) {
            recordFailure(transfer, call.draw.chunk, source, FetchFailure::NoResponse, Millis(0), m_now);
        } else if (m_options.liars.contains(peer)) {
            recordFailure(transfer, call.draw.chunk, source, FetchFailure::Corrupt, Millis(0), m_now);
        } else {
            recordArrival(transfer, call.draw.chunk, source, Millis(0), m_now);
        }
    }

    SimulationOptions m_options;
    Random m_random;
    Millis m_now{1};
    std::vector<Transfer> m_transfers;
    std::vector<Call> m_calls;
    std::set<std::pair<std::string, std::size_t>> m_imported;
    SimulationResult m_result;
};

} // namespace

SimulationResult simulate(const SimulationOptions &options)
{
    return Simulation(options).run();
}

} // namespace ibislock::weights::testing
