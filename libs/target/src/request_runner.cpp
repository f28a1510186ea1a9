#include "request_runner.h"

#include "request_answers.h"

#include "ibislock/base/log.h"

#include <asio/post.hpp>

namespace ibislock::target
{

namespace
{

using requests::KeyDecision;
using requests::Outcome;
using requests::QueuedRequest;
using requests::Refusal;
using requests::Request;
using requests::ResponseEnd;

constexpr Millis TickInterval{50};
constexpr Millis EngineLoadInterval{100};
/// How long after its deadline a started request is remembered; longer than entry processes trust a withdrawal.
constexpr Millis StartedLifetime{60000};
constexpr std::size_t RevokedMax = 65536;
constexpr std::uint32_t QueuePerSlot = 2;

} // namespace

RequestRunner::RequestRunner(const TargetOptions &options, node::Node &node, Activation &activation, Counters &counters)
    : m_options(options)
    , m_node(node)
    , m_activation(activation)
    , m_counters(counters)
    , m_wallAtStart(wallMillis())
    , m_steadyAtStart(steadyMillis())
    , m_limit(requests::makeLimit({.max = options.concurrency}))
    , m_statusClient(options.engine)
    , m_workers(options.concurrency)
    , m_scheduler(2)
{
    if (options.backend == BackendKind::Service) {
        m_limit = requests::makeLimit({.initial = options.concurrency, .max = options.concurrency});
    }
    m_queue.options = {.capacity = QueuePerSlot * m_limit.value, .weights = options.shares};
    m_keys.options.vm = options.node.vm;
    m_keys.options.incarnation = node.incarnation();
}

RequestRunner::~RequestRunner()
{
    stop();
}

void RequestRunner::start()
{
    m_scheduler.every(TickInterval, [this] { tick(); });
    if (m_options.backend == BackendKind::Engine) {
        m_scheduler.every(EngineLoadInterval, [this] { observeEngine(); });
    }
}

void RequestRunner::accept(Request request, std::shared_ptr<rpc::AnswerWriter> writer)
{
    m_counters.add(Counter::RequestsReceived);
    const bool listedAsLeaving = isListedAsLeaving();
    std::vector<Ended> ended;
    {
        const std::lock_guard lock(m_mutex);
        m_leaving = m_leaving || listedAsLeaving;
        enqueue(std::move(request), std::move(writer), ended);
        startNext(ended);
    }
    write(ended);
}

void RequestRunner::enqueue(Request request, std::shared_ptr<rpc::AnswerWriter> writer, std::vector<Ended> &ended)
{
    if (endByKey(request, writer, ended)) {
        return;
    }
    const auto refuse = [&](Refusal refusal, const std::string &message) {
        requests::markRefused(m_keys, request.workspace, request.idempotencyKey);
        ended.push_back({writer, refusalFor(request, refusal, message, m_options.retryAfter)});
    };
    if (m_revoked.contains(request.id)) {
        refuse(Refusal::Withdrawn, "the request was withdrawn");
        return;
    }
    if (m_leaving) {
        refuse(Refusal::Draining, "the target is leaving");
        return;
    }
    const auto admitted = m_activation.admit(request);
    if (!admitted) {
        const bool busy = admitted.error().code == ErrorCode::Exhausted;
        refuse(busy ? Refusal::Busy : Refusal::NotServing, admitted.error().message);
        return;
    }
    const std::uint64_t ticket = ++m_lastTicket;
    const Millis now = steadyMillis();
    const QueuedRequest queued{.id = ticket,
                               .workspace = request.workspace,
                               .priority = request.priority,
                               .cost = request.cost,
                               .expiresAt = now + std::min(request.timeLeft, m_options.queueTimeout)};
    m_ticketOf[request.id] = ticket;
    const Millis deadline = now + request.timeLeft;
    m_waiting[ticket] = {.request = std::move(request), .writer = std::move(writer), .deadline = deadline};
    if (const auto shed = requests::push(m_queue, queued)) {
        refuseWaiting(shed->id, Refusal::Busy, "the target's queue is full", ended);
    }
}

bool RequestRunner::endByKey(const Request &request, const std::shared_ptr<rpc::AnswerWriter> &writer,
                             std::vector<Ended> &ended)
{
    if (request.idempotencyKey.empty()) {
        return false;
    }
    const auto verdict = requests::beginCall(m_keys, request.workspace, request.idempotencyKey, registerTime());
    if (verdict.decision == KeyDecision::Run) {
        return false;
    }
    if (verdict.decision == KeyDecision::Refuse) {
        ended.push_back({writer, refusalFor(request, verdict.refusal, verdict.message, m_options.retryAfter)});
        return true;
    }
    ResponseEnd end = endFor(request, Outcome::Unknown, verdict.message);
    if (verdict.decision == KeyDecision::Unknown) {
        ended.push_back({writer, std::move(end)});
        return true;
    }
    end.outcome = Outcome::Answered;
    end.status = verdict.entry->end.status;
    end.contentType = verdict.entry->end.contentType;
    ended.push_back({writer, std::move(end), *verdict.entry->response});
    return true;
}

void RequestRunner::refuseWaiting(std::uint64_t ticket, Refusal refusal, const char *message, std::vector<Ended> &ended)
{
    const auto it = m_waiting.find(ticket);
    Waiting waiting = std::move(it->second);
    m_waiting.erase(it);
    m_ticketOf.erase(waiting.request.id);
    requests::markRefused(m_keys, waiting.request.workspace, waiting.request.idempotencyKey);
    m_activation.release();
    ended.push_back({std::move(waiting.writer), refusalFor(waiting.request, refusal, message, m_options.retryAfter)});
}

void RequestRunner::startNext(std::vector<Ended> &ended)
{
    while (m_inFlight < m_limit.value) {
        const auto next = requests::pop(m_queue);
        if (!next) {
            return;
        }
        const Millis now = steadyMillis();
        const auto it = m_waiting.find(next->id);
        if (next->expiresAt <= now) {
            refuseWaiting(next->id, Refusal::Expired, "the time allowed ran out in the queue", ended);
            continue;
        }
        if (it->second.writer->isCancelled()) {
            refuseWaiting(next->id, Refusal::Withdrawn, "the caller has gone", ended);
            continue;
        }
        Waiting waiting = std::move(it->second);
        m_waiting.erase(it);
        m_ticketOf.erase(waiting.request.id);
        waiting.request.timeLeft = waiting.deadline - now;
        ++m_inFlight;
        m_started[waiting.request.id] = waiting.deadline + StartedLifetime;
        asio::post(m_workers, [this, waiting = std::move(waiting)] { run(waiting); });
    }
}

void RequestRunner::run(const Waiting &waiting)
{
    const Request &request = waiting.request;
    const bool isService = m_options.backend == BackendKind::Service;
    auto client = takeClient();
    std::string kept;
    const auto onPart = [&](std::string_view data) {
        if (!request.idempotencyKey.empty() && kept.size() <= m_keys.options.responseBytesMax) {
            kept.append(data);
        }
        // A call that must not be repeated goes on when its caller has gone, so that its answer can be kept.
        return waiting.writer->part(data) || !request.idempotent;
    };
    const auto answer = isService ? client->forward(request, onPart) : client->run(request, onPart);
    if (waiting.writer->isCancelled() && !isService) {
        client->cancel(request.id);
    }
    giveBack(std::move(client));
    m_counters.add(Counter::AnswersDropped, answer.isForeign ? 1 : 0);
    const ResponseEnd end = judge(request, answer);
    logDebug(LogComponent::Requests, "Engine has ended a request.",
             {{"request", hexOf(request.id)},
              {"workspace", request.workspace},
              {"outcome", std::string(nameOf(requests::OutcomeNames, end.outcome))},
              {"message", end.message}});
    std::vector<Ended> ended;
    {
        const std::lock_guard lock(m_mutex);
        noteEnd(request, end, std::move(kept));
        --m_inFlight;
        startNext(ended);
    }
    m_counters.add(end.outcome == Outcome::Answered ? Counter::RequestsAnswered : Counter::RequestsFailed);
    waiting.writer->finish(end);
    m_activation.release();
    write(ended);
}

void RequestRunner::noteEnd(const Request &request, const ResponseEnd &end, std::string body)
{
    if (end.outcome == Outcome::RefusedNotRun) {
        requests::markRefused(m_keys, request.workspace, request.idempotencyKey);
    } else {
        requests::finishCall(m_keys, request.workspace, request.idempotencyKey, end, std::move(body));
    }
}

bool RequestRunner::revoke(const std::string &id, std::uint64_t incarnation)
{
    if (incarnation != m_node.incarnation()) {
        return false;
    }
    std::vector<Ended> ended;
    bool notRun = false;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_ticketOf.find(id);
        if (it != m_ticketOf.end()) {
            const std::uint64_t ticket = it->second;
            requests::remove(m_queue, ticket);
            refuseWaiting(ticket, Refusal::Withdrawn, "the request was withdrawn", ended);
        }
        notRun = !m_started.contains(id);
        if (notRun) {
            noteRevoked(id);
        }
    }
    write(ended);
    return notRun;
}

