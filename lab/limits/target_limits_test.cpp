// The target daemon, as a process with the limits of a small VM, among connections and messages that nobody controls.
// Checked are only that it lives, that its memory and descriptors stay under the limits of its VM, and that its ports
// answer; neither times nor how many requests are served.

#include "child_process.h"
#include "ibislock/feed/peer_client.h"
#include "ibislock/net/http_client.h"
#include "ibislock/peer/listings.h"
#include "ibislock/peer/messages.h"
#include "limits/caller_crowd.h"
#include "platform/engine_stand_in.h"
#include "platform/store_stand_in.h"
#include "process_usage.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ibislock::lab
{

namespace
{

/// Limits of the VM in the daemon's settings: less than those of the smallest VM, so that a small crowd reaches them.
constexpr std::uint64_t MemoryMb = 64;
constexpr std::uint64_t MaxDescriptors = 256;

/// The most memory and descriptors that the process may use: those of its VM.
constexpr std::uint64_t MemoryBound = MemoryMb << 20U;
constexpr std::uint64_t DescriptorBound = MaxDescriptors;

/// Several times as many connections as the process may have descriptors.
constexpr unsigned ManyConnections = 700;

/// How long a crowd is watched at least, and at most until each connection has sent once.
constexpr Millis ShortestWatch{3000};
constexpr Millis LongestWatch{20000};

/// Longest wait for what must come.
constexpr Millis PatienceTime{60000};

/// The largest length of a message that a sender may announce, and what its connection sends of it.
constexpr std::size_t AnnouncedBytes = peer::MaxFrameBytes;
constexpr std::size_t FramePart = 65536;

const std::string DesiredState =
    R"({"Version":1,"Services":[{"Name":"s","Engine":{"Slots":16,"step_ms":9.0,"read_per_s":20700.0,"Chunks":8,)"
    R"("ChunkBytes":64,"Models":[{"Name":"m"}]}}]})";

/// Returns the four bytes with which a message of some length begins.
std::string lengthPrefix(std::size_t bytes)
{
    return peer::frame(std::string(bytes, 'x')).substr(0, 4);
}

/// Messages of the largest length that stop one part short of their end.
CrowdKind unfinishedMessages(unsigned connections)
{
    return {.begin = lengthPrefix(AnnouncedBytes),
            .piece = std::string(FramePart, 'x'),
            .pieces = AnnouncedBytes / FramePart - 1,
            .connections = connections};
}

/// Messages that announce 4 GB, of which much is sent.
CrowdKind messagesOverLimit(unsigned connections)
{
    return {
        .begin = "\xff\xff\xff\xff", .piece = std::string(FramePart, 'x'), .pieces = 60000, .connections = connections};
}

/// Requests one behind the other whose responses are never read.
CrowdKind unreadResponses(const std::string &request, unsigned connections)
{
    std::string piece;
    while (piece.size() < FramePart) {
        piece += request;
    }
    return {.piece = piece, .pieces = 1000, .connections = connections, .reads = false};
}

/// The same request many times, which the daemon holds.
CrowdKind heldRequests(const std::string &request, std::size_t times, unsigned connections)
{
    return {.piece = request, .pieces = times, .connections = connections};
}

/// Returns a request for listings that is held for as long as the message can say.
std::string heldListingsRequest(const std::string &entryVm)
{
    return peer::encode(peer::ListingsRequest{
        .sequence = 1, .from = {.era = 1, .offset = INT64_MAX}, .wait = Millis{UINT32_MAX}, .entryVm = entryVm});
}

/// Returns a request for a piece.
std::string pieceRequest(const std::string &model, std::uint32_t waitMs)
{
    return peer::encode(peer::PieceMessage{.model = model, .version = 1, .index = 3, .waitMs = waitMs});
}

/// Returns a datagram of some dozen bytes whose report claims to have millions of entries without content.
std::string reportOfEmptyEntries()
{
    constexpr std::uint64_t Entries = 8000000;
    constexpr std::uint64_t EntryCountShift = 2;
    // The encoding of Cap'n Proto: one segment of ten words, little endian.
    const std::array<std::uint64_t, 11> words{
        0x0000000a00000000, // segment sizes
        0x0001000100000000, // pointer to the datagram: one word of data, one pointer
        0x0000000000000002, // its kind: a quarantine report
        0x0006000000000000, // pointer to the report: six lists
        0x0000000700000015, // the first list: of structures, behind the other pointers
        0,
        0,
        0,
        0,
        0,
        Entries << EntryCountShift, // structures of no bytes
    };
    return {reinterpret_cast<const char *>(words.data()), sizeof words};
}

/// Sends datagrams to a port, each from an address of its own.
void sendFromManyAddresses(std::uint16_t port, const std::string &bytes, unsigned addresses)
{
    constexpr std::uint32_t FirstAddress = 0x7f010001; // 127.1.0.1
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    for (unsigned n = 0; n < addresses; ++n) {
        const int fd = socket(AF_INET, SOCK_DGRAM, 0);
        sockaddr_in from{};
        from.sin_family = AF_INET;
        from.sin_addr.s_addr = htonl(FirstAddress + n);
        static_cast<void>(bind(fd, reinterpret_cast<const sockaddr *>(&from), sizeof from));
        static_cast<void>(
            sendto(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&to), sizeof to));
        close(fd);
    }
}

/// Returns the listing of a target whose models have long names.
std::string targetListing(int number)
{
    return R"({"Service":"s","Address":"127.0.2.1:)" + std::to_string(1000 + number)
        + R"(","Zone":"a","Version":"v1","Slots":16,"State":"ready","ColdLeftMs":0,"Sequence":1,"Models":[{"Name":")"
        + std::string(1500, 'm') + R"(","Version":1}]})";
}

