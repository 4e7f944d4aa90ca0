#include "process/fleet.h"
#include "reference_model.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <fstream>
#include <set>
#include <thread>

using namespace dogwoodvalve;
using namespace dogwoodvalve::process;
using nlohmann::json;

namespace {

/// Numbers of a process as the kernel shows them.
std::string statusLine(int pid, const std::string &key)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind(key, 0) == 0)
            return line;
    }
    return "";
}

} // namespace

/// The programs as they are shipped, as real processes on loopback, under kills, freezes, cuts and
/// outages. Every answer is compared with the one computed apart.
class ProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ProcessTest);
    CPPUNIT_TEST(answersAreRightThroughEveryEntryHost);
    CPPUNIT_TEST(aKilledEngineLosesNothing);
    CPPUNIT_TEST(aFrozenEngineLosesNothing);
    CPPUNIT_TEST(anEngineAndAnEntryHostKilledAtOnceLoseNothing);
    CPPUNIT_TEST(aFrozenEntryHostLosesNothing);
    CPPUNIT_TEST(aDrainedEntryHostCutsNothing);
    CPPUNIT_TEST(aHalfOpenConnectionLosesNothing);
    CPPUNIT_TEST(requestsGoOnWhileThePlatformIsDown);
    CPPUNIT_TEST(keyedCallsRunAtMostOnce);
    CPPUNIT_TEST(theCommandLineSaysWhatHappened);
    CPPUNIT_TEST(twoThousandStreamsOverOneEntryHost);
    CPPUNIT_TEST_SUITE_END();

    static void expectAllComplete(const json &report)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(report["errors"].dump(), report["requests"].get<int>(),
                                     report["complete"].get<int>());
        CPPUNIT_ASSERT_EQUAL(0, report["wrong"].get<int>());
    }

    /// Waits until some entry host has requests in hand, and returns its number.
    static int busyEntry(Fleet &fleet)
    {
        int busy = -1;
        Fleet::eventually("the load runs", [&] {
            for (int i = 0; i < 3 && busy < 0; ++i) {
                const json status = fleet.askJson(fleet.operatorAddress(i), "/operator/status");
                if (status.is_object() && status.value("openRequests", 0) > 2)
                    busy = i;
            }
            return busy >= 0;
        });
        return busy;
    }

    void answersAreRightThroughEveryEntryHost()
    {
        Fleet fleet(1, 3);
        fleet.startAll();
        const std::string prompt = "Who may chaperone the museum trip?";
        const auto chat = testtool::expectedAnswer("m", 24, "user: " + prompt + "\n", 20);
        const auto text = testtool::expectedAnswer("m", 24, prompt, 20);
        for (int i = 0; i < 3; ++i) {
            const json request = {{"model", "chat"},
                                  {"max_tokens", 20},
                                  {"messages", {{{"role", "user"}, {"content", prompt}}}}};
            const auto answer = fleet.ask(fleet.callerAddress(i), "POST", "/v1/chat/completions",
                                          request.dump(), "demo-key");
            CPPUNIT_ASSERT_EQUAL(200, answer.status);
            const json body = json::parse(answer.body);
            CPPUNIT_ASSERT_EQUAL(chat.text,
                                 body["choices"][0]["message"]["content"].get<std::string>());
            CPPUNIT_ASSERT_EQUAL(chat.tokens, body["usage"]["completion_tokens"].get<int>());
            const json plain = {{"model", "chat"}, {"max_tokens", 20}, {"prompt", prompt}};
            const auto completion = fleet.ask(fleet.callerAddress(i), "POST", "/v1/completions",
                                              plain.dump(), "demo-key");
            CPPUNIT_ASSERT_EQUAL(
                text.text, json::parse(completion.body)["choices"][0]["text"].get<std::string>());
            const auto models =
                fleet.ask(fleet.callerAddress(i), "GET", "/v1/models", "", "demo-key");
            CPPUNIT_ASSERT_EQUAL(std::string("chat"),
                                 json::parse(models.body)["data"][0]["id"].get<std::string>());
            const auto refused = fleet.ask(fleet.callerAddress(i), "POST", "/v1/completions",
                                           plain.dump(), "wrong-key");
            CPPUNIT_ASSERT_EQUAL(401, refused.status);
            CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                                 json::parse(refused.body)["error"]["outcome"].get<std::string>());
        }
        expectAllComplete(fleet.load({"--rate", "30", "--seconds", "3"}));
    }

    void aKilledEngineLosesNothing()
    {
        Fleet fleet(2, 3);
        fleet.startAll();
        const auto load = fleet.startLoad({"--rate", "30", "--seconds", "6"});
        (void)busyEntry(fleet);
        fleet.engine(0, 0).signal(SIGKILL);
        std::this_thread::sleep_for(std::chrono::seconds(1));
        fleet.startEngine(0, 0);
        std::this_thread::sleep_for(std::chrono::seconds(1));
        fleet.engine(1, 0).signal(SIGKILL);
        load->wait();
        expectAllComplete(fleet.loadReport());
    }

    void aFrozenEngineLosesNothing()
    {
        Fleet fleet(3, 3);
        fleet.startAll();
        const auto load = fleet.startLoad({"--rate", "30", "--seconds", "6"});
        (void)busyEntry(fleet);
        fleet.engine(1, 1).signal(SIGSTOP);
        std::this_thread::sleep_for(std::chrono::seconds(2));
        fleet.engine(1, 1).signal(SIGCONT);
        std::this_thread::sleep_for(std::chrono::seconds(1));
        fleet.engine(0, 0).signal(SIGSTOP);
        load->wait();
        expectAllComplete(fleet.loadReport());
    }

    void anEngineAndAnEntryHostKilledAtOnceLoseNothing()
    {
        Fleet fleet(4, 3);
        fleet.startAll();
        const auto load = fleet.startLoad({"--rate", "30", "--seconds", "6"});
        const int victim = busyEntry(fleet);
        fleet.entry(victim).signal(SIGKILL);
        fleet.engine(0, 1).signal(SIGKILL);
        load->wait();
        expectAllComplete(fleet.loadReport());
        const auto answer =
            fleet.ask(fleet.callerAddress(victim == 0 ? 1 : 0), "GET", "/v1/entries");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), json::parse(answer.body)["entries"].size());
    }

    void aFrozenEntryHostLosesNothing()
    {
        Fleet fleet(5, 3);
        fleet.startAll();
        const auto load =
            fleet.startLoad({"--rate", "20", "--seconds", "8", "--patience_seconds", "50"});
        const int victim = busyEntry(fleet);
        const std::string other = fleet.callerAddress(victim == 0 ? 1 : 0);
        fleet.entry(victim).signal(SIGSTOP);
        Fleet::eventually("the frozen host is no longer named", [&] {
            const auto answer = fleet.ask(other, "GET", "/v1/entries");
            return json::parse(answer.body)["entries"].size() == 2;
        });
        std::this_thread::sleep_for(std::chrono::seconds(3));
        fleet.entry(victim).signal(SIGCONT);
        load->wait();
        expectAllComplete(fleet.loadReport());
        Fleet::eventually("the host that woke is named again", [&] {
            const auto answer = fleet.ask(other, "GET", "/v1/entries");
            return json::parse(answer.body)["entries"].size() == 3;
        });
    }

    void aDrainedEntryHostCutsNothing()
    {
        Fleet fleet(6, 3);
        fleet.startAll();
        const auto load = fleet.startLoad({"--rate", "30", "--seconds", "6", "--keyed", "0.3"});
        const int victim = busyEntry(fleet);
        fleet.entry(victim).signal(SIGTERM);
        CPPUNIT_ASSERT_EQUAL(0, fleet.entry(victim).wait());
        load->wait();
        const json report = fleet.loadReport();
        CPPUNIT_ASSERT_EQUAL(0, report["wrong"].get<int>());
        CPPUNIT_ASSERT_EQUAL(0, report["timedOut"].get<int>());
        // An answer that was cut would show as an event stream without its end.
        CPPUNIT_ASSERT_EQUAL_MESSAGE(report["errors"].dump(), 0, report["notRun"].get<int>());
        for (const auto &[error, n] : report["errors"].items())
            CPPUNIT_ASSERT_MESSAGE(error, error.find("issued the key") != std::string::npos);
    }

    void aHalfOpenConnectionLosesNothing()
    {
        Fleet fleet(7, 3);
        fleet.relayed = true;
        fleet.startAll();
        const auto load = fleet.startLoad({"--rate", "30", "--seconds", "6"});
        (void)busyEntry(fleet);
        const auto relay = [&](const json &faults) {
            CPPUNIT_ASSERT_EQUAL(
                200,
                fleet.ask(fleet.relayControlAddress(), "POST", "/faults", faults.dump()).status);
        };
        relay({{"swallowBackward", true}});
        std::this_thread::sleep_for(std::chrono::seconds(2));
        relay({{"swallowBackward", false}, {"cut", true}});
        std::this_thread::sleep_for(std::chrono::seconds(1));
        relay({{"cut", false}, {"swallowForward", true}});
        load->wait();
        expectAllComplete(fleet.loadReport());
    }

    void requestsGoOnWhileThePlatformIsDown()
    {
        Fleet fleet(8, 3);
        fleet.startAll();
        fleet.platform().signal(SIGSTOP);
        const std::string file = fleet.folder() + "/zone.yaml";
        std::ofstream(file) << "kind: zone\nname: zone-c\nspec: {region: r}\n";
        std::thread operatorCommand([&] {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.commandOutput(), 3,
                                         fleet.command({"apply", file, "--change_id=outage-1"}));
        });
        const json report = fleet.load({"--rate", "20", "--seconds", "12"});
        operatorCommand.join();
        expectAllComplete(report);
        fleet.platform().signal(SIGCONT);
        // The append may have reached the platform before it woke; applying again is safe.
        Fleet::eventually("the change is accepted", [&] {
            return fleet.command({"apply", file, "--change_id=outage-1"}) == 0;
        });
        CPPUNIT_ASSERT_EQUAL(0, fleet.command({"get", "zone", "zone-c"}));
        CPPUNIT_ASSERT(fleet.commandOutput().find("zone/zone-c") != std::string::npos);
    }

    void keyedCallsRunAtMostOnce()
    {
        Fleet fleet(9, 3);
        fleet.startAll();
        const auto prefixOf = [&](int i) {
            const auto answer = fleet.ask(fleet.callerAddress(i), "GET", "/v1/entries");
            return json::parse(answer.body)["keyPrefix"].get<std::string>();
        };
        const auto call = [&](int i, const std::string &key, const std::string &id,
                              const std::string &path) {
            const std::string command = "curl -s -o /dev/null -w '%{http_code}' -X POST -H "
                                        "'Authorization: Bearer demo-key' -H "
                                        "'Dogwoodvalve-Request-Key: "
                + key + "' -H 'Test-Id: " + id + "' http://" + fleet.callerAddress(i)
                + "/services/forms" + path;
            FILE *pipe = ::popen(command.c_str(), "r");
            char text[16] = {};
            const std::size_t n = ::fread(text, 1, sizeof(text) - 1, pipe);
            ::pclose(pipe);
            return std::string(text, n);
        };
        const std::string own = prefixOf(0) + ".approval-0001";
        CPPUNIT_ASSERT_EQUAL(std::string("200"), call(0, own, "one", "/approve"));
        CPPUNIT_ASSERT_EQUAL(std::string("409"), call(0, own, "one", "/approve"));
        CPPUNIT_ASSERT_EQUAL(std::string("409"), call(1, own, "one", "/approve"));
        // A key of host 0 through host 2 runs, once, at host 0.
        const std::string crossed = prefixOf(0) + ".approval-0002";
        CPPUNIT_ASSERT_EQUAL(std::string("200"), call(2, crossed, "two", "/approve"));
        CPPUNIT_ASSERT_EQUAL(std::string("409"), call(0, crossed, "two", "/approve"));
        // The service drops the answer after it has acted.
        const std::string dropped = prefixOf(0) + ".approval-0003";
        CPPUNIT_ASSERT_EQUAL(std::string("502"), call(0, dropped, "three", "/test/drop"));
        CPPUNIT_ASSERT_EQUAL(std::string("409"), call(1, dropped, "three", "/test/drop"));
        // The host that issued the key dies while the call runs; nobody else runs it.
        const std::string orphan = prefixOf(1) + ".approval-0004";
        std::thread slow([&] { call(1, orphan, "four", "/test/slow/1500"); });
        Fleet::eventually("the call has begun", [&] {
            const json counts =
                json::parse(fleet.ask(fleet.serviceAddress(), "GET", "/test/counts").body);
            return counts.value("four", 0) == 1;
        });
        fleet.entry(1).signal(SIGKILL);
        slow.join();
        CPPUNIT_ASSERT_EQUAL(std::string("503"), call(0, orphan, "four", "/approve"));
        const json counts =
            json::parse(fleet.ask(fleet.serviceAddress(), "GET", "/test/counts").body);
        for (const char *id : {"one", "two", "three", "four"})
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id, 1, counts[id].get<int>());
    }

    void theCommandLineSaysWhatHappened()
    {
        Fleet fleet(10, 2);
        fleet.startAll();
        const auto expect = [&](int code, const std::vector<std::string> &arguments,
                                const std::string &text) {
            const int got = fleet.command(arguments);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(arguments.front() + ": " + fleet.commandOutput(), code,
                                         got);
            CPPUNIT_ASSERT_MESSAGE(fleet.commandOutput(),
                                   fleet.commandOutput().find(text) != std::string::npos);
        };
        const std::string bad = fleet.folder() + "/bad.yaml";
        std::ofstream(bad) << "kind: pool\nname: q\nspec:\n  servers: colour = red\n";
        expect(1, {"apply", bad}, "matches no server");
        expect(1, {"check", bad}, "matches no server");
        std::ofstream(bad) << "kind: pool\nname: q\nspec:\n  servers: all\n  color: red\n";
        expect(1, {"apply", bad}, "bad.yaml:5: key 'color': unknown key");
        std::ofstream(bad) << "kind: pool\nname: p\nversion: 99\nspec: {servers: role = engine}\n";
        expect(2, {"apply", bad}, "is at version");
        std::ofstream(bad) << "kind: zone\nname: zone-a\nremove: true\n";
        expect(2, {"apply", bad}, "still uses zone/zone-a");
        expect(1, {"status", "--colour=red"}, "takes no flag --colour");
        expect(1, {"status", "--output=xml"}, "unknown output");
        expect(4, {"status", "--token=wrong"}, "operator token is wrong");
        expect(4, {"status", "--entry=127.0.0.1:1"}, "check that the process");
        expect(0, {"status"}, "members:");
        expect(0, {"explain", "--pipeline=chat", "--workspace=demo"}, "engine-0-0");
        expect(1, {"explain", "--pipeline=none", "--workspace=demo"}, "no such pipeline");
        expect(0, {"drain", "--server=engine-0-0", "--wait"}, "in force on every live entry host");
        expect(0, {"explain", "--pipeline=chat", "--workspace=demo"}, "draining 1");
        expect(0, {"drain", "--server=engine-0-0", "--undo"}, "accepted");
        expect(0, {"apply", fleet.folder() + "/configuration.yaml"}, "nothing to change");
        expect(0, {"diff", fleet.folder() + "/configuration.yaml"}, "no difference");
        expect(0, {"check", "--settings=" + fleet.folder() + "/entry-0.yaml"}, "are good");
        expect(1, {"get", "--change=none"}, "no change 'none' is known");
    }

    void twoThousandStreamsOverOneEntryHost()
    {
        Fleet fleet(11, 1);
        fleet.engineBatch = 1000;
        fleet.startAll();
        const json report = fleet.load({"--burst", "2000", "--min_tokens", "4", "--max_tokens", "8",
                                        "--patience_seconds", "300"});
        const int pid = fleet.entry(0).pid();
        std::printf("\n2000 streams: complete=%d notRun=%d wrong=%d %s %s\n",
                    report["complete"].get<int>(), report["notRun"].get<int>(),
                    report["wrong"].get<int>(), statusLine(pid, "VmHWM").c_str(),
                    statusLine(pid, "Threads").c_str());
        expectAllComplete(report);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessTest);
