#include "ibislock/front/daemon.h"

#include "front.h"

namespace ibislock::front
{

FrontDaemon::FrontDaemon(asio::io_context &loop, platform::DaemonSettings settings, FrontOptions options)
    : m_front(std::make_unique<Front>(loop, std::move(settings), options))
{
}

FrontDaemon::~FrontDaemon() = default;

Result<void> FrontDaemon::start()
{
    return m_front->start();
}

void FrontDaemon::stop()
{
    m_front->stop();
}

std::uint16_t FrontDaemon::callerPort() const
{
    return m_front->callerPort();
}

} // namespace ibislock::front
