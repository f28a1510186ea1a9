// An entry daemon with stand-ins for the platform, and ways to talk to it.

#pragma once

#include "ibislock/entry/daemon.h"
#include "ibislock/standins/log_stand_in.h"
#include "ibislock/standins/vm_list_stand_in.h"

#include <gtest/gtest.h>
#include <httplib.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace ibislock::entry
{

inline constexpr const char *CallerKey = "key-of-a-caller-in-tests";
inline constexpr const char *ViewKey = "key-of-a-viewer-in-tests";
inline constexpr const char *FileKey = "key-of-a-filer-in-tests";
inline constexpr Millis Patience{20000};

/// Sends bytes as they are and gives all that comes back until the connection is closed.
std::string exchangeRaw(std::uint16_t port, const std::string &bytes);

/// Gives the status of a raw answer, or zero.
int statusOf(const std::string &rawAnswer);

/// Builds a ticket for one VM.
std::string ticketText(std::uint64_t number, const std::string &version = "1");

class EntryTest : public testing::Test
{
protected:
    EntryTest();

    /// Starts the daemon; options may be changed before.
    void start();

    std::unique_ptr<httplib::Client> administration(const std::string &key);
    nlohmann::json get(const std::string &path, int status = 200);

    standins::LogStandIn m_log{1};
    standins::VmListStandIn m_list{2};
    EntryOptions m_options;
    std::optional<Daemon> m_daemon;
};

} // namespace ibislock::entry
