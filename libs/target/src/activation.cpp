#include "activation.h"

#include "ibislock/base/log.h"

#include <algorithm>

namespace ibislock::target
{

namespace
{

using configuration::Duty;

constexpr Millis PollInterval{50};
/// Requests that may be admitted for each that may run; the rest wait in the runner's queue.
constexpr std::uint32_t AdmittedPerSlot = 3;

bool sameDuty(const std::optional<Duty> &a, const std::optional<Duty> &b)
{
    if (!a || !b) {
        return a.has_value() == b.has_value();
    }
    return a->ticket == b->ticket && a->scope == b->scope && a->assignment == b->assignment;
}

} // namespace

Activation::Activation(const TargetOptions &options, node::Node &node, Fetcher &fetcher, Counters &counters,
                       Holdings &holdings)
    : m_options(options)
    , m_node(node)
    , m_fetcher(fetcher)
    , m_counters(counters)
    , m_holdings(holdings)
    , m_chart(embeddedChart("activation"))
    , m_engine(options.engine)
    , m_phase(m_chart.initial)
{
}

Activation::~Activation()
{
    stop();
}

void Activation::start()
{
    m_thread = std::thread([this] { run(); });
}

void Activation::stop()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

Serving Activation::serving() const
{
    const std::lock_guard lock(m_mutex);
    Serving serving{.isServing = m_accepting && !m_refusing, .phase = m_phase};
    if (m_served) {
        serving.ticket = m_served->ticket;
        serving.role = m_served->scope.role;
        serving.manifest = m_served->assignment.manifest;
    }
    return serving;
}

Result<void> Activation::admit(const requests::Request &request)
{
    const std::lock_guard lock(m_mutex);
    if (!m_accepting || m_refusing || !m_served) {
        return failure(ErrorCode::Unavailable, "the target serves no version now");
    }
    if (m_served->assignment.manifest != request.manifest || m_served->scope.role != request.role) {
        return failure(ErrorCode::Conflict, "the target serves another version or role");
    }
    if (m_running >= AdmittedPerSlot * m_options.concurrency) {
        return failure(ErrorCode::Exhausted, "the target is at its limit of requests");
    }
    ++m_running;
    return {};
}

void Activation::release()
{
    const std::lock_guard lock(m_mutex);
    --m_running;
    m_idle.notify_all();
}

std::uint32_t Activation::running() const
{
    const std::lock_guard lock(m_mutex);
    return m_running;
}

void Activation::refuseAll()
{
    const std::lock_guard lock(m_mutex);
    m_refusing = true;
}

bool Activation::waitUntilIdle(Millis timeout)
{
    std::unique_lock lock(m_mutex);
    return m_idle.wait_for(lock, timeout, [this] { return m_running == 0; });
}

void Activation::run()
{
    while (!m_stopping) {
        claimSlot();
        noteDesired();
        if (m_phase == "waiting" && steadyMillis() - m_failedAt >= m_options.retryInterval) {
            step("desired");
        }
        const auto known = m_node.state();
        m_node.waitForChange(known, PollInterval);
    }
}

void Activation::step(const std::string &event)
{
    std::string action;
    {
        const std::lock_guard lock(m_mutex);
        const Transition &transition = stepOf(m_chart, m_phase, event);
        logDebug(Part::Target, "Activation moves.", {{"from", m_phase}, {"event", event}, {"to", transition.next}});
        m_phase = transition.next;
        // The old version goes on answering until the drain is allowed to begin; see drain().
        const bool keepsOld = m_phase == "fetching" || m_phase == "waiting" || m_phase == "draining";
        m_accepting = m_phase == "serving" || (m_accepting && keepsOld);
        action = transition.action;
    }
    carryOut(action);
}

void Activation::carryOut(const std::string &action)
{
    if (action == "fetch") {
        fetch();
    } else if (action == "drain") {
        drain();
    } else if (action == "load") {
        load();
    } else if (action == "readBack") {
        readBack();
    } else if (action == "serve") {
        serve();
    } else if (action == "wait") {
        rest();
    } else if (action == "release") {
        const std::lock_guard lock(m_mutex);
        m_served.reset();
    }
}

void Activation::claimSlot()
{
    if (m_fence != 0 && holdsSlot()) {
        return;
    }
    if (m_fence != 0) {
        refuseAll();
        return;
    }
    const auto state = m_node.state();
    const auto it = state->claims.find(m_node.options().vm);
    if (it != state->claims.end() && it->second.incarnation == m_node.incarnation()) {
        m_fence = it->second.fence + 1;
        return;
    }
    const auto offset = m_node.append(configuration::ClaimRecord{
        .vm = m_node.options().vm,
        .incarnation = m_node.incarnation(),
        .replaces = it == state->claims.end() ? std::nullopt : std::optional(it->second.fence)});
    if (offset) {
        m_node.waitForOffset(*offset, m_options.retryInterval);
    }
}

bool Activation::holdsSlot() const
{
    const auto state = m_node.state();
    const auto it = state->claims.find(m_node.options().vm);
    return it != state->claims.end() && it->second.incarnation == m_node.incarnation();
}

void Activation::noteDesired()
{
    if (m_fence == 0 || !holdsSlot()) {
        return;
    }
    const auto duty = configuration::dutyOf(*m_node.state(), m_node.options().vm);
    bool changed = false;
    {
        const std::lock_guard lock(m_mutex);
        changed = !sameDuty(duty, m_duty);
        m_duty = duty;
    }
    if (changed) {
        step(duty ? "desired" : "withdrawn");
    }
}

bool Activation::isOvertaken() const
{
    if (m_stopping || !holdsSlot()) {
        return true;
    }
    const auto duty = configuration::dutyOf(*m_node.state(), m_node.options().vm);
    const std::lock_guard lock(m_mutex);
    return !sameDuty(duty, m_duty);
}

void Activation::fetch()
{
    if (m_options.backend == BackendKind::Service) {
        m_manifest.reset();
        step("chunksVerified");
        return;
    }
    auto manifest = m_fetcher.fetch(*m_duty, [this] { return isOvertaken(); });
    if (!manifest) {
        logWarning(Part::Target, "Version can't be fetched.",
                   {{"vm", m_node.options().vm},
                    {"ticket", std::to_string(m_duty->ticket)},
                    {"reason", manifest.error().message}});
        step("failed");
        return;
    }
    {
        const std::lock_guard lock(m_holdings.mutex);
        weights::pin(m_holdings.store, *manifest);
        if (m_manifest) {
            weights::unpin(m_holdings.store, *m_manifest);
        }
    }
    m_manifest = std::move(*manifest);
    step("chunksVerified");
}

bool Activation::mayDrain() const
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_accepting) {
            return true;
        }
    }
    const auto &nodeOptions = m_node.options();
    const Millis now = steadyMillis();
    std::vector<weights::RolloutMember> members;
    m_node.withView([&](const membership::View &view) {
        for (const std::string &vm : m_duty->assignment.vms) {
            const membership::Member *member = membership::find(view, vm);
            const bool live = member != nullptr && membership::isUsable(*member, nodeOptions.view, now);
            const bool done = live && member->report.phase == "serving" && member->report.ticket == m_duty->ticket;
            members.push_back({.vm = vm, .isLive = live, .isDone = done});
        }
    });
    return weights::mayDrain(members, nodeOptions.vm, m_options.rollout);
}