/// A daemon process of a target VM with a store and an engine.
class TargetLimitsTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_store.append("config", DesiredState);
        const std::string file = m_directory + "/settings.ini";
        std::ofstream(file) << "[vm]\nname = target-1\nip = 127.0.0.1\ndomain = a\nlink_mbps = 1000\nmemory_mb = "
                            << MemoryMb << "\nmax_fds = " << MaxDescriptors << "\n[peers]\nfirst_port = " << m_pieces
                            << "\nlast_port = " << m_listings << "\n[store]\naddress = 127.0.0.1:" << m_store.port()
                            << "\n[engine]\naddress = 127.0.0.1:" << m_engine.port() << "\nservice = s\n";
        const std::vector<std::string> arguments{
            IBISLOCK_BINARY, "side",    "--settings",     file,
            "--log-level",   "warning", "--metrics-port", std::to_string(m_metrics)};
        m_daemon = std::make_unique<ChildProcess>(arguments, m_directory + "/log");
        ASSERT_TRUE(answersAll()) << "before the crowd came";
        // Without one, the process would have the memory of its peak among the crowd already.
        ASSERT_LT(usageOf(m_daemon->pid()).peakResidentBytes, MemoryBound / 2);
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

    /// Reads the metrics until they are there.
    bool answersMetrics()
    {
        const Millis end = steadyMillis() + PatienceTime;
        while (steadyMillis() < end) {
            std::optional<int> status;
            m_client.call("127.0.0.1", m_metrics, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n",
                          {.timeout = Millis{2000}, .newConnection = true},
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

    /// Sends a request to a port of the daemon for other VMs until one is answered.
    bool answersMessage(std::uint16_t port, const std::string &request)
    {
        const Millis end = steadyMillis() + PatienceTime;
        while (steadyMillis() < end) {
            bool answered = false;
            bool lost = false;
            feed::PeerClient client(m_loop, port,
                                    {.onFrame = [&](const std::string &) { answered = true; },
                                     .onLost =
                                         [&](std::string_view) {
                                             lost = true;
                                         }});
            client.send("127.0.0.1", request);
            const Millis giveUp = steadyMillis() + Millis{2000};
            while (!answered && !lost && steadyMillis() < giveUp) {
                watch(Millis{20});
            }
            if (answered) {
                return true;
            }
            watch(Millis{50});
        }
        return false;
    }

    /// Requests from each port what VMs of the system request.
    bool answersAll()
    {
        return answersMetrics() && answersMessage(m_pieces, pieceRequest("m", 1))
            && answersMessage(m_listings, peer::encode(peer::ListingsRequest{.sequence = 1, .wait = Millis{1}}));
    }

    /// Lets a crowd come, and checks what must hold while it is there and after it has left.
    void withstand(std::vector<CrowdKind> kinds, std::uint16_t port)
    {
        {
            CallerCrowd crowd(std::move(kinds), port);
            crowd.start();
            watchCrowd([&] { return crowd.sentOnce(); });
            EXPECT_TRUE(answersAll()) << "while the crowd is there";
        }
        checkBounds();
    }

    void watchCrowd(const std::function<bool()> &sentOnce)
    {
        const Millis from = steadyMillis();
        while (m_daemon->isRunning()
               && (steadyMillis() - from < ShortestWatch || (!sentOnce() && steadyMillis() - from < LongestWatch))) {
            watch(Millis{20});
        }
        ASSERT_TRUE(m_daemon->isRunning());
    }

    void checkBounds()
    {
        EXPECT_TRUE(answersAll()) << "after the crowd has left";
        ASSERT_TRUE(m_daemon->isRunning());
        const std::uint64_t peak = usageOf(m_daemon->pid()).peakResidentBytes;
        EXPECT_GT(peak, 0U);
        EXPECT_LT(peak, MemoryBound);
        EXPECT_GT(m_mostDescriptors, 0U);
        EXPECT_LT(m_mostDescriptors, DescriptorBound);
        RecordProperty("peak_resident_mb", static_cast<int>(peak >> 20U));
        RecordProperty("descriptors", static_cast<int>(m_mostDescriptors));
        std::cout << "peak resident " << (peak >> 20U) << " MB, descriptors " << m_mostDescriptors << "\n";
        EXPECT_EQ(m_daemon->stop(), 0) << "on SIGTERM";
    }

    static std::string makeDirectory()
    {
        std::string out = (std::filesystem::temp_directory_path() / "ibislock-limits-XXXXXX").string();
        return mkdtemp(out.data()) != nullptr ? out : std::string();
    }

    asio::io_context m_loop;
    StoreStandIn m_store{m_loop};
    EngineStandIn m_engine{m_loop, "127.0.0.1", 0};
    net::HttpClient m_client{m_loop};
    std::string m_directory = makeDirectory();
    std::uint16_t m_metrics = freePort();
    std::uint16_t m_pieces = freePort();
    std::uint16_t m_listings = static_cast<std::uint16_t>(m_pieces + 1);
    std::unique_ptr<ChildProcess> m_daemon;
    std::uint64_t m_mostDescriptors = 0;
};

// Guards against the descriptors of a target VM that are taken up by connections to its metrics port.
TEST_F(TargetLimitsTest, IdleConnectionsToTheMetricsPort)
{
    withstand({{.connections = ManyConnections}}, m_metrics);
}

// Guards against messages to the port for pieces that are buffered up to the largest length of a response.
TEST_F(TargetLimitsTest, UnfinishedMessagesToThePortForPieces)
{
    withstand({unfinishedMessages(60)}, m_pieces);
}

TEST_F(TargetLimitsTest, MessagesOverTheLimitToThePortForPieces)
{
    withstand({messagesOverLimit(60)}, m_pieces);
}

// Guards against responses that pile up on a connection whose peer sends requests and doesn't read.
TEST_F(TargetLimitsTest, UnreadResponsesOfThePortForPieces)
{
    withstand({unreadResponses(pieceRequest(std::string(1000, 'm'), 0), 60)}, m_pieces);
}

// Guards against requests for pieces that are held for days and leave no room for those of other VMs.
TEST_F(TargetLimitsTest, HeldRequestsAtThePortForPieces)
{
    withstand({heldRequests(pieceRequest(std::string(3000, 'm'), UINT32_MAX), 500, 60)}, m_pieces);
}

// Guards against connections to the port for pieces that take all descriptors.
TEST_F(TargetLimitsTest, IdleConnectionsToThePortForPieces)
{
    withstand({{.connections = ManyConnections}}, m_pieces);
}

// Guards against connections to the port for listings that take all descriptors.
TEST_F(TargetLimitsTest, IdleConnectionsToThePortForListings)
{
    withstand({{.connections = ManyConnections}}, m_listings);
}

TEST_F(TargetLimitsTest, MessagesOverTheLimitToThePortForListings)
{
    withstand({messagesOverLimit(60)}, m_listings);
}

// Guards against requests for listings that are held for days and leave no room for those of other VMs.
TEST_F(TargetLimitsTest, HeldRequestsAtThePortForListings)
{
    withstand({heldRequests(heldListingsRequest(std::string(60000, '1')), 100, 60)}, m_listings);
}

// Guards against responses with all listings that pile up on many connections whose peers don't read.
TEST_F(TargetLimitsTest, UnreadResponsesOfThePortForListings)
{
    for (int n = 0; n < 1000; ++n) {
        const std::string id = "target-" + std::to_string(n);
        m_store.append("i-" + id, targetListing(n));
    }
    const std::string request = peer::encode(peer::ListingsRequest{.sequence = 1, .wait = Millis{1}});
    withstand({unreadResponses(request, 200)}, m_listings);
}

// Guards against a datagram that claims to have millions of empty entries, each of which takes memory.
TEST_F(TargetLimitsTest, ADatagramOfEmptyEntries)
{
    sendFromManyAddresses(m_pieces, reportOfEmptyEntries(), 3);
    watchCrowd([] { return true; });
    checkBounds();
}

// Guards against subscriptions from made-up addresses, which are all kept.
TEST_F(TargetLimitsTest, SubscriptionsFromManyAddresses)
{
    sendFromManyAddresses(m_pieces, peer::encode(peer::SubscribeMessage{.wantsLoads = false}), 1000000);
    watchCrowd([] { return true; });
    checkBounds();
}

// Guards against heads that never end at the metrics port.
TEST_F(TargetLimitsTest, EndlessHeadsAtTheMetricsPort)
{
    withstand({{.begin = "GET /metrics HTTP/1.1\r\nX-Filler: ",
                .piece = std::string(FramePart, 'x'),
                .pieces = 60000,
                .connections = 60},
               {.begin = "GET /metrics HTTP/1.1\r\nX-Filler: ",
                .piece = std::string(FramePart, 'x'),
                .pieces = 60000,
                .connections = 60,
                .reads = false}},
              m_metrics);
}

} // namespace

} // namespace ibislock::lab
