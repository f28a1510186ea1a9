#include "ibislock/feed/lost_records_query.h"

#include "ibislock/base/log.h"
#include "ibislock/weights/rendezvous.h"

#include <algorithm>

namespace ibislock::feed
{

LostRecordsQuery::LostRecordsQuery(
    asio::io_context &loop, LostRecordsQueryOptions options,
    std::function<void(const std::string &vm, const std::vector<peer::TopicRecord> &records)> deliver)
    : m_options(std::move(options))
    , m_deliver(std::move(deliver))
    , m_client(loop, m_options.port,
               {.onFrame = [this](const std::string &body) { handleFrame(body); },
                .onLost =
                    [this](std::string_view) {
                        finishRequest();
                    }})
    , m_responseTimer(loop)
    , m_waitTimer(loop)
{
}

void LostRecordsQuery::start(const TopicPosition &position)
{
    if (m_position) {
        return;
    }
    m_position = position;
    if (position.era == 0) {
        return;
    }
    m_waitTimer.start(m_options.maxWait, [this] {
        if (!completed()) {
            logInfo(LogComponent::Store, "No other VM was found that may have newer records than the store.",
                    {{"offset", toText(*m_position)}});
        }
        m_waitOver = true;
    });
    askNext();
}

void LostRecordsQuery::setVms(const std::vector<std::string> &vms)
{
    m_vms = weights::rendezvousOrder(m_options.ip, vms);
    std::erase(m_vms, m_options.ip);
    m_vmsKnown = true;
    askNext();
}

bool LostRecordsQuery::wantsRelay() const
{
    return !m_vmsKnown && !(m_position && m_position->era == 0);
}

bool LostRecordsQuery::completed() const
{
    return m_position && (m_position->era == 0 || m_waitOver || (m_vmsKnown && !m_asking));
}

void LostRecordsQuery::askNext()
{
    if (!m_position || m_position->era == 0 || m_asking || m_responses == MaxVmsAskedForLostRecords) {
        return;
    }
    const auto it =
        std::find_if(m_vms.begin(), m_vms.end(), [this](const std::string &vm) { return !m_asked.contains(vm); });
    if (it == m_vms.end()) {
        return;
    }
    m_asking = true;
    m_asked.insert(*it);
    m_client.send(*it, encode(peer::RecordsRequest{.sequence = ++m_sequence, .from = *m_position}));
    awaitResponse(m_options.responseTime);
}

void LostRecordsQuery::awaitResponse(Millis time)
{
    m_responseTimer.start(time, [this] {
        const Millis silence = steadyMillis() - m_client.lastReceivedAt();
        if (silence < m_options.responseTime) {
            awaitResponse(m_options.responseTime - silence); // The response is arriving.
        } else {
            finishRequest();
        }
    });
}

void LostRecordsQuery::handleFrame(const std::string &body)
{
    const auto message = peer::decodeRecords(body);
    const auto *update = message ? std::get_if<peer::RecordsUpdate>(&*message) : nullptr;
    if (!m_asking || !update || update->sequence != m_sequence) {
        finishRequest();
        return;
    }
    ++m_responses;
    if (!update->records.empty()) {
        m_deliver(m_client.vm(), update->records);
    }
    finishRequest();
}

void LostRecordsQuery::finishRequest()
{
    m_responseTimer.cancel();
    m_client.close();
    m_asking = false;
    askNext();
}

} // namespace ibislock::feed
