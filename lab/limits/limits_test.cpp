// The entry daemon, as a process with the limits of a small VM, among callers that nobody controls. Checked are only
// that it lives, that its memory and descriptors stay under the limits of its VM, and that an ordinary request is
// answered; neither times nor how many requests are served.

#include "child_process.h"
#include "ibislock/net/http_client.h"
#include "ibislock/peer/records.h"
#include "limits/caller_crowd.h"
#include "platform/store_stand_in.h"
#include "platform/target_stand_in.h"
#include "process_usage.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>

namespace ibislock::lab
{

namespace
{

/// Limits of the VM in the daemon's settings: less than those of the smallest VM, so that a small crowd reaches them.
constexpr std::uint64_t MemoryMb = 64;
constexpr std::uint64_t MaxDescriptors = 256;

/// How long a crowd is watched at least, and at most until each connection has sent once.
constexpr Millis ShortestWatch{3000};
constexpr Millis LongestWatch{20000};

/// Longest wait for what must come.
constexpr Millis PatienceTime{60000};

/// Limits of callers' requests in the desired state.
constexpr std::size_t MaxBodyBytes = 4194304;
constexpr std::size_t MaxHeadBytes = 16384;

/// Connections of a crowd: as many bodies or responses of the largest size need several times the VM's memory, ...
constexpr unsigned LargeCrowd = 60;

/// ... and as many connections are several times its descriptors.
constexpr unsigned ManyConnections = 700;

/// Descriptors of a VM on which memory is short before descriptors are.
constexpr std::uint64_t ManyDescriptors = 2048;

const std::string DesiredState =
    R"({"Version":1,"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
    R"("Routes":[{"Name":"r","Host":"h","PathPrefix":"/","Kind":"idempotent","TimeoutMs":6000,"Service":"s",)"
    R"("MaxAttempts":2},{"Name":"silent","Host":"silent","PathPrefix":"/","Kind":"idempotent","TimeoutMs":6000,)"
    R"("Service":"silent","MaxAttempts":2}],"Services":[{"Name":"s","HealthPath":"/health","MaxConns":1000},)"
    R"({"Name":"silent","HealthPath":"/health","MaxConns":1000}]})";

/// Returns the beginning of a request: its head without the line that ends it.
std::string requestBegin(const std::string &headers)
{
    return "POST /x HTTP/1.1\r\nHost: h\r\n" + headers;
}

std::string chunk(std::size_t bytes)
{
    return http::writeChunk(std::string(bytes, 'x'));
}

constexpr std::size_t LargeChunk = 65536;

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
            .pieces = 250, // 2.5 MB of body, 15 MB on the wire
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

/// Complete requests, some behind each other on a connection, whose responses are never read.
CrowdKind unreadResponses(unsigned connections)
{
    return {.piece = requestBegin("X-Ibislock-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody"),
            .pieces = 8,
            .connections = connections,
            .reads = false};
}

/// The same, one on a connection.
CrowdKind unreadResponse(unsigned connections)
{
    CrowdKind out = unreadResponses(connections);
    out.pieces = 1;
    return out;
}

/// Whole requests with a body of the largest size to targets that never answer.
CrowdKind requestsToSilentTargets(unsigned connections)
{
    return {.begin = "POST /x HTTP/1.1\r\nHost: silent\r\nX-Ibislock-Deadline-Ms: 5000\r\nContent-Length: "
                + std::to_string(MaxBodyBytes) + "\r\n\r\n",
            .piece = std::string(LargeChunk, 'x'),
            .pieces = MaxBodyBytes / LargeChunk,
            .connections = connections};
}

/// Bodies whose trailers never end.
CrowdKind endlessTrailers(unsigned connections)
{
    return {.begin = requestBegin("Transfer-Encoding: chunked\r\n\r\n") + chunk(LargeChunk) + "0\r\n",
            .piece = "X-Filler: " + std::string(1000, 'x') + "\r\n",
            .pieces = 1000000,
            .connections = connections};
}

/// Bodies with a chunk whose extension never ends.
CrowdKind endlessExtensions(unsigned connections)
{
    return {.begin = requestBegin("Transfer-Encoding: chunked\r\n\r\n") + chunk(LargeChunk) + "1;",
            .piece = std::string(1000, 'x'),
            .pieces = 1000000,
            .connections = connections};
}

/// Frames that stop one byte short of their end.
CrowdKind unfinishedFrames(unsigned connections)
{
    return {.begin = peer::frame(std::string(LargeChunk, 'x')).substr(0, LargeChunk + 3), .connections = connections};
}

/// Frames whose announced length is far over the limit.
CrowdKind framesOverLimit(unsigned connections)
{
    return {.begin = "\xff\xff\xff\xff",
            .piece = std::string(LargeChunk, 'x'),
            .pieces = 60000,
            .connections = connections};
}

/// Requests of another VM for all records, whose responses are never read.
CrowdKind unreadRecords(unsigned connections)
{
    return {.piece = encode(peer::RecordsRequest{.from = {.offset = 0}, .awaitedEnd = {.offset = 1}}),
            .pieces = 8,
            .connections = connections,
            .reads = false};
}

/// Requests of another VM that wait for records which never come.
CrowdKind waitingRecordsRequests(unsigned connections)
{
    return {.piece = encode(peer::RecordsRequest{
                .from = {.offset = 0}, .awaitedEnd = {.offset = 1000000}, .wait = Millis{3600000}}),
            .pieces = 100000,
            .connections = connections};
}

/// A daemon process of an entry VM with a store and a target.
class EntryLimitsTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_store.append("config", DesiredState);
        m_store.append(m_target.id, listing(m_target, "s"));
        m_silentTarget.behaviour = TargetBehaviour::Silent;
        m_store.append(m_silentTarget.id, listing(m_silentTarget, "silent"));
        startDaemon("memory_mb = " + std::to_string(MemoryMb) + "\nmax_fds = " + std::to_string(MaxDescriptors));
    }

