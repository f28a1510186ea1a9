// The fixture of the tests of the operators' follower: VMs of a domain over stand-ins for the store.

#pragma once

#include "ibislock/feed/operators_follower.h"
#include "ibislock/feed/source_order.h"
#include "ibislock/platform/listings.h"
#include "platform/store_stand_in.h"

#include <gtest/gtest.h>

namespace ibislock::feed
{

inline constexpr Millis StateTime{2000};

/// A VM that follows the topic, at a loopback address of its own.
struct Vm
{
    Vm(asio::io_context &loop, const std::string &ip, std::uint16_t port, std::uint16_t storePort, bool entryVm,
       Millis stateTime)
        : client(loop)
        , follower(loop, client, {.ip = "127.0.0.1", .port = storePort},
                   {.ip = ip, .port = port, .isEntryVm = entryVm, .stateTime = stateTime},
                   {.onSnapshot =
                        [this](const std::vector<platform::KeyedRecord> &records) {
                            for (const platform::KeyedRecord &record : records) {
                                values[record.key] = record.value.value_or("");
                            }
                        },
                    .onRecord =
                        [this](const platform::KeyedRecord &record) {
                            EXPECT_GT(record.position, lastPosition) << "delivered twice, or out of order";
                            lastPosition = record.position;
                            values[record.key] = record.value.value_or("");
                        },
                    .onStoreOutage = [](bool) {},
                    .onWatermark =
                        [this](Millis asOf) {
                            reportedAsOf[follower.feed().position()] = asOf;
                        }})
    {
        follower.setPassive(true);
    }

    net::HttpClient client;
    std::map<std::string, std::string> values;
    TopicPosition lastPosition;
    std::map<TopicPosition, Millis> reportedAsOf; ///< What it reports to others: when the topic ended at a position.
    OperatorsFollower follower;
};

/// Entry VMs of a domain that all know each other.
class OperatorsFollowerTest : public testing::Test
{
protected:
    ~OperatorsFollowerTest() override
    {
        for (const auto &connection : m_listenerConnections) {
            connection->close();
        }
    }

    OperatorsFollowerTest()
    {
        net::Listener probe(m_loop, [](const std::shared_ptr<net::Connection> &) {});
        EXPECT_FALSE(probe.open("127.0.4.1", 0));
        m_port = probe.port();
        probe.close();
        for (int n = 1; n <= EntryVms; ++n) {
            m_ips.push_back("127.0.4." + std::to_string(n));
        }
        for (const std::string &ip : m_ips) {
            if (sourcesInTree(ip, m_ips).empty()) {
                m_root = ip;
            }
        }
    }

    Vm &add(const std::string &ip, lab::StoreStandIn &store, bool entryVm = true)
    {
        Vm &vm = *(m_vms[ip] = std::make_unique<Vm>(m_loop, ip, m_port, store.port(), entryVm, m_stateTime));
        EXPECT_FALSE(vm.follower.start());
        vm.follower.setEntryVms(m_ips);
        return vm;
    }

    void addAll()
    {
        append("config", "1");
        for (const std::string &ip : m_ips) {
            add(ip, m_store);
        }
        ASSERT_TRUE(runUntil([&] { return allHave("1"); }));
    }

    /// Replaces the VM that reads the store for the others by a plain listener.
    /// @param onData is called when the listener receives data.
    void replaceRoot(const std::function<void(net::Connection &)> &onData)
    {
        replaceRootWith([onData](net::Connection &connection, std::string_view) { onData(connection); });
    }

    /// Does so with what the listener receives.
    void replaceRootWith(const std::function<void(net::Connection &, std::string_view)> &onData)
    {
        m_vms.erase(m_root);
        m_loop.run_for(Millis{20}); // The other VMs notice that their connections are closed.
        m_listener =
            std::make_unique<net::Listener>(m_loop, [this, onData](const std::shared_ptr<net::Connection> &connection) {
                connection->start(
                    {.data = [raw = connection.get(), onData](std::string_view bytes) { onData(*raw, bytes); },
                     .closed =
                         [](net::CloseReason) {
                         }});
                m_listenerConnections.push_back(connection);
            });
        ASSERT_FALSE(m_listener->open(m_root, m_port));
    }

    /// Replaces the VM that reads the store for the others by a listener that responds to each request at once.
    void replaceRoot(const std::function<peer::RecordsUpdate(const peer::RecordsRequest &)> &respond)
    {
        replaceRootWith([respond, reader = std::make_shared<peer::FrameReader>()](net::Connection &connection,
                                                                                  std::string_view bytes) {
            reader->add(bytes);
            for (auto body = reader->next(); body; body = reader->next()) {
                const auto message = peer::decodeRecords(*body);
                ASSERT_TRUE(message);
                connection.write(encode(respond(std::get<peer::RecordsRequest>(*message))));
            }
        });
    }

