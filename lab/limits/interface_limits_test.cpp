// The daemons of ibislock's own interface as processes, among clients that nobody controls, at each of their ports.
// Checked are only that a process lives, that its memory and descriptors stay under a bound, and that an ordinary
// request is answered; neither times nor how many requests are served.

#include "ibislock/rpc/client.h"
#include "limits/caller_crowd.h"
#include "process_deployment.h"
#include "process_usage.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <gtest/gtest.h>

namespace ibislock::lab
{

namespace
{

constexpr std::size_t MaxBodyBytes = 4 << 20;
constexpr std::size_t MaxHeadBytes = 16 << 10;

/// The most memory and descriptors that a process may use.
constexpr std::uint64_t MemoryBound = 64 << 20;
constexpr std::uint64_t DescriptorBound = 256;

/// How long a crowd is watched at least, and at most until each connection has sent once.
constexpr Millis ShortestWatch{3000};
constexpr Millis LongestWatch{20000};

/// Longest wait for what must come.
constexpr Millis PatienceTime{60000};

/// Connections of a crowd: as many bodies of the largest size need several times the bound of memory, ...
constexpr unsigned LargeCrowd = 60;

/// ... and as many connections are several times the bound of descriptors.
constexpr unsigned ManyConnections = 700;

constexpr std::size_t LargeChunk = 64 << 10;

std::string requestBegin(const std::string &headers)
{
    return "POST /v1/completions HTTP/1.1\r\nHost: h\r\n" + headers;
}

std::string chunk(std::size_t bytes)
{
    std::array<char, 24> length{};
    std::snprintf(length.data(), length.size(), "%zx\r\n", bytes);
    return length.data() + std::string(bytes, 'x') + "\r\n";
}

/// Bodies in large chunks that stop short of their end.
CrowdKind largeChunks(unsigned connections)
{
    return {.begin = requestBegin("Transfer-Encoding: chunked\r\n\r\n"),
            .piece = chunk(LargeChunk),
            .pieces = MaxBodyBytes / LargeChunk - 1,
            .connections = connections};
}

/// Bodies in chunks of one byte that stop short of their end.
CrowdKind oneByteChunks(unsigned connections)
{
    std::string piece;
    for (int n = 0; n < 10000; ++n) {
        piece += chunk(1);
    }
    return {.begin = requestBegin("Transfer-Encoding: chunked\r\n\r\n"),
            .piece = piece,
            .pieces = 60,
            .connections = connections};
}

/// Bodies of an announced length that stop one byte short of their end.
CrowdKind announcedBodies(unsigned connections)
{
    return {.begin = requestBegin("Content-Length: " + std::to_string(MaxBodyBytes) + "\r\n\r\n"),
            .piece = std::string(MaxBodyBytes - 1, 'x'),
            .pieces = 1,
            .connections = connections};
}

/// Bodies far over the limit, of an announced length.
CrowdKind announcedOverLimit(unsigned connections)
{
    return {.begin = requestBegin("Content-Length: 4000000000\r\n\r\n"),
            .piece = std::string(LargeChunk, 'x'),
            .pieces = 60000,
            .connections = connections};
}

/// Bodies far over the limit, of a length that isn't announced.
CrowdKind chunkedOverLimit(unsigned connections)
{
    CrowdKind out = largeChunks(connections);
    out.pieces = 60000;
    return out;
}

/// Heads that stay below the limit and never end.
CrowdKind endlessHeads(unsigned connections)
{
    const std::string begin = requestBegin("X-Filler: ");
    return {.begin = begin + std::string(MaxHeadBytes - begin.size() - 100, 'x'), .connections = connections};
}

/// Connections that send nothing.
CrowdKind idleConnections(unsigned connections)
{
    return {.connections = connections};
}

/// Complete requests behind each other on a connection, whose answers are never read.
CrowdKind unreadAnswers(unsigned connections)
{
    return {.piece = "GET / HTTP/1.1\r\nHost: h\r\n\r\n", .pieces = 2000, .connections = connections, .reads = false};
}

/// Cap'n Proto messages of one segment of 56 MB, of which 8 MB come.
CrowdKind messagesThatStop(unsigned connections)
{
    constexpr std::uint32_t Words = 7000000;
    const std::array<std::uint32_t, 2> head{0, Words};
    return {.begin = std::string(reinterpret_cast<const char *>(head.data()), sizeof head),
            .piece = std::string(LargeChunk, '\0'),
            .pieces = (8 << 20) / LargeChunk,
            .connections = connections};
}

/// The crowd and ordinary callers come from one address, as from behind a balancer.
ProcessDeploymentOptions smallProcesses()
{
    return {.binary = IBISLOCK_BINARY,
            .versionBytes = 256 << 10,
            .chunkBytes = 64 << 10,
            .callerThreads = 64,
            .callerSettings = "connections_per_peer = 0\nheader_bytes_max = 16384\n"
                              "body_bytes_max = 4194304\nbody_memory_mib = 24\n",
            .administrationSettings = "connections_per_peer = 0\n",
            .rpcSettings = "connections_max = 128\nunfinished_mib = 16\n"};
}

/// More threads and connections than the system allows descriptors.
ProcessDeploymentOptions processesWithFewDescriptors()
{
    ProcessDeploymentOptions out = smallProcesses();
    out.callerThreads = 1024;
    out.rpcSettings = {};
    out.descriptorsMax = DescriptorBound;
    return out;
}

ProcessDeploymentOptions withDirectory(ProcessDeploymentOptions options, const std::string &directory)
{
    options.directory = directory;
    return options;
}

/// An entry and a target process with their stand-ins.
class InterfaceLimitsTest : public testing::Test
{
protected:
    explicit InterfaceLimitsTest(ProcessDeploymentOptions options = smallProcesses())
        : m_deployment(withDirectory(std::move(options), m_directory))
    {
    }

