#include "activation.h"

#include "ibislock/base/log.h"

#include <algorithm>

namespace ibislock::target
{

namespace
{

using configuration::VmAssignment;

constexpr Millis PollInterval{50};
/// Requests that may be admitted for each that may run; the rest wait in the runner's queue.
constexpr std::uint32_t AdmittedPerSlot = 3;
constexpr unsigned RetryDoublingsMax = 5;
constexpr unsigned SilentChecksMax = 2;

bool sameDuty(const std::optional<VmAssignment> &a, const std::optional<VmAssignment> &b)
{
    if (!a || !b) {
        return a.has_value() == b.has_value();
    }
    return a->ticket == b->ticket && a->scope == b->scope && a->assignment == b->assignment;
}

/// Tells whether two duties ask the engine for the same, whatever their tickets and the other VMs are.
bool sameContent(const VmAssignment &a, const VmAssignment &b)
{
    return a.scope == b.scope && a.assignment.model == b.assignment.model
        && a.assignment.version == b.assignment.version && a.assignment.manifest == b.assignment.manifest
        && a.assignment.adapters == b.assignment.adapters;
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
    , m_stager(options.engine)
    , m_phase(m_chart.initial)
    , m_lease{.vm = node.options().vm, .incarnation = node.incarnation()}
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
    m_fetcher.stop();
    m_stager.stop();
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
        if (m_phase == "waiting" && steadyMillis() - m_failedAt >= retryPause()) {
            step("desired");
        }
        if (m_phase == "serving" && steadyMillis() - m_checkedAt >= m_options.readBackInterval) {
            checkEngine();
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
        const Transition &transition = transitionOf(m_chart, m_phase, event);
        logDebug(LogComponent::Target, "Activation moves.",
                 {{"from", m_phase}, {"event", event}, {"to", transition.next}});
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
    const auto state = m_node.state();
    if (m_lease.status != configuration::LeaseStatus::Claiming) {
        // What is known shows a loss early; only `confirmLease` proves that there is none.
        configuration::applyLogRead(m_lease, *state, m_lease.confirmedAt);
        if (m_lease.status == configuration::LeaseStatus::Lost) {
            refuseAll();
        }
        return;
    }
    if (!m_node.confirm()) {
        return;
    }
    if (const auto claim = configuration::claimToAppend(m_lease, *m_node.state())) {
        m_node.append(*claim);
    }
    confirmLease();
}

/// Reads the log to its end, and tells whether this process may give orders to the engine now.
bool Activation::confirmLease()
{
    const auto began = m_node.confirm();
    if (began) {
        configuration::applyLogRead(m_lease, *m_node.state(), *began);
    }
    return configuration::mayAct(m_lease, m_options.lease, steadyMillis());
}

bool Activation::holdsSlot() const
{
    const auto state = m_node.state();
    const auto it = state->claims.find(m_node.options().vm);
    return it != state->claims.end() && it->second.incarnation == m_node.incarnation();
}

void Activation::noteDesired()
{
    if (m_lease.status != configuration::LeaseStatus::Held || !holdsSlot()) {
        return;
    }
    const auto duty = configuration::assignmentOf(*m_node.state(), m_node.options().vm);
    bool changed = false;
    {
        const std::lock_guard lock(m_mutex);
        changed = !sameDuty(duty, m_duty);
        m_duty = duty;
        if (changed && m_phase == "serving" && duty && m_served && sameContent(*duty, *m_served)) {
            m_served = duty; // A new ticket for what is served already interrupts nothing.
            return;
        }
    }
    if (changed) {
        m_failures = 0;
        step(duty ? "desired" : "withdrawn");
    }
}

bool Activation::isOvertaken() const
{
    if (m_stopping || !holdsSlot()) {
        return true;
    }
    const auto duty = configuration::assignmentOf(*m_node.state(), m_node.options().vm);
    const std::lock_guard lock(m_mutex);
    return !sameDuty(duty, m_duty);
}

void Activation::fetch()
{
    m_adopted = false;
    if (m_options.backend == BackendKind::Service) {
        m_manifest.reset();
        step("chunksVerified");
        return;
    }
    const Digest &root = m_duty->assignment.manifest;
    if (m_mayAdopt && engineServes(root)) {
        m_adopted = true;
        step("chunksVerified");
        return;
    }
    m_stager.begin(root);
    auto manifest = m_fetcher.fetch(
        *m_duty, [this] { return isOvertaken(); },
        [this](std::size_t index, const weights::ChunkBytes &bytes) { m_stager.add(index, bytes); });
    if (!manifest) {
        logWarning(LogComponent::Target, "Version can't be fetched.",
                   {{"vm", m_node.options().vm},
                    {"ticket", std::to_string(m_duty->ticket)},
                    {"reason", manifest.error().message}});
        m_counters.add(Counter::VersionsRefused, manifest.error().code == ErrorCode::Corrupt ? 1 : 0);
        step("failed");
        return;
    }
    m_manifest = std::move(*manifest);
    step("chunksVerified");
}

bool Activation::engineServes(const Digest &root)
{
    const auto status = m_engine.status();
    return status && status->root == root;
}

bool Activation::isStuck(const membership::Report &report, Millis now)
{
    const std::string state = report.phase + "/" + std::to_string(report.ticket);
    auto &seen = m_seenStates[report.vm];
    if (seen.state != state) {
        seen = {.state = state, .since = now};
    }
    return now - seen.since >= m_options.rollout.stallTimeout;
}

bool Activation::mayDrain()
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
            members.push_back({.vm = vm,
                               .isLive = live,
                               .isUpdated = done,
                               .isServing = live && member->report.phase == "serving",
                               .isStalled = live && isStuck(member->report, now)});
        }
    });
    return weights::mayDrain(members, nodeOptions.vm, m_options.rollout);
}

