#include "experiments/config_pause.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace ibislock::lab
{

namespace
{

constexpr Millis StartTimeout{10000};
constexpr Millis PollInterval{20};
constexpr int StatusTimeoutSeconds = 1;

std::string makeDirectory()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "ibislock-lab-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("can't make a directory for settings");
    }
    return pattern;
}

} // namespace

PausableEntry::PausableEntry(const std::string &binary, Deployment &deployment)
    : m_directory(makeDirectory())
{
    const auto rpcPort = freePort();
    const auto administrationPort = freePort();
    m_administrationUrl = "http://127.0.0.1:" + std::to_string(administrationPort);
    const std::string settings = m_directory + "/entry.ini";
    std::ofstream(settings) << "[process]\nkind = entry\n[vm]\nname = " << m_vm
                            << "\nfailure_domain = " << domainName(0)
                            << "\n[tls]\nmode = plaintext\n[rpc]\nport = " << rpcPort
                            << "\n[platform]\nlog_url = " << deployment.logUrlOf(0)
                            << "\nvm_list_url = " << deployment.vmList().url() << "\n[callers]\nport = " << freePort()
                            << "\n[administration]\nport = " << administrationPort
                            << "\n[workspaces]\nlab = " << CallerCredential
                            << "\n[operators]\nlab-operator = " << OperatorCredential
                            << "\n[operator_roles]\nlab-operator = file\n";
    deployment.vmList().set(
        m_vm, {.domain = domainName(0), .address = "127.0.0.1:" + std::to_string(rpcPort), .kind = "entry"});
    m_process.emplace(std::vector<std::string>{binary, "entry", "--settings", settings}, m_directory + "/entry.log");
    const Millis deadline = steadyMillis() + StartTimeout;
    while (!lastTicket() && steadyMillis() < deadline) {
        std::this_thread::sleep_for(PollInterval);
    }
    if (!lastTicket()) {
        throw std::runtime_error("the product's program does not start: " + binary);
    }
}

PausableEntry::~PausableEntry()
{
    resume();
    m_process->stop();
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
}

void PausableEntry::pause()
{
    m_paused = true;
    m_process->signal(SIGSTOP);
}

void PausableEntry::resume()
{
    m_process->signal(SIGCONT);
    m_paused = false;
}

bool PausableEntry::isPaused() const
{
    return m_paused;
}

std::optional<std::uint64_t> PausableEntry::lastTicket() const
{
    httplib::Client client(m_administrationUrl);
    client.set_bearer_token_auth(OperatorCredential);
    client.set_connection_timeout(StatusTimeoutSeconds);
    client.set_read_timeout(StatusTimeoutSeconds);
    const auto result = client.Get("/v1/status");
    if (!result || result->status != 200) {
        return std::nullopt;
    }
    const auto body = nlohmann::json::parse(result->body, nullptr, false);
    if (!body.is_object() || !body.contains("last_ticket")) {
        return std::nullopt;
    }
    return body["last_ticket"].get<std::uint64_t>();
}

const std::string &PausableEntry::vm() const
{
    return m_vm;
}

const std::string &PausableEntry::administrationUrl() const
{
    return m_administrationUrl;
}

} // namespace ibislock::lab