    void SetUp() override
    {
        m_deployment.startAll();
        const Digest root = m_deployment.addVersion(1);
        ASSERT_TRUE(m_deployment.fileTicket(1, root, PatienceTime));
        ASSERT_TRUE(m_deployment.waitUntilServing(root, PatienceTime));
        ASSERT_TRUE(answersOrdinaryRequest()) << "before the crowd came";
        for (const ProcessVm &vm : m_deployment.vms()) {
            // Without one, the process would have the memory of its peak among the crowd already.
            ASSERT_LT(usageOf(vm.process->pid()).peakResidentBytes, MemoryBound / 2) << vm.name;
        }
    }

    void TearDown() override
    {
        std::filesystem::remove_all(m_directory);
    }

    ProcessVm &entry()
    {
        return m_deployment.vms()[0];
    }

    ProcessVm &target()
    {
        return m_deployment.vms()[1];
    }

    static std::uint16_t portOf(const std::string &url)
    {
        return static_cast<std::uint16_t>(std::stoul(url.substr(url.rfind(':') + 1)));
    }

    /// Sends an ordinary small request to each port until it is answered, as callers that are refused come again.
    bool answersOrdinaryRequest()
    {
        return repeat([this] {
                   httplib::Client client(entry().callersUrl);
                   client.set_bearer_token_auth(ProcessCallerCredential);
                   client.set_read_timeout(std::chrono::milliseconds(PatienceTime));
                   const auto answer =
                       client.Post("/v1/completions", R"({"model": "forecast", "prompt": "a", "max_tokens": 4})",
                                   "application/json");
                   return answer && answer->status == 200;
               })
            && repeat([this] {
                   httplib::Client client(entry().administrationUrl);
                   client.set_bearer_token_auth(ProcessOperatorCredential);
                   client.set_read_timeout(std::chrono::milliseconds(PatienceTime));
                   const auto answer = client.Get("/v1/status");
                   return answer && answer->status == 200;
               })
            && repeat([this] { return answersPeer(entry()); }) && repeat([this] { return answersPeer(target()); });
    }

    /// Asks as a process that has just started, over a connection of its own.
    static bool answersPeer(const ProcessVm &vm)
    {
        const rpc::EventLoop loop;
        rpc::Client client(loop, {});
        return client.state("127.0.0.1:" + std::to_string(vm.rpcPort), 0).has_value();
    }

    template <typename Condition>
    bool repeat(Condition &&condition)
    {
        const Millis end = steadyMillis() + PatienceTime;
        while (steadyMillis() < end) {
            if (condition()) {
                return true;
            }
            watch();
        }
        return false;
    }

    /// Records how many descriptors the processes have open.
    void watch()
    {
        for (const ProcessVm &vm : m_deployment.vms()) {
            m_mostDescriptors = std::max(m_mostDescriptors, usageOf(vm.process->pid()).descriptors);
        }
        std::this_thread::sleep_for(Millis(20));
    }

    void watchUntilSent(const CallerCrowd &crowd)
    {
        const Millis from = steadyMillis();
        while (steadyMillis() - from < ShortestWatch || (!crowd.sentOnce() && steadyMillis() - from < LongestWatch)) {
            watch();
        }
    }

    /// Lets a crowd come to a port, and checks what must hold while it is there and after it has left.
    void withstand(std::uint16_t port, std::vector<CrowdKind> kinds)
    {
        {
            CallerCrowd crowd(std::move(kinds), port);
            crowd.start();
            watchUntilSent(crowd);
            EXPECT_TRUE(answersOrdinaryRequest()) << "while the crowd is there";
        }
        EXPECT_TRUE(answersOrdinaryRequest()) << "after the crowd has left";
        for (const ProcessVm &vm : m_deployment.vms()) {
            EXPECT_TRUE(vm.process->isRunning()) << vm.name;
            const ProcessUsage usage = usageOf(vm.process->pid());
            EXPECT_GT(usage.peakResidentBytes, 0U) << vm.name;
            EXPECT_LT(usage.peakResidentBytes, MemoryBound) << vm.name;
            std::cout << vm.name << ": peak memory " << (usage.peakResidentBytes >> 10U) << " KiB\n";
        }
        EXPECT_LT(m_mostDescriptors, m_descriptorBound);
        std::cout << "most descriptors " << m_mostDescriptors << "\n";
    }