void Activation::drain()
{
    m_seenStates.clear();
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
        logWarning(LogComponent::Target, "Requests outlast the drain.", {{"running", std::to_string(running())}});
        step("failed");
        return;
    }
    step("drained");
}

Result<void> Activation::stageAndLoad()
{
    engine::LoadOrder order{.model = m_duty->assignment.model,
                            .version = m_duty->assignment.version,
                            .root = m_duty->assignment.manifest,
                            .adapters = m_duty->assignment.adapters,
                            .fence = m_lease.fencingToken + 1};
    if (m_adopted) {
        // The engine has the version already. The order only makes this process's fencing number known.
        return m_engine.load(order);
    }
    const auto staged = m_stager.finish(*m_manifest, m_holdings);
    if (!staged) {
        return staged;
    }
    order.chunks = m_manifest->chunks.size();
    return m_engine.load(order);
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
    // A process that was paused finds out here that another one holds the slot.
    if (!confirmLease()) {
        logWarning(LogComponent::Target, "Slot is not confirmed by the log.", {{"vm", m_node.options().vm}});
        step("failed");
        return;
    }
    const auto loaded = stageAndLoad();
    m_mayAdopt = false;
    // An engine that was not reached keeps what was staged; to stage it all again would only add to its load.
    if (loaded || loaded.error().code != ErrorCode::Unavailable) {
        m_stager.reset();
    }
    if (!loaded && loaded.error().code != ErrorCode::OutcomeUnknown) {
        logWarning(LogComponent::Target, "Engine refuses to load.", {{"reason", loaded.error().message}});
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
        logWarning(LogComponent::Target, "Read-back does not agree.", {{"vm", m_node.options().vm}});
        step("failed");
        return;
    }
    step("readBackAgrees");
}

Millis Activation::retryPause() const
{
    return m_options.retryInterval * (1U << std::min(m_failures, RetryDoublingsMax));
}

void Activation::checkEngine()
{
    m_checkedAt = steadyMillis();
    if (m_options.backend == BackendKind::Service) {
        return;
    }
    const auto status = m_engine.status();
    if (status && status->root == m_duty->assignment.manifest) {
        m_silentChecks = 0;
        return;
    }
    if (!status && ++m_silentChecks < SilentChecksMax) {
        return;
    }
    logWarning(LogComponent::Target, status ? "Engine serves other weights." : "Engine does not answer.",
               {{"vm", m_node.options().vm}});
    m_silentChecks = 0;
    {
        const std::lock_guard lock(m_mutex);
        m_accepting = false;
    }
    step("failed");
}

void Activation::serve()
{
    m_counters.add(Counter::Activations);
    const std::lock_guard lock(m_mutex);
    m_served = m_duty;
    m_failures = 0;
    m_mayAdopt = true;
    m_checkedAt = steadyMillis();
    logInfo(LogComponent::Target, "Version is serving.",
            {{"vm", m_node.options().vm},
             {"ticket", std::to_string(m_duty->ticket)},
             {"version", m_duty->assignment.version}});
}

void Activation::rest()
{
    m_counters.add(Counter::ActivationFailures);
    ++m_failures;
    m_failedAt = steadyMillis();
}

} // namespace ibislock::target