void RequestRunner::noteRevoked(const std::string &id)
{
    if (!m_revoked.insert(id).second) {
        return;
    }
    m_revokedByAge.push_back(id);
    if (m_revokedByAge.size() > RevokedMax) {
        m_revoked.erase(m_revokedByAge.front());
        m_revokedByAge.pop_front();
    }
}

void RequestRunner::leave()
{
    std::vector<Ended> ended;
    {
        const std::lock_guard lock(m_mutex);
        m_leaving = true;
        for (const QueuedRequest &queued : requests::takeAll(m_queue)) {
            refuseWaiting(queued.id, Refusal::Draining, "the target is leaving", ended);
        }
    }
    write(ended);
}

std::uint32_t RequestRunner::drain(Millis timeout)
{
    return m_activation.waitUntilIdle(timeout) ? 0 : m_activation.running();
}

void RequestRunner::stop()
{
    m_scheduler.stop();
    {
        const std::lock_guard lock(m_clientsMutex);
        for (engine::EngineClient *client : m_activeClients) {
            client->abort();
        }
    }
    m_workers.join();
}

std::uint32_t RequestRunner::queued() const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::uint32_t>(m_queue.size);
}

void RequestRunner::tick()
{
    std::vector<Ended> ended;
    const bool leaving = isListedAsLeaving();
    {
        const std::lock_guard lock(m_mutex);
        m_leaving = m_leaving || leaving;
        const Millis now = steadyMillis();
        for (const QueuedRequest &queued : requests::takeExpired(m_queue, now)) {
            refuseWaiting(queued.id, Refusal::Expired, "the time allowed ran out in the queue", ended);
        }
        std::erase_if(m_started, [now](const auto &it) { return it.second <= now; });
        startNext(ended);
    }
    write(ended);
}

