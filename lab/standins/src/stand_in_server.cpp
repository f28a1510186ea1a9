#include "ibislock/standins/stand_in_server.h"

namespace ibislock::standins
{

StandInServer::StandInServer(unsigned threads, std::uint64_t seed)
    : m_random(seed)
{
    m_server.new_task_queue = [threads] {
        return new httplib::ThreadPool(threads);
    };
    m_server.set_keep_alive_max_count(1000000);
    m_server.set_tcp_nodelay(true);
    m_server.set_payload_max_length(64ULL << 20);
}

StandInServer::~StandInServer()
{
    stop();
}

void StandInServer::get(const std::string &pattern, Handler handler)
{
    m_server.Get(pattern, guarded(std::move(handler)));
}

void StandInServer::post(const std::string &pattern, Handler handler)
{
    m_server.Post(pattern, guarded(std::move(handler)));
}

void StandInServer::put(const std::string &pattern, Handler handler)
{
    m_server.Put(pattern, guarded(std::move(handler)));
}

void StandInServer::start()
{
    m_port = static_cast<std::uint16_t>(m_server.bind_to_any_port("127.0.0.1"));
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    while (!m_server.is_running()) {
        std::this_thread::sleep_for(Millis(1));
    }
}

void StandInServer::stop()
{
    m_stopping = true;
    m_server.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

std::uint16_t StandInServer::port() const
{
    return m_port;
}

std::string StandInServer::url() const
{
    return "http://127.0.0.1:" + std::to_string(m_port);
}

Faults &StandInServer::faults()
{
    return m_faults;
}

bool StandInServer::isStopping() const
{
    return m_stopping;
}

bool StandInServer::happens(double probability)
{
    if (probability <= 0) {
        return false;
    }
    const std::lock_guard lock(m_mutex);
    return std::bernoulli_distribution(std::min(probability, 1.0))(m_random);
}

StandInServer::Handler StandInServer::guarded(Handler handler)
{
    return [this, handler = std::move(handler)](const httplib::Request &request, httplib::Response &response) {
        if (m_faults.outage) {
            response.status = 503;
            return;
        }
        std::this_thread::sleep_for(Millis(m_faults.delayMs.load()));
        handler(request, response);
        if (happens(m_faults.lostAnswers)) {
            // The call has taken effect; the caller only sees the connection break.
            response = httplib::Response();
            response.status = 200;
            response.set_content_provider(1, "text/plain",
                                          [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
        }
    };
}

} // namespace ibislock::standins