    /// Returns the listing of a target that takes many requests at once.
    static std::string listing(const TargetStandIn &target, const std::string &service)
    {
        std::string out = target.listing(service);
        const std::string slots = "\"Slots\":" + std::to_string(TargetStandIn::Slots);
        return out.replace(out.find(slots), slots.size(), "\"Slots\":1000");
    }

    /// Starts the daemon, or a new one in its place, and sends it a request.
    /// @param limits lines of its settings.
    /// @param wrapper a program that starts it, and its arguments.
    void startDaemon(const std::string &limits, std::vector<std::string> wrapper = {})
    {
        m_daemon.reset();
        const std::string file = m_directory + "/settings.ini";
        std::ofstream(file) << "[vm]\nname = entry-1\nip = 127.0.0.1\ndomain = a\nlink_mbps = 1000\n"
                            << limits << "\n[callers]\naddress = 127.0.0.1:" << m_callers
                            << "\nreadiness = 127.0.0.1:" << m_readiness << "\n[peers]\nfirst_port = " << m_peers
                            << "\nlast_port = " << m_peers + 1 << "\n[store]\naddress = 127.0.0.1:" << m_store.port()
                            << "\n[contract]\nretry_allowance = 100\n";
        const std::vector<std::string> arguments{
            IBISLOCK_BINARY, "front",   "--settings",     file,
            "--log-level",   "warning", "--metrics-port", std::to_string(m_metrics)};
        wrapper.insert(wrapper.end(), arguments.begin(), arguments.end());
        m_daemon = std::make_unique<ChildProcess>(wrapper, m_directory + "/log");
        ASSERT_TRUE(answersOrdinaryRequest()) << "before the crowd came";
        // Without one, the process would have the memory of its peak among the crowd already.
        ASSERT_LT(usageOf(m_daemon->pid()).peakResidentBytes, m_memoryBound / 2);
    }

    void TearDown() override
    {
        std::filesystem::remove_all(m_directory);
    }

    /// Runs the loop for a while, and records how many descriptors the daemon has open meanwhile.
    void watch(Millis time)
    {
        m_loop.run_for(std::chrono::milliseconds(time));
        m_mostDescriptors = std::max(m_mostDescriptors, usageOf(m_daemon->pid()).descriptors);
    }

    /// Sends an ordinary small request until it is answered, as callers that are refused come again.
    bool answersOrdinaryRequest(std::uint16_t port = 0)
    {
        const std::string request =
            requestBegin("X-Ibislock-Deadline-Ms: 5000\r\nContent-Length: 300\r\n\r\n") + std::string(300, 'x');
        const Millis end = steadyMillis() + PatienceTime;
        while (steadyMillis() < end) {
            std::optional<int> status;
            m_client.call("127.0.0.1", port == 0 ? m_callers : port, request,
                          {.timeout = Millis{6000}, .newConnection = true},
                          [&](net::ExchangeOutcome, const http::ResponseHead &head, const std::string &) {
                              status = head.status;
                          });
            while (!status) {
                watch(Millis{20});
            }
            if (*status == 200) {
                return true;
            }
            watch(Millis{50});
        }
        return false;
    }