void Activation::drain()
{
    while (!mayDrain()) {
        if (isOvertaken()) {
            step("failed");
            return;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    {
        const std::lock_guard lock(m_mutex);
        m_accepting = false;
    }
    if (!waitUntilIdle(m_options.drainGrace)) {
        logWarning(Part::Target, "Requests outlast the drain.", {{"running", std::to_string(running())}});
        step("failed");
        return;
    }
    step("drained");
}

Result<void> Activation::stageAndLoad(const weights::Manifest &manifest)
{
    const Digest &root = m_duty->assignment.manifest;
    for (std::size_t i = 0; i < manifest.chunks.size(); ++i) {
        weights::ChunkBytes bytes;
        {
            const std::lock_guard lock(m_holdings.mutex);
            bytes = weights::get(m_holdings.store, manifest.chunks[i]);
        }
        if (!bytes) {
            return failure(ErrorCode::NotFound, "a verified chunk was dropped");
        }
        const auto staged = m_engine.stage(root, i, *bytes);
        if (!staged) {
            return staged;
        }
    }
    return m_engine.load({.model = m_duty->assignment.model,
                          .version = m_duty->assignment.version,
                          .root = root,
                          .chunks = manifest.chunks.size(),
                          .adapters = m_duty->assignment.adapters,
                          .fence = m_fence});
}

void Activation::load()
{
    if (isOvertaken()) {
        step("failed");
        return;
    }
    if (m_options.backend == BackendKind::Service) {
        step("loaded");
        return;
    }
    const auto loaded = stageAndLoad(*m_manifest);
    if (!loaded && loaded.error().code != ErrorCode::OutcomeUnknown) {
        logWarning(Part::Target, "Engine refuses to load.", {{"reason", loaded.error().message}});
        step("failed");
        return;
    }
    step("loaded");
}

void Activation::readBack()
{
    if (m_options.backend == BackendKind::Service) {
        step("readBackAgrees");
        return;
    }
    const auto status = m_engine.status();
    if (!status || status->root != m_duty->assignment.manifest || isOvertaken()) {
        logWarning(Part::Target, "Read-back does not agree.", {{"vm", m_node.options().vm}});
        step("failed");
        return;
    }
    step("readBackAgrees");
}

void Activation::serve()
{
    m_counters.add(Counter::Activations);
    const std::lock_guard lock(m_mutex);
    m_served = m_duty;
    logInfo(Part::Target, "Version is serving.",
            {{"vm", m_node.options().vm},
             {"ticket", std::to_string(m_duty->ticket)},
             {"version", m_duty->assignment.version}});
}

void Activation::rest()
{
    m_counters.add(Counter::ActivationFailures);
    m_failedAt = steadyMillis();
}

} // namespace ibislock::target
