#include "net/http_text.h"
#include "simulation/gateway_world.h"

#include <cppunit/extensions/HelperMacros.h>

namespace dogwoodvalve::simulation {
namespace {

constexpr int Hosts = 3;
constexpr int Engines = 4;
/// Some 27 of them fill the context memory of the engines, which is enough for 60 a second.
constexpr const char *LargeRequest = "4000,60";

struct Kind
{
    const char *target = "";
    Duration interval {};
    std::vector<std::shared_ptr<Call>> calls {};

    int served() const
    {
        return static_cast<int>(std::count_if(calls.begin(), calls.end(), [](const auto &it) {
            return it->answer.status == 200 && it->answer.complete;
        }));
    }

    double servedShare() const
    {
        return served() / std::max(1.0, static_cast<double>(calls.size()));
    }
};

} // namespace

/// Tests whom hosts serve while the engines have too little context memory for all.
class ScarceRoomTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ScarceRoomTest);
    CPPUNIT_TEST(urgentRequestsAreServedThroughABurstOfOthers);
    CPPUNIT_TEST(refusedCallersAreToldAtOnceWhenToReturn);
    CPPUNIT_TEST(allAreServedAgainAfterABurst);
    CPPUNIT_TEST(requestsOfOneRankAreNotRefusedForTheirRank);
    CPPUNIT_TEST_SUITE_END();

    static void configure(GatewayWorld &world, int urgentPriority, int otherPriority)
    {
        const auto route = [](const char *prefix, int priority) {
            json object = testtool::routeObject("site", prefix, "streaming", "llm");
            object["Priority"] = priority;
            return object;
        };
        const json configuration = {
            {"Version", 100},
            {"Routes", {route("/urgent/", urgentPriority), route("/other/", otherPriority)}},
            {"Services", {{{"Name", "llm"}, {"Engine", testtool::engineObject()}}}},
            {"Tenants", {{{"Name", "workspace"}, {"ApiKeys", {"good-key"}}, {"Priority", 1}}}}};
        world.store.put("keyed.op", "config", configuration.dump());
        world.run(3s);
    }

    static void callRepeatedly(GatewayWorld &world, Kind &kind, TimePoint end)
    {
        if (world.now() >= end)
            return;
        kind.calls.push_back(world.call(
            "POST", kind.target, {{"X-Token-Usage", LargeRequest}, {"X-Deadline-Ms", "8000"}},
            static_cast<int>(world.random().below(Hosts))));
        world.after(kind.interval, [&world, &kind, end] { callRepeatedly(world, kind, end); });
    }

    /// Sends both kinds for a while, and waits until all have ended.
    static void play(GatewayWorld &world, Kind &first, Kind &second, Duration time)
    {
        callRepeatedly(world, first, world.now() + time);
        callRepeatedly(world, second, world.now() + time);
        world.run(time + 9s);
    }

    // The load: three times as many requests as there is room for, most of them of the lower rank.
    void urgentRequestsAreServedThroughABurstOfOthers()
    {
        GatewayWorld world(Hosts, Engines);
        world.settle();
        configure(world, 0, 2);
        Kind urgent {"/urgent/x", 50ms};
        Kind other {"/other/x", 7ms};
        play(world, urgent, other, 2s);
        urgent.calls.clear();
        other.calls.clear();
        play(world, urgent, other, 8s);
        CPPUNIT_ASSERT(urgent.servedShare() >= 0.95);
        CPPUNIT_ASSERT(other.servedShare() < urgent.servedShare());
        CPPUNIT_ASSERT(other.served() > 0);
    }

    void refusedCallersAreToldAtOnceWhenToReturn()
    {
        GatewayWorld world(Hosts, Engines);
        world.settle();
        configure(world, 0, 2);
        Kind urgent {"/urgent/x", 20ms};
        Kind other {"/other/x", 10ms};
        play(world, urgent, other, 6s);
        int refused = 0;
        for (const auto &call : other.calls) {
            if (call->answer.body.find("more urgent requests") == std::string::npos)
                continue;
            ++refused;
            CPPUNIT_ASSERT_EQUAL(503, call->answer.status);
            CPPUNIT_ASSERT(call->answer.body.find("not_run") != std::string::npos);
            const double seconds =
                std::stod(std::string(findField(call->answer.fields, "Retry-After")));
            CPPUNIT_ASSERT(seconds >= 0.2 && seconds <= 8.0 / 3);
        }
        CPPUNIT_ASSERT(refused > 0);
    }

    void allAreServedAgainAfterABurst()
    {
        GatewayWorld world(Hosts, Engines);
        world.settle();
        configure(world, 0, 2);
        Kind urgent {"/urgent/x", 10ms};
        Kind other {"/other/x", 10ms};
        play(world, urgent, other, 4s);
        Kind later {"/other/x", 60ms};
        Kind laterUrgent {"/urgent/x", 100ms};
        play(world, laterUrgent, later, 6s);
        CPPUNIT_ASSERT_EQUAL(later.calls.size(), static_cast<std::size_t>(later.served()));
        CPPUNIT_ASSERT_EQUAL(laterUrgent.calls.size(),
                             static_cast<std::size_t>(laterUrgent.served()));
    }

    void requestsOfOneRankAreNotRefusedForTheirRank()
    {
        GatewayWorld world(Hosts, Engines);
        world.settle();
        configure(world, 1, 1);
        Kind first {"/urgent/x", 10ms};
        Kind second {"/other/x", 10ms};
        play(world, first, second, 4s);
        for (const Kind *kind : {&first, &second}) {
            for (const auto &call : kind->calls)
                CPPUNIT_ASSERT(call->answer.body.find("more urgent") == std::string::npos
                               && call->answer.body.find("its share") == std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScarceRoomTest);

} // namespace dogwoodvalve::simulation