    /// Lets a crowd come, and checks what must hold while it is there and after it has left.
    void withstand(std::vector<CrowdKind> kinds, std::uint16_t port = 0)
    {
        {
            CallerCrowd crowd(std::move(kinds), port == 0 ? m_callers : port);
            crowd.start();
            const Millis from = steadyMillis();
            while (steadyMillis() - from < ShortestWatch
                   || (!crowd.sentOnce() && steadyMillis() - from < LongestWatch)) {
                watch(Millis{20});
            }
            EXPECT_TRUE(answersOrdinaryRequest()) << "while the crowd is there";
        }
        EXPECT_TRUE(answersOrdinaryRequest()) << "after the crowd has left";
        EXPECT_TRUE(m_daemon->isRunning());
        const ProcessUsage usage = usageOf(m_daemon->pid());
        EXPECT_GT(usage.peakResidentBytes, 0U);
        EXPECT_LT(usage.peakResidentBytes, m_memoryBound);
        EXPECT_LT(m_mostDescriptors, m_descriptorBound);
        std::cout << "peak memory " << (usage.peakResidentBytes >> 10U) << " KiB, most descriptors "
                  << m_mostDescriptors << "\n";
    }

    asio::io_context m_loop;
    StoreStandIn m_store{m_loop};
    TargetStandIn m_target{m_loop, "i-1"};
    TargetStandIn m_silentTarget{m_loop, "i-2"};
    net::HttpClient m_client{m_loop};
    std::uint16_t m_callers = freePort();
    std::uint16_t m_readiness = freePort();
    std::uint16_t m_metrics = freePort();
    std::uint16_t m_peers = freePort();
    std::string m_directory = [] {
        std::string name = (std::filesystem::temp_directory_path() / "ibislock-limits-XXXXXX").string();
        return std::string(mkdtemp(name.data()));
    }();
    std::unique_ptr<ChildProcess> m_daemon;
    std::uint64_t m_mostDescriptors = 0;

    // The most memory and descriptors that the process may use: those of its VM.
    std::uint64_t m_memoryBound = MemoryMb << 20U;
    std::uint64_t m_descriptorBound = MaxDescriptors;
};

// Guards against memory that grows with the bodies of all connections together.
TEST_F(EntryLimitsTest, ChunkedBodiesThatStopShortOfTheirEnd)
{
    withstand({largeChunks(LargeCrowd)});
}

// Guards against memory or processor time that grows with the number of chunks.
TEST_F(EntryLimitsTest, OneByteChunksThatStopShortOfTheirEnd)
{
    withstand({oneByteChunks(LargeCrowd)});
}

// Guards against room that is held for bodies that never come whole.
TEST_F(EntryLimitsTest, AnnouncedBodiesThatStopShortOfTheirEnd)
{
    withstand({announcedBodies(LargeCrowd)});
}

// Guards against bodies that are buffered although their announced length is refused.
TEST_F(EntryLimitsTest, AnnouncedBodiesOverTheLimit)
{
    withstand({announcedOverLimit(LargeCrowd)});
}

// Guards against memory that many bodies take until each of them has reached its limit.
TEST_F(EntryLimitsTest, ChunkedBodiesOverTheLimit)
{
    withstand({chunkedOverLimit(LargeCrowd)});
}

// Guards against heads that take up all descriptors until their timeout.
TEST_F(EntryLimitsTest, HeadsThatNeverEnd)
{
    withstand({endlessHeads(ManyConnections)});
}

// Guards against a daemon without a descriptor for ordinary callers and its own connections.
TEST_F(EntryLimitsTest, MoreIdleConnectionsThanDescriptors)
{
    withstand({idleConnections(ManyConnections)});
}

// Guards against memory that grows with the responses of callers that don't read them.
TEST_F(EntryLimitsTest, ResponsesThatAreNeverRead)
{
    m_target.answerBytes = 3 << 20U;
    withstand({unreadResponses(LargeCrowd)});
}

// Guards against the descriptors of the connections at which the platform and operators ask.
TEST_F(EntryLimitsTest, IdleConnectionsToTheReadinessAndMetricsPorts)
{
    CallerCrowd readiness({idleConnections(ManyConnections / 2)}, m_readiness);
    CallerCrowd metrics({idleConnections(ManyConnections / 2)}, m_metrics);
    readiness.start();
    metrics.start();
    withstand({idleConnections(1)});
}

// Guards against the descriptors of connections that VMs read records from.
TEST_F(EntryLimitsTest, IdleConnectionsToTheRecordsPort)
{
    withstand({idleConnections(ManyConnections)}, m_peers + 1);
}

// Guards against memory that grows with the frames of all connections together.
TEST_F(EntryLimitsTest, FramesThatStopShortOfTheirEnd)
{
    withstand({unfinishedFrames(ManyConnections), framesOverLimit(LargeCrowd)}, m_peers + 1);
}