void RequestRunner::observeEngine()
{
    const auto status = m_statusClient.status();
    if (!status) {
        return;
    }
    std::vector<Ended> ended;
    {
        const std::lock_guard lock(m_mutex);
        requests::adjust(m_limit, {.inFlight = m_inFlight, .running = status->running, .queued = status->queued});
        m_queue.options.capacity = QueuePerSlot * m_limit.value;
        startNext(ended);
    }
    write(ended);
}

void RequestRunner::write(std::vector<Ended> &ended)
{
    for (Ended &it : ended) {
        if (it.end.outcome == Outcome::RefusedNotRun) {
            m_counters.add(Counter::RequestsRefused);
        }
        if (it.body.empty()) {
            it.writer->finish(std::move(it.end));
            continue;
        }
        // Parts can't be written from the event loop.
        asio::post(m_workers, [it = std::move(it)] {
            it.writer->part(it.body);
            it.writer->finish(it.end);
        });
    }
    ended.clear();
}

bool RequestRunner::isListedAsLeaving() const
{
    return m_node.withView([this](const membership::View &view) {
        const membership::Member *own = membership::find(view, m_node.options().vm);
        return own != nullptr && own->isListed && own->listed.leaving;
    });
}

Millis RequestRunner::registerTime() const
{
    return m_wallAtStart + (steadyMillis() - m_steadyAtStart);
}

std::unique_ptr<engine::EngineClient> RequestRunner::takeClient()
{
    const std::lock_guard lock(m_clientsMutex);
    if (m_clients.empty()) {
        m_clients.push_back(std::make_unique<engine::EngineClient>(m_options.engine));
    }
    auto client = std::move(m_clients.back());
    m_clients.pop_back();
    m_activeClients.insert(client.get());
    return client;
}

void RequestRunner::giveBack(std::unique_ptr<engine::EngineClient> client)
{
    const std::lock_guard lock(m_clientsMutex);
    m_activeClients.erase(client.get());
    m_clients.push_back(std::move(client));
}

} // namespace ibislock::target
