#include <dogwoodvalve/demand_meter.h>
#include <dogwoodvalve/fleet_admission.h>
#include <dogwoodvalve/random.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace dogwoodvalve;

namespace {

constexpr const char *Service = "llm";
constexpr double Tokens = 1000;
constexpr Duration HoldTime = 2s;
constexpr Duration TimeLeft = 20s;

DemandKey key(int rank, const std::string &workspace)
{
    return {Service, rank, workspace};
}

/// Admits requests of several ranks and workspaces at given rates over hosts that share digests.
class LoadedFleet
{
public:
    struct Caller
    {
        DemandKey key;
        double perSecond = 0;
        int asked = 0;
        int admitted = 0;
    };

    explicit LoadedFleet(double room)
        : m_room(room)
    { }

    void add(int rank, const std::string &workspace, double perSecond)
    {
        callers.push_back({key(rank, workspace), perSecond});
    }

    /// Plays the load, with digests every 0.5 s. Each admitted request holds its tokens for
    /// HoldTime.
    void run(Duration time)
    {
        for (const TimePoint end = m_now + time; m_now < end; m_now += Step) {
            for (auto it = m_held.begin(); it != m_held.end() && it->first <= m_now;
                 it = m_held.erase(it))
                release(it->second);
            if (m_now >= m_digestAt) {
                m_digestAt = m_now + 500ms;
                m_admission.update({m_room, held()}, m_meter.demand(m_now), Service, Tokens);
            }
            for (Caller &caller : callers) {
                if (m_random.chance(caller.perSecond * static_cast<double>(Step.count()) / 1e6))
                    ask(caller);
            }
            m_heldSum += held();
            ++m_steps;
        }
    }

    double served(int rank) const
    {
        int asked = 0;
        int admitted = 0;
        for (const Caller &caller : callers) {
            asked += caller.key.rank == rank ? caller.asked : 0;
            admitted += caller.key.rank == rank ? caller.admitted : 0;
        }
        return static_cast<double>(admitted) / std::max(1, asked);
    }

    void forgetCounts()
    {
        for (Caller &caller : callers)
            caller.asked = caller.admitted = 0;
        m_heldSum = 0;
        m_steps = 0;
    }

    /// Mean of what is held, since the counts were forgotten.
    double meanHeld() const { return m_heldSum / std::max(1, m_steps); }

    std::vector<Caller> callers;

private:
    static constexpr Duration Step = 1ms;

    double held() const { return static_cast<double>(m_held.size()) * Tokens; }

    void release(const DemandKey &held)
    {
        m_meter.recordEnded(held, Tokens);
        m_meter.recordServed(held, Tokens, m_now - HoldTime, m_now);
        m_admission.recordEnded({held.rank, held.workspace, Tokens});
    }

    void ask(Caller &caller)
    {
        ++caller.asked;
        m_meter.recordAsked(caller.key, Tokens, m_now);
        const FleetAdmissionRequest request {caller.key.rank, caller.key.workspace, Tokens};
        if (m_admission.decide(request, TimeLeft, 0.5).outcome != AdmissionOutcome::Admitted
            || held() + Tokens > m_room)
            return;
        ++caller.admitted;
        m_admission.recordStarted(request);
        m_meter.recordStarted(caller.key, Tokens);
        m_held.emplace(m_now + HoldTime, caller.key);
    }

    double m_room;
    TimePoint m_now = TimePoint {} + 1h;
    TimePoint m_digestAt {};
    DemandMeter m_meter;
    FleetAdmission m_admission;
    std::multimap<TimePoint, DemandKey> m_held;
    double m_heldSum = 0;
    int m_steps = 0;
    Random m_random {7};
};

} // namespace

class FleetAdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetAdmissionTest);
    CPPUNIT_TEST(everyoneIsAdmittedWhileThereIsRoom);
    CPPUNIT_TEST(aBurstOfTheLeastUrgentTakesNothingFromTheOthers);
    CPPUNIT_TEST(aBurstOfTheMostUrgentIsServedFirst);
    CPPUNIT_TEST(noRoomIsKeptForCallersThatStopAsking);
    CPPUNIT_TEST(aWorkspaceWithinItsShareIsServedBesideALargeOne);
    CPPUNIT_TEST(whatOneWorkspaceDoesNotNeedGoesToTheOthers);
    CPPUNIT_TEST(roomThatTheMostUrgentNeedIsLeftForThem);
    CPPUNIT_TEST(aLoadOfOneRankIsLeftToTheQueues);
    CPPUNIT_TEST(lessUrgentCallersReturnLater);
    CPPUNIT_TEST(returnTimesStayWithinTheTimeLeft);
    CPPUNIT_TEST(theRoomIsThatOfTheScarcestLayer);
    CPPUNIT_TEST_SUITE_END();

    void everyoneIsAdmittedWhileThereIsRoom()
    {
        LoadedFleet fleet(100 * Tokens);
        fleet.add(0, "a", 15);
        fleet.add(2, "b", 15);
        fleet.run(10s);
        CPPUNIT_ASSERT_EQUAL(1.0, fleet.served(0));
        CPPUNIT_ASSERT_EQUAL(1.0, fleet.served(2));
    }

    // The load: the least urgent ask for twice the room beside a normal load of the others.
    void aBurstOfTheLeastUrgentTakesNothingFromTheOthers()
    {
        LoadedFleet fleet(400 * Tokens);
        fleet.add(0, "a", 80);
        fleet.add(1, "a", 40);
        fleet.add(2, "a", 40);
        fleet.run(5s);
        fleet.forgetCounts();
        fleet.callers.back().perSecond = 400;
        fleet.run(5s);
        CPPUNIT_ASSERT(fleet.served(0) >= 0.95);
        CPPUNIT_ASSERT(fleet.served(1) >= 0.95);
        CPPUNIT_ASSERT(fleet.served(2) > 0.1);
        CPPUNIT_ASSERT(fleet.meanHeld() > 320 * Tokens);
    }

    // The load: the most urgent ask for nearly all of the room, where the others had most of it.
    void aBurstOfTheMostUrgentIsServedFirst()
    {
        LoadedFleet fleet(100 * Tokens);
        fleet.add(0, "a", 15);
        fleet.add(1, "a", 15);
        fleet.add(2, "a", 15);
        fleet.run(5s);
        fleet.callers.front().perSecond = 40;
        fleet.run(2s);
        fleet.forgetCounts();
        fleet.run(5s);
        CPPUNIT_ASSERT(fleet.served(0) >= 0.95);
        CPPUNIT_ASSERT(fleet.served(0) > fleet.served(1));
        CPPUNIT_ASSERT(fleet.served(1) > fleet.served(2));
    }

    void noRoomIsKeptForCallersThatStopAsking()
    {
        LoadedFleet fleet(100 * Tokens);
        fleet.add(0, "a", 60);
        fleet.add(2, "a", 40);
        fleet.run(6s);
        fleet.callers.front().perSecond = 0;
        fleet.run(3s);
        fleet.forgetCounts();
        fleet.run(5s);
        CPPUNIT_ASSERT(fleet.served(2) >= 0.95);
    }

    // The load: one workspace asks for three times the room, eight others for a little each.
    void aWorkspaceWithinItsShareIsServedBesideALargeOne()
    {
        LoadedFleet fleet(400 * Tokens);
        fleet.add(0, "large", 600);
        for (int i = 0; i < 8; ++i)
            fleet.add(0, "small-" + std::to_string(i), 8);
        fleet.add(1, "large", 60);
        fleet.run(10s);
        fleet.forgetCounts();
        fleet.run(10s);
        int asked = 0;
        int admitted = 0;
        for (std::size_t i = 1; i <= 8; ++i) {
            asked += fleet.callers[i].asked;
            admitted += fleet.callers[i].admitted;
        }
        CPPUNIT_ASSERT(admitted >= asked * 95 / 100);
        CPPUNIT_ASSERT(fleet.meanHeld() > 320 * Tokens);
    }

    void whatOneWorkspaceDoesNotNeedGoesToTheOthers()
    {
        FleetAdmission admission;
        // The usable room is 85,000, of which the small one needs 25,000: the level is 30,000.
        DemandTotals demand;
        demand[key(0, "small")] = {12500, 20000, 10000, 20000};
        demand[key(0, "b")] = {50000, 28000, 14000, 28000};
        demand[key(0, "c")] = {50000, 30000, 15000, 30000};
        demand[key(1, "c")] = {50000, 0, 0, 0};
        admission.update({100000, 90000}, demand, Service, Tokens);
        const auto outcome = [&](const char *workspace) {
            return admission.decide({0, workspace, Tokens}, TimeLeft, 0.5).outcome;
        };
        CPPUNIT_ASSERT(outcome("small") == AdmissionOutcome::Admitted);
        CPPUNIT_ASSERT(outcome("b") == AdmissionOutcome::Admitted);
        CPPUNIT_ASSERT(outcome("c") == AdmissionOutcome::OverShare);
    }

    // The load: the most urgent ask for twice of what they hold so far, beside few others.
    void roomThatTheMostUrgentNeedIsLeftForThem()
    {
        FleetAdmission admission;
        DemandTotals demand;
        demand[key(0, "a")] = {30000, 20000, 10000, 20000};
        demand[key(2, "a")] = {5000, 30000, 5000, 10000};
        admission.update({100000, 50000}, demand, Service, Tokens);
        const auto outcome = [&](int rank) {
            return admission.decide({rank, "a", Tokens}, TimeLeft, 0.5).outcome;
        };
        CPPUNIT_ASSERT(outcome(0) == AdmissionOutcome::Admitted);
        // There is enough for all, so that a short wait is of use.
        CPPUNIT_ASSERT(outcome(2) == AdmissionOutcome::NoRoomYet);
        demand[key(0, "a")].held = 60000;
        admission.update({100000, 60000}, demand, Service, Tokens);
        CPPUNIT_ASSERT(outcome(2) == AdmissionOutcome::Admitted);
    }

    // The load: one rank asks for twice the room, beside a request now and then of a higher one.
    void aLoadOfOneRankIsLeftToTheQueues()
    {
        FleetAdmission admission;
        DemandTotals demand;
        demand[key(0, "a")] = {100, 0, 0, 0};
        demand[key(1, "a")] = {100000, 90000, 45000, 90000};
        admission.update({100000, 90000}, demand, Service, Tokens);
        CPPUNIT_ASSERT(admission.decide({1, "a", Tokens}, TimeLeft, 0.5).outcome
                       == AdmissionOutcome::Admitted);
    }

    void lessUrgentCallersReturnLater()
    {
        FleetAdmission admission;
        DemandTotals demand;
        demand[key(1, "a")] = {60000, 90000, 45000, 90000};
        demand[key(2, "a")] = {60000, 90000, 45000, 90000};
        admission.update({100000, 100000}, demand, Service, Tokens);
        const auto first = admission.decide({1, "a", Tokens}, TimeLeft, 0.5);
        const auto second = admission.decide({2, "a", Tokens}, TimeLeft, 0.5);
        CPPUNIT_ASSERT(first.outcome != AdmissionOutcome::Admitted);
        CPPUNIT_ASSERT(second.outcome == AdmissionOutcome::KeptForHigherRanks);
        CPPUNIT_ASSERT(first.retryAfter < second.retryAfter);
    }

    void returnTimesStayWithinTheTimeLeft()
    {
        FleetAdmission admission;
        DemandTotals demand;
        demand[key(0, "a")] = {1e6, 10000, 5000, 10000};
        demand[key(1, "a")] = {1e6, 0, 0, 0};
        admission.update({10000, 10000}, demand, Service, Tokens);
        for (const double jitter : {0.0, 0.5, 0.99}) {
            const auto refused = admission.decide({0, "a", Tokens}, 3s, jitter);
            CPPUNIT_ASSERT(refused.retryAfter > Duration::zero());
            CPPUNIT_ASSERT(refused.retryAfter <= 1s);
        }
    }

    void theRoomIsThatOfTheScarcestLayer()
    {
        const std::vector<PathServer> servers {{"a", "z", {0, 8}, 1, 1, 8000, 4000},
                                               {"b", "z", {8, 10}, 1, 1, 1000, 200},
                                               {"c", "z", {0, 10}, 1, 1, 10000, 0}};
        const ServiceRoom room = serviceRoom(servers, 10);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1500 * PathSelector::MaxCommittedShare, room.total, 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, room.held, 1e-6);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetAdmissionTest);