// Guards against memory that grows with the records that other VMs don't read.
TEST_F(EntryLimitsTest, RecordsThatAreNeverRead)
{
    m_store.append("unused", std::string(1U << 20U, 'x'));
    startDaemon("memory_mb = " + std::to_string(MemoryMb) + "\nmax_fds = " + std::to_string(ManyDescriptors));
    m_descriptorBound = ManyDescriptors;
    withstand({unreadRecords(ManyConnections)}, m_peers + 1);
}

// Guards against pending requests that take up the loop or the memory.
TEST_F(EntryLimitsTest, RecordsRequestsThatWait)
{
    withstand({waitingRecordsRequests(LargeCrowd)}, m_peers + 1);
}

// Guards against endless requests to the ports at which the platform and operators ask.
TEST_F(EntryLimitsTest, EndlessRequestsToTheReadinessAndMetricsPorts)
{
    CrowdKind endless = endlessHeads(LargeCrowd);
    endless.piece = std::string(LargeChunk, 'x');
    endless.pieces = 60000;
    CrowdKind unread{
        .piece = "GET /ibislock/ready HTTP/1.1\r\n\r\n", .pieces = 1000000, .connections = LargeCrowd, .reads = false};
    CallerCrowd readiness({endless, unread}, m_readiness);
    readiness.start();
    withstand({endless, unread}, m_metrics);
}

// Guards against bytes of a response that are read before there is room for them.
TEST_F(EntryLimitsTest, ManyUnreadResponsesAtOnce)
{
    startDaemon("memory_mb = " + std::to_string(MemoryMb) + "\nmax_fds = " + std::to_string(ManyDescriptors));
    m_descriptorBound = ManyDescriptors;
    m_target.answerBytes = 200000;
    withstand({unreadResponse(ManyConnections)});
}

// Guards against small responses that are never counted because they are complete when they are first read.
TEST_F(EntryLimitsTest, ManySmallUnreadResponsesAtOnce)
{
    startDaemon("memory_mb = " + std::to_string(MemoryMb) + "\nmax_fds = " + std::to_string(ManyDescriptors));
    m_descriptorBound = ManyDescriptors;
    m_target.answerBytes = 60000;
    withstand({unreadResponses(ManyConnections)});
}

// Guards against whole requests, which are never evicted, that outgrow the memory together.
TEST_F(EntryLimitsTest, WholeRequestsThatWaitForSilentTargets)
{
    withstand({requestsToSilentTargets(LargeCrowd)});
}

// Guards against trailers and chunk extensions without end.
TEST_F(EntryLimitsTest, EndlessTrailersAndExtensions)
{
    withstand({endlessTrailers(LargeCrowd), endlessExtensions(LargeCrowd)});
}

// Guards against a default that exceeds the memory that the process may have.
TEST_F(EntryLimitsTest, ChunkedBodiesWithoutASettingForTheMemory)
{
    constexpr std::uint64_t AddressSpaceMb = 256;
    startDaemon("max_fds = " + std::to_string(MaxDescriptors),
                {"/bin/sh", "-c", "ulimit -v " + std::to_string(AddressSpaceMb << 10U) + "; exec \"$@\"", "sh"});
    m_memoryBound = AddressSpaceMb << 20U;
    withstand({largeChunks(2 * LargeCrowd)});
}

// Guards against a stop that waits for connections which never end.
TEST_F(EntryLimitsTest, AStopBesideACrowd)
{
    m_target.answerBytes = 3 << 20U;
    CallerCrowd crowd({largeChunks(LargeCrowd), requestsToSilentTargets(LargeCrowd), unreadResponses(LargeCrowd),
                       idleConnections(LargeCrowd)},
                      m_callers);
    crowd.start();
    const Millis from = steadyMillis();
    while (steadyMillis() - from < ShortestWatch) {
        watch(Millis{20});
    }
    m_daemon->signal(SIGHUP);
    EXPECT_TRUE(answersOrdinaryRequest()) << "after a signal to read the settings again";
    m_daemon->signal(SIGTERM);
    const Millis end = steadyMillis() + PatienceTime;
    while (usageOf(m_daemon->pid()).residentBytes > 0 && steadyMillis() < end) {
        watch(Millis{20});
    }
    ASSERT_EQ(usageOf(m_daemon->pid()).residentBytes, 0U);
    EXPECT_EQ(m_daemon->wait(), 0);
}

// Guards against limits that hold for each kind of caller and not for all together.
TEST_F(EntryLimitsTest, AllAtOnce)
{
    m_target.answerBytes = 3 << 20U;
    constexpr unsigned Some = 20;
    withstand({largeChunks(Some), oneByteChunks(Some), announcedBodies(Some), announcedOverLimit(Some),
               chunkedOverLimit(Some), endlessHeads(ManyConnections / 4), idleConnections(ManyConnections / 4),
               unreadResponses(Some)});
}

} // namespace

} // namespace ibislock::lab
