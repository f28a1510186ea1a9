// The fixture of the target daemon's tests: several target VMs, each with a stand-in for its engine, over stand-ins for
// the store and the origin.

#pragma once

#include "ibislock/net/connection.h"
#include "ibislock/side/daemon.h"
#include "platform/engine_stand_in.h"
#include "platform/store_stand_in.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace ibislock::side
{

/// Settings that all VMs of a test share.
struct VmLimits
{
    double linkMbps = 1000;
    Millis versionTime{2500}; ///< Short, so that the rollout schedule is soon over.
    double originMbps = 0; ///< 0 for none in the desired state.
};

/// A target VM with an engine and a daemon, at its own loopback address.
struct Vm
{
    Vm(asio::io_context &loop, int number, std::uint16_t peerPort, std::uint16_t storePort, const VmLimits &limits)
        : ip("127.0.1." + std::to_string(number))
        , domain(number % 2 == 0 ? "a" : "b")
        , engine(loop, ip, 0)
    {
        settings.vmName = "target-" + std::to_string(number);
        settings.ip = ip;
        settings.domain = domain;
        settings.firstPeerPort = peerPort;
        settings.store = {.ip = "127.0.0.1", .port = storePort};
        settings.engine = {.ip = ip, .port = engine.port()};
        settings.service = "s";
        settings.linkMbps = limits.linkMbps;
        settings.bounds.versionGracePeriod = limits.versionTime;
        daemon = std::make_unique<SideDaemon>(loop, settings, SideOptions{.startsWithOthers = false});
    }

    std::string listing() const
    {
        nlohmann::json models = nlohmann::json::array();
        if (engine.version > 0) {
            models.push_back({{"Name", "m"}, {"Version", engine.version}});
        }
        return nlohmann::json{{"Service", "s"},  {"Address", ip + ":" + std::to_string(engine.port())},
                              {"Zone", domain},  {"Version", "v1"},
                              {"Slots", 16},     {"State", "ready"},
                              {"ColdLeftMs", 0}, {"Sequence", 1},
                              {"Models", models}}
            .dump();
    }

    std::string ip;
    std::string domain;
    lab::EngineStandIn engine;
    platform::DaemonSettings settings;
    std::unique_ptr<SideDaemon> daemon;
};

/// Several target VMs with a store and an origin.
class SideTest : public testing::Test
{
protected:
    SideTest()
        : m_origin(m_loop, "127.0.1.200")
    {
        // All VMs use one port, which was free a moment ago.
        net::Listener probe(m_loop, [](const std::shared_ptr<net::Connection> &) {});
        EXPECT_FALSE(probe.open("127.0.1.1", 0));
        m_peerPort = probe.port();
    }

    Vm &add(std::int64_t loaded)
    {
        m_vms.push_back(
            std::make_unique<Vm>(m_loop, static_cast<int>(m_vms.size()) + 1, m_peerPort, m_store.port(), m_limits));
        Vm &vm = *m_vms.back();
        vm.engine.version = loaded;
        if (loaded > 0) {
            const lab::WeightsStandIn weights{.version = loaded};
            for (int piece = 0; piece < weights.pieces; ++piece) {
                vm.engine.staged[piece] = pieceBytes(weights, piece);
            }
        }
        m_store.append("i-" + vm.ip, vm.listing());
        return vm;
    }

    void start()
    {
        m_store.append("config",
                       R"({"Version":1,"Services":[{"Name":"s","Engine":{"Slots":16,"step_ms":9.0,)"
                       R"("read_per_s":20700.0,"Chunks":8,"ChunkBytes":64,"Models":[{"Name":"m"}]}},)"
                       R"({"Name":"o","Zone":"a","Origin":")"
                           + m_origin.address() + "\""
                           + (m_limits.originMbps > 0 ? ",\"LinkMbps\":" + std::to_string(m_limits.originMbps) : "")
                           + "}]}");
        for (const auto &vm : m_vms) {
            ASSERT_TRUE(vm->daemon->start());
        }
    }

    void name(std::int64_t version)
    {
        m_origin.weights.version = version;
        m_store.append("version/m", R"({"Model":"m","Version":)" + std::to_string(version) + "}");
    }

    bool runUntilLoaded(std::int64_t version)
    {
        const Millis end = steadyMillis() + Millis{15000};
        const auto done = [&] {
            return std::all_of(m_vms.begin(), m_vms.end(),
                               [&](const auto &vm) { return vm->engine.version == version; });
        };
        while (!done() && steadyMillis() < end) {
            m_loop.run_one_for(std::chrono::milliseconds(20));
        }
        return done();
    }

    void expectNothingSpoilt() const
    {
        for (const auto &vm : m_vms) {
            EXPECT_FALSE(vm->engine.loadedSpoilt) << vm->ip;
        }
    }

    asio::io_context m_loop;
    lab::StoreStandIn m_store{m_loop};
    lab::OriginStandIn m_origin;
    std::uint16_t m_peerPort = 0;
    VmLimits m_limits;
    std::vector<std::unique_ptr<Vm>> m_vms;
};

} // namespace ibislock::side