    /// Returns an entry VM that asks nobody but the root.
    std::string childOfRoot() const
    {
        return *std::find_if(m_ips.begin(), m_ips.end(), [this](const std::string &ip) {
            return sourcesInTree(ip, m_ips) == std::vector<std::string>{m_root};
        });
    }

    /// Returns the update of a VM that knows the first records of the key "config", of values 1, 2 and so on.
    static peer::RecordsUpdate updateUpTo(std::int64_t end, const peer::RecordsRequest &request)
    {
        peer::RecordsUpdate out{.sequence = request.sequence, .end = {.era = 0, .offset = end}, .records = {}};
        if (out.end > request.from) {
            out.records.push_back({.key = "config", .value = std::to_string(end), .position = advancedBy(out.end, -1)});
        }
        return out;
    }

    /// Writes to both stores.
    void append(const std::string &key, const std::string &value)
    {
        m_store.append(key, value);
        m_otherStore.append(key, value);
        ++m_end;
    }

    /// Reports the end of the topic to all VMs, as loads do.
    void reportWatermarks()
    {
        for (const auto &[ip, vm] : m_vms) {
            const TopicPosition end{.era = m_era, .offset = m_end};
            vm->follower.applyWatermark({.end = end, .asOf = bootMillis()}, end);
        }
    }

    /// Reports the end of the topic again and again, until all VMs have a value.
    /// @return whether they have it in time.
    bool reportUntilAllHave(const std::string &value, Millis most)
    {
        for (const Millis end = steadyMillis() + most; !allHave(value) && steadyMillis() < end;) {
            reportWatermarks();
            m_loop.run_for(Millis{50});
        }
        return allHave(value);
    }

    /// Validates the state of all VMs until the store holds no read of any.
    void letReadsEnd()
    {
        for (const Millis end = steadyMillis() + m_stateTime; steadyMillis() < end;) {
            reportWatermarks();
            m_loop.run_for(Millis{100});
        }
    }

    /// Returns how often the store has sent a desired state.
    int copiesSent()
    {
        return m_store.recordsSent[{std::string(platform::OperatorsTopic), "config"}];
    }

    bool allHave(const std::string &value) const
    {
        return std::all_of(m_vms.begin(), m_vms.end(), [&](const auto &item) {
            const auto it = item.second->values.find("config");
            return it != item.second->values.end() && it->second == value;
        });
    }

    bool runUntil(const std::function<bool()> &holds, Millis most = Millis{5000})
    {
        const Millis end = steadyMillis() + most;
        while (!holds() && steadyMillis() < end) {
            m_loop.run_one_for(std::chrono::milliseconds(20));
        }
        return holds();
    }

    /// Lets one VM go on with two sources, which receive requests and never respond.
    Vm &isolateBehindSilentSources()
    {
        std::string ip;
        for (const std::string &candidate : m_ips) {
            ip = sourcesInTree(candidate, m_ips).size() == 2 ? candidate : ip;
        }
        std::erase_if(m_vms, [&](const auto &item) { return item.first != ip; });
        for (const std::string &source : sourcesInTree(ip, m_ips)) {
            const auto listener =
                std::make_shared<net::Listener>(m_loop, [this](const std::shared_ptr<net::Connection> &connection) {
                    connection->start({.data = [](std::string_view) {},
                                       .closed =
                                           [](net::CloseReason) {
                                           }});
                    m_listenerConnections.push_back(connection);
                });
            EXPECT_FALSE(listener->open(source, m_port));
            m_silentSources.push_back(listener);
        }
        return *m_vms.at(ip);
    }

    static constexpr int EntryVms = 8;
    /// Copies of a state that may cross the link to the store for a domain whose first reader is late, whatever the
    /// number of its VMs.
    static constexpr int MostCopies = 4;
    Millis m_stateTime = StateTime;
    asio::io_context m_loop;
    lab::StoreStandIn m_store{m_loop};
    lab::StoreStandIn m_otherStore{
        m_loop}; ///< Holds the same records; read by VMs that are cut off without the others.
    std::uint16_t m_port = 0;
    std::vector<std::string> m_ips;
    std::string m_root; ///< The root of the tree, which reads the store for the others.
    std::map<std::string, std::unique_ptr<Vm>> m_vms;
    std::int64_t m_end = 0;
    std::int64_t m_era = 0;
    std::unique_ptr<net::Listener> m_listener;
    std::vector<std::shared_ptr<net::Listener>> m_silentSources;
    std::vector<std::shared_ptr<net::Connection>>
        m_listenerConnections; ///< Connections to the listener in place of the root.
};

} // namespace ibislock::feed
