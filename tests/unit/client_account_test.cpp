#include "net/client_account.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/resource.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

using namespace dogwoodvalve;

namespace {

constexpr std::size_t Small = ClientAccount::SmallClientBytes;
constexpr std::size_t Limit = 16 * Small;
/// What large clients may hold together.
constexpr std::size_t LargeLimit = 12 * Small;

/// Remembers what it was asked for, and gives it back when told to.
class FakeClient : public AccountedClient
{
public:
    explicit FakeClient(const std::shared_ptr<ClientAccount> &account)
        : holding(account, *this)
    { }
    void requestReclaim(Shortage shortage) override { asked = shortage; }

    std::optional<Shortage> asked;
    ClientHolding holding;
};

} // namespace

class ClientAccountTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClientAccountTest);
    CPPUNIT_TEST(sharesOfTheMachine);
    CPPUNIT_TEST(theProcessLimitBoundsDescriptors);
    CPPUNIT_TEST(whoHoldsMostForLongestGivesBack);
    CPPUNIT_TEST(clientsThatGotOnAreLeftAlone);
    CPPUNIT_TEST(largeClientsLeaveRoomToSmallOnes);
    CPPUNIT_TEST(waitingRequestsAreNeverTakenBack);
    CPPUNIT_TEST(largeClientsDoNotDisplaceSmallOnes);
    CPPUNIT_TEST(theLongestIdleConnectionGivesWay);
    CPPUNIT_TEST(internalPortsHaveTheLastConnections);
    CPPUNIT_TEST(withdrawnRequestsCountAgain);
    CPPUNIT_TEST(bytesThatCannotBeRefusedAreCounted);
    CPPUNIT_TEST_SUITE_END();

    using Client = std::unique_ptr<FakeClient>;

    std::shared_ptr<ClientAccount> m_account =
        std::make_shared<ClientAccount>(ClientLimits {Limit, 8});
    TimePoint m_now {10s};

    Client open(ClientActivity activity, std::size_t bytes)
    {
        auto client = std::make_unique<FakeClient>(m_account);
        CPPUNIT_ASSERT(client->holding.open(true, m_now));
        client->holding.setActivity(activity, m_now);
        CPPUNIT_ASSERT(client->holding.tryHold(bytes, m_now));
        return client;
    }

    void sharesOfTheMachine()
    {
        const ClientLimits limits = clientLimits({260U << 20, 4100});
        CPPUNIT_ASSERT_EQUAL(std::size_t {130U << 20}, limits.bytes);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1950}, limits.connections);
        CPPUNIT_ASSERT_EQUAL(std::size_t {37}, clientLimits({32U << 20, 100}).connections);
    }

    void theProcessLimitBoundsDescriptors()
    {
        const auto descriptors = [](rlim_t limit, std::size_t configured) {
            rlimit before {};
            ::getrlimit(RLIMIT_NOFILE, &before);
            const rlimit changed {std::min(limit, before.rlim_max), before.rlim_max};
            ::setrlimit(RLIMIT_NOFILE, &changed);
            const MachineSize size = effectiveMachineSize({1, configured});
            ::setrlimit(RLIMIT_NOFILE, &before);
            return size.descriptors;
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t {500}, descriptors(500, 0));
        CPPUNIT_ASSERT_EQUAL(std::size_t {500}, descriptors(500, 600));
        CPPUNIT_ASSERT_EQUAL(std::size_t {400}, descriptors(500, 400));
        CPPUNIT_ASSERT(descriptors(RLIM_INFINITY, 0) > 0);
        CPPUNIT_ASSERT(
            clientLimits({64U << 20, static_cast<std::size_t>(RLIM_INFINITY)}).connections > 0);
    }

    void whoHoldsMostForLongestGivesBack()
    {
        const Client older = open(ClientActivity::Uploading, 3 * Small);
        m_now += 2s;
        const Client larger = open(ClientActivity::Uploading, 6 * Small);
        m_now += 3s;
        // 3 for 5 s against 6 for 3 s.
        const Client next = open(ClientActivity::Uploading, 4 * Small);
        CPPUNIT_ASSERT(!older->asked && larger->asked == Shortage::Bytes);
        larger->holding.close();
        CPPUNIT_ASSERT_EQUAL(7 * Small, m_account->bytes());
    }

    void clientsThatGotOnAreLeftAlone()
    {
        const Client young = open(ClientActivity::Uploading, 10 * Small);
        m_now += ClientAccount::MinReclaimAge - 1ms;
        FakeClient next(m_account);
        CPPUNIT_ASSERT(next.holding.open(false, m_now));
        CPPUNIT_ASSERT(!next.holding.tryHold(3 * Small, m_now));
        CPPUNIT_ASSERT(!young->asked);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, next.holding.bytes());
        m_now += 1ms;
        CPPUNIT_ASSERT(next.holding.tryHold(3 * Small, m_now));
        CPPUNIT_ASSERT(young->asked.has_value());
    }

    void largeClientsLeaveRoomToSmallOnes()
    {
        const Client large = open(ClientActivity::Waiting, LargeLimit);
        const Client small = open(ClientActivity::Uploading, Small);
        FakeClient next(m_account);
        CPPUNIT_ASSERT(next.holding.open(false, m_now));
        CPPUNIT_ASSERT(!next.holding.tryHold(Small + 1, m_now));
        // Small ones also take room back from large ones that have just come.
        large->holding.setActivity(ClientActivity::Downloading, m_now);
        const Client second = open(ClientActivity::Uploading, Small);
        const Client third = open(ClientActivity::Uploading, Small);
        CPPUNIT_ASSERT(!large->asked);
        const Client fourth = open(ClientActivity::Uploading, Small);
        const Client fifth = open(ClientActivity::Uploading, Small);
        CPPUNIT_ASSERT(large->asked.has_value());
    }

    void waitingRequestsAreNeverTakenBack()
    {
        const Client waiting = open(ClientActivity::Waiting, LargeLimit);
        m_now += 60s;
        FakeClient next(m_account);
        CPPUNIT_ASSERT(next.holding.open(false, m_now));
        CPPUNIT_ASSERT(!next.holding.tryHold(2 * Small, m_now));
        CPPUNIT_ASSERT(!waiting->asked);
    }

    void largeClientsDoNotDisplaceSmallOnes()
    {
        const Client small = open(ClientActivity::Uploading, Small);
        const Client waiting = open(ClientActivity::Waiting, 10 * Small);
        m_now += 60s;
        FakeClient next(m_account);
        CPPUNIT_ASSERT(next.holding.open(false, m_now));
        CPPUNIT_ASSERT(!next.holding.tryHold(2 * Small, m_now));
        CPPUNIT_ASSERT(!small->asked);
    }

    void theLongestIdleConnectionGivesWay()
    {
        const Client stalled = open(ClientActivity::Uploading, Small);
        m_now += 2s;
        std::vector<Client> idle;
        for (int i = 0; i < 7; ++i, m_now += 1ms)
            idle.push_back(open(ClientActivity::Idle, 1));
        const Client next = open(ClientActivity::Idle, 1);
        CPPUNIT_ASSERT(idle[0]->asked == Shortage::Connections && !idle[1]->asked);
        CPPUNIT_ASSERT(!stalled->asked);
        idle[0]->holding.close();
        CPPUNIT_ASSERT_EQUAL(std::size_t {8}, m_account->connections());
    }

    void internalPortsHaveTheLastConnections()
    {
        std::vector<Client> clients;
        clients.reserve(8);
        for (int i = 0; i < 7; ++i)
            clients.push_back(open(ClientActivity::Waiting, 1));
        FakeClient caller(m_account);
        CPPUNIT_ASSERT(!caller.holding.open(false, m_now));
        clients.push_back(open(ClientActivity::Waiting, 1));
        FakeClient host(m_account);
        CPPUNIT_ASSERT(!host.holding.open(true, m_now));
    }

    void withdrawnRequestsCountAgain()
    {
        const Client upload = open(ClientActivity::Uploading, LargeLimit);
        m_now += 2s;
        const Client next = open(ClientActivity::Uploading, 2 * Small);
        CPPUNIT_ASSERT(upload->asked.has_value());
        CPPUNIT_ASSERT(!upload->holding.tryHold(LargeLimit + 1, m_now));
        upload->holding.setActivity(ClientActivity::Waiting, m_now);
        upload->holding.withdrawReclaim();
        CPPUNIT_ASSERT(!next->holding.tryHold(3 * Small, m_now));
        upload->holding.close();
        CPPUNIT_ASSERT(next->holding.tryHold(LargeLimit, m_now));
    }

    void bytesThatCannotBeRefusedAreCounted()
    {
        const Client waiting = open(ClientActivity::Waiting, LargeLimit);
        waiting->holding.hold(2 * Limit, m_now);
        CPPUNIT_ASSERT_EQUAL(2 * Limit, m_account->bytes());
        waiting->holding.close();
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, m_account->bytes());
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, m_account->connections());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientAccountTest);