    void withstandAtCallers(std::vector<CrowdKind> kinds)
    {
        withstand(portOf(entry().callersUrl), std::move(kinds));
    }

    std::string m_directory = [] {
        std::string name = (std::filesystem::temp_directory_path() / "ibislock-limits-XXXXXX").string();
        return std::string(mkdtemp(name.data()));
    }();
    ProcessDeployment m_deployment;
    std::uint64_t m_mostDescriptors = 0;
    std::uint64_t m_descriptorBound = DescriptorBound;
};

// Guards against memory that grows with the bodies of all connections together.
TEST_F(InterfaceLimitsTest, ChunkedBodiesThatStopShortOfTheirEnd)
{
    withstandAtCallers({largeChunks(LargeCrowd)});
}

// Guards against memory or processor time that grows with the number of chunks.
TEST_F(InterfaceLimitsTest, OneByteChunksThatStopShortOfTheirEnd)
{
    withstandAtCallers({oneByteChunks(LargeCrowd)});
}

// Guards against room that is held for bodies that never come whole.
TEST_F(InterfaceLimitsTest, AnnouncedBodiesThatStopShortOfTheirEnd)
{
    withstandAtCallers({announcedBodies(LargeCrowd)});
}

// Guards against bodies that are buffered although their announced length is refused.
TEST_F(InterfaceLimitsTest, AnnouncedBodiesOverTheLimit)
{
    withstandAtCallers({announcedOverLimit(LargeCrowd)});
}

// Guards against memory that many bodies take until each of them has reached its limit.
TEST_F(InterfaceLimitsTest, ChunkedBodiesOverTheLimit)
{
    withstandAtCallers({chunkedOverLimit(LargeCrowd)});
}

// Guards against descriptors that grow with the connections that wait for a thread.
TEST_F(InterfaceLimitsTest, HeadsThatNeverEnd)
{
    withstandAtCallers({endlessHeads(ManyConnections)});
}

// Guards against a daemon that accepts more connections than it has descriptors.
TEST_F(InterfaceLimitsTest, MoreIdleConnectionsThanDescriptors)
{
    withstandAtCallers({idleConnections(ManyConnections)});
}

// Guards against threads that are held by callers that don't read.
TEST_F(InterfaceLimitsTest, AnswersThatAreNeverRead)
{
    withstandAtCallers({unreadAnswers(LargeCrowd * 2)});
}

// Guards against limits that hold at the port for callers only.
TEST_F(InterfaceLimitsTest, BodiesAndHeadsAtTheAdministrationPort)
{
    withstand(portOf(entry().administrationUrl),
              {largeChunks(LargeCrowd), endlessHeads(ManyConnections / 2), unreadAnswers(LargeCrowd)});
}

// Guards against descriptors that grow with the connections of other processes.
TEST_F(InterfaceLimitsTest, IdleConnectionsToTheRpcPortOfAnEntry)
{
    withstand(entry().rpcPort, {idleConnections(ManyConnections)});
}

TEST_F(InterfaceLimitsTest, IdleConnectionsToTheRpcPortOfATarget)
{
    withstand(target().rpcPort, {idleConnections(ManyConnections)});
}

// Guards against memory that grows with the messages of all connections together.
TEST_F(InterfaceLimitsTest, RpcMessagesToAnEntryThatStopShortOfTheirEnd)
{
    withstand(entry().rpcPort, {messagesThatStop(LargeCrowd / 2)});
}

TEST_F(InterfaceLimitsTest, RpcMessagesToATargetThatStopShortOfTheirEnd)
{
    withstand(target().rpcPort, {messagesThatStop(LargeCrowd / 2)});
}

// Guards against a stop that waits for callers which neither send nor read.
TEST_F(InterfaceLimitsTest, StopBesideACrowd)
{
    constexpr unsigned Some = 60;
    CallerCrowd crowd({largeChunks(Some), announcedBodies(Some), endlessHeads(Some), unreadAnswers(Some)},
                      portOf(entry().callersUrl));
    CallerCrowd peers({idleConnections(Some), messagesThatStop(1)}, target().rpcPort);
    crowd.start();
    peers.start();
    watchUntilSent(crowd);
    for (ProcessVm &vm : m_deployment.vms()) {
        vm.process->signal(SIGTERM);
    }
    for (ProcessVm &vm : m_deployment.vms()) {
        EXPECT_EQ(vm.process->wait(), 0) << vm.name;
    }
}

/// Processes that keep a quarter of what the system allows for their own connections.
class FewDescriptorsTest : public InterfaceLimitsTest
{
protected:
    FewDescriptorsTest()
        : InterfaceLimitsTest(processesWithFewDescriptors())
    {
        m_descriptorBound = DescriptorBound / 4 * 3;
    }
};

// Guards against settings that allow more connections than the system does descriptors.
TEST_F(FewDescriptorsTest, HeadsThatNeverEnd)
{
    withstandAtCallers({endlessHeads(ManyConnections)});
}

TEST_F(FewDescriptorsTest, IdleConnectionsToTheRpcPortOfATarget)
{
    withstand(target().rpcPort, {idleConnections(ManyConnections)});
}

} // namespace

} // namespace ibislock::lab
