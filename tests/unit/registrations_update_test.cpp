#include "gateway/fleet/fleet_view.h"

#include <dogwoodvalve/timer_service.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace dogwoodvalve;
using namespace std::chrono_literals;

namespace {

constexpr int Servers = 190;
constexpr Duration KeyRevocation = 5s;

HostDigest identity(const std::string &name)
{
    HostDigest digest;
    digest.name = name;
    digest.zone = "a";
    return digest;
}

ServerRegistration engine(int i)
{
    ServerRegistration server;
    server.id = "i-" + std::to_string(10'000'000 + i);
    server.service = "llm";
    server.address = "10.0.0." + std::to_string(i + 1) + ":8080";
    server.zone = "a";
    server.kind = "l4";
    server.startedAtMs = 1;
    return server;
}

} // namespace

/// Registrations that one host passes on to another.
class RegistrationsUpdateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RegistrationsUpdateTest);
    CPPUNIT_TEST(renewalsArePassedOnWithoutTheRegistrations);
    CPPUNIT_TEST(aChangeIsPassedOnAfterItsRenewals);
    CPPUNIT_TEST(removedServersAreGone);
    CPPUNIT_TEST(aHostThatKnowsNoServersTellsNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_timers.advanceTo(TimePoint {} + 1h);
        for (int i = 0; i < Servers; ++i)
            m_reader.onServer(engine(i), nextPosition());
        m_reader.onServersUpToDate({1, m_offset}, m_timers.now());
        pass();
        CPPUNIT_ASSERT_EQUAL(std::size_t {Servers}, m_follower.registry().servers().size());
    }

    void renewalsArePassedOnWithoutTheRegistrations()
    {
        // The follower found the engine unreachable; a later renewal shows that it lives.
        m_follower.health().recordEvidence(engine(0).id, 1, ServerEvidence::Unreachable,
                                           m_timers.now());
        m_timers.advanceTo(m_timers.now() + 3s);
        CPPUNIT_ASSERT(!m_follower.health().usable(engine(0).id, 1, m_timers.now()));
        renewAll();
        const RegistrationsUpdate update = m_reader.registrationsSince(m_follower.serversEnd());
        CPPUNIT_ASSERT(update.changed.empty());
        constexpr std::size_t MaxBytesPerServer = 20;
        CPPUNIT_ASSERT(encodeRegistrations(update).size() < Servers * MaxBytesPerServer);
        pass();
        CPPUNIT_ASSERT(m_follower.health().usable(engine(0).id, 1, m_timers.now()));
    }

    void aChangeIsPassedOnAfterItsRenewals()
    {
        ServerRegistration draining = engine(7);
        draining.draining = true;
        m_reader.onServer(draining, nextPosition());
        m_reader.onServer(draining, nextPosition());
        m_reader.onServersUpToDate({1, m_offset}, m_timers.now());
        m_timers.advanceTo(m_timers.now() + 1s);
        pass();
        CPPUNIT_ASSERT(m_follower.registry().find(draining.id)->draining);
    }

    void removedServersAreGone()
    {
        m_reader.onServerGone(engine(3).id, nextPosition());
        renewAll();
        pass();
        CPPUNIT_ASSERT(!m_follower.registry().find(engine(3).id));
        CPPUNIT_ASSERT_EQUAL(std::size_t {Servers - 1}, m_follower.registry().servers().size());
    }

    /// Its list is empty because it has not read the servers yet.
    void aHostThatKnowsNoServersTellsNothing()
    {
        FleetView starting(m_timers, identity("starting"), KeyRevocation);
        FleetView other(m_timers, identity("other"), KeyRevocation);
        const auto update =
            decodeRegistrations(encodeRegistrations(starting.registrationsSince({})));
        CPPUNIT_ASSERT(update);
        other.adoptRegistrations(update.value(), m_timers.now() - update.value().age);
        CPPUNIT_ASSERT_EQUAL(Duration::max().count(), other.serversAge().count());
        CPPUNIT_ASSERT_EQUAL(HostDigest::MaxAge.count(),
                             starting.nextDigest().registrationsAge.count());
    }

private:
    LogPosition nextPosition() { return {1, ++m_offset}; }

    /// Reads a renewal of every registered server, a second later.
    void renewAll()
    {
        m_timers.advanceTo(m_timers.now() + 1s);
        for (int i = 0; i < Servers; ++i) {
            if (m_reader.registry().find(engine(i).id))
                m_reader.onServer(engine(i), nextPosition());
        }
        m_reader.onServersUpToDate({1, m_offset}, m_timers.now());
    }

    /// Sends the follower what it does not know.
    void pass()
    {
        const auto update = decodeRegistrations(
            encodeRegistrations(m_reader.registrationsSince(m_follower.serversEnd())));
        CPPUNIT_ASSERT(update);
        m_follower.adoptRegistrations(update.value(), m_timers.now());
    }

    ManualTimerService m_timers;
    FleetView m_reader {m_timers, identity("reader"), KeyRevocation};
    FleetView m_follower {m_timers, identity("follower"), KeyRevocation};
    std::uint64_t m_offset = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistrationsUpdateTest);
