#include "load/open_load.h"

#include <thread>

namespace ibislock::lab
{

namespace
{

constexpr std::uint32_t ImpatientAttempts = 4;
constexpr Millis ImpatientPause{10};

/// Draws a prefix; the n-th is drawn with a weight of one over n.
std::size_t drawPrefix(unsigned prefixes, Random &random)
{
    std::vector<double> weights;
    for (unsigned i = 1; i <= prefixes; ++i) {
        weights.push_back(1.0 / i);
    }
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
}

std::string textOf(const std::string &seed, std::size_t bytes)
{
    std::string text;
    while (text.size() < bytes) {
        text += seed + " ";
    }
    text.resize(bytes);
    return text;
}

} // namespace

OpenLoad::OpenLoad(const Balancer &balancer, OpenLoadOptions options)
    : m_balancer(balancer)
    , m_options(std::move(options))
    , m_random(m_options.seed)
{
}

OpenLoad::Planned OpenLoad::plan(double atMs)
{
    std::vector<double> shares;
    for (const WorkspaceLoad &workspace : m_options.workspaces) {
        shares.push_back(workspace.share);
    }
    const auto draw = [this](double probability) {
        return std::bernoulli_distribution(probability)(m_random);
    };
    Planned planned{.atMs = atMs};
    planned.workspace = std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(m_random);
    Call &call = planned.call;
    call.credential = m_options.workspaces[planned.workspace].credential;
    call.user = "call-" + std::to_string(m_options.seed) + "-" + std::to_string(++m_planned);
    call.tokens = m_options.tokens;
    call.priority = draw(m_options.lowPriority) ? "low" : "normal";
    call.kind = draw(m_options.streams) ? CallKind::Stream : CallKind::Whole;
    call.hasKey = m_planned % 4 != 0;
    if (draw(m_options.services)) {
        call.kind = CallKind::Service;
    }
    const std::size_t prefix = drawPrefix(m_options.prefixes, m_random);
    call.prompt =
        textOf("prefix " + std::to_string(prefix), m_options.prefixBytes) + textOf(call.user, m_options.ownBytes);
    return planned;
}

std::vector<OpenLoad::Planned> OpenLoad::planAll(const LoadPhase &phase, double beginMs)
{
    std::vector<Planned> plan;
    std::exponential_distribution<double> gap(phase.rps / 1000);
    const auto end = static_cast<double>(phase.duration.count());
    for (double at = gap(m_random); at < end; at += gap(m_random)) {
        plan.push_back(this->plan(beginMs + at));
    }
    return plan;
}

std::vector<CallRecord> OpenLoad::run(const LoadPhase &phase)
{
    const double beginMs = nowMs() + 50;
    const double endMs = beginMs + static_cast<double>(phase.duration.count());
    const std::vector<Planned> plan = phase.rps > 0 ? planAll(phase, beginMs) : std::vector<Planned>();
    const unsigned callers = phase.callers > 0 ? phase.callers : m_options.callers;
    std::vector<std::vector<CallRecord>> records(callers);
    std::vector<std::thread> threads;
    m_next = 0;
    for (unsigned i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] { work(i, phase, plan, endMs, records[i]); });
    }
    std::vector<CallRecord> all;
    for (unsigned i = 0; i < callers; ++i) {
        threads[i].join();
        all.insert(all.end(), records[i].begin(), records[i].end());
    }
    return all;
}

void OpenLoad::work(std::size_t number, const LoadPhase &phase, const std::vector<Planned> &plan, double endMs,
                    std::vector<CallRecord> &records)
{
    Caller caller(m_balancer, number);
    if (phase.rps <= 0) {
        while (nowMs() < endMs) {
            Planned planned;
            {
                const std::lock_guard lock(m_mutex);
                planned = this->plan(nowMs());
            }
            records.push_back(carryOut(caller, planned));
        }
        return;
    }
    for (std::size_t i = m_next++; i < plan.size(); i = m_next++) {
        const double wait = plan[i].atMs - nowMs();
        if (wait > 0) {
            std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(wait));
        }
        records.push_back(carryOut(caller, plan[i]));
    }
}

CallRecord OpenLoad::carryOut(Caller &caller, const Planned &planned) const
{
    CallRecord record = caller.send(planned.call);
    const double sentMs = record.sentMs;
    // A repeated call names itself anew, since what was told about the first one must stay checkable.
    for (std::uint32_t n = 2; m_options.impatient && n <= ImpatientAttempts && record.verdict == Verdict::Refused;
         ++n) {
        std::this_thread::sleep_for(ImpatientPause);
        Call again = planned.call;
        again.user += "-" + std::to_string(n);
        record = caller.send(again);
        record.sentMs = sentMs;
        record.attempts = n;
    }
    record.workspace = planned.workspace;
    record.scheduledMs = planned.atMs;
    return record;
}

} // namespace ibislock::lab
