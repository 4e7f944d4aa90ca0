#include "process/broken_answers.h"
#include "process/relayed_host.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <mutex>

using namespace dogwoodvalve;
using namespace dogwoodvalve::process;

namespace {

/// A gateway host, and servers that give named answers: to each request with an id like
/// "blank.always.1", or only to the first one with "blank.once.1".
class BrokenServers
{
public:
    BrokenServers()
        : m_host(
            "broken", 26'400, [this](std::string_view head) { return answerTo(head); },
            "retries: {windowS: 5, ratio: 1, slack: 400}\n")
    { }

    /// Sends a request to the host and returns all bytes of the answer.
    std::string ask(const std::string &target, const std::string &id,
                    std::size_t uploadBytes = 0) const
    {
        return rawAnswer(m_host.front(),
                         platformRequest(uploadBytes > 0 ? "POST" : "GET", target, id),
                         uploadBytes);
    }
    /// The same as another host that has the request forwarded.
    std::string askAsPeer(const std::string &target, const std::string &id,
                          std::size_t uploadBytes = 0) const
    {
        return rawAnswer(m_host.peer(),
                         platformRequest(uploadBytes > 0 ? "POST" : "GET", target, id),
                         uploadBytes);
    }

    /// How often a server got the request with this id.
    int arrivals(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals[id];
    }

    /// Sends sound requests until the host uses the servers again.
    void recover() const
    {
        m_host.awaitServed("/generate/", 2);
        m_host.awaitServed("/read/", 10);
    }

private:
    std::optional<testtool::RelayAnswer> answerTo(std::string_view head)
    {
        const std::string id = fieldIn(head, "X-Request-Id");
        const std::lock_guard lock(m_mutex);
        const int arrivals = ++m_arrivals[id];
        if (arrivals > 1 && contains(id, ".once."))
            return std::nullopt;
        return namedAnswer(id);
    }

    std::mutex m_mutex;
    std::map<std::string, int> m_arrivals;
    RelayedHost m_host;
};

/// A failure of the host's own that says nothing more than the host knows.
void assertOwnFailure(const std::string &id, const std::string &answer)
{
    CPPUNIT_ASSERT_MESSAGE(id + ": " + answer, startsWith(answer, "HTTP/1.1 502 "));
    CPPUNIT_ASSERT_MESSAGE(id + ": " + answer, !contains(answer, "X-Server-Stamp"));
    CPPUNIT_ASSERT_MESSAGE(id + ": " + answer, contains(answer, "\"outcome\":\"unknown\""));
}

} // namespace

/// Broken answers of servers, before a gateway host as a real process.
class BrokenAnswersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BrokenAnswersTest);
    CPPUNIT_TEST(brokenHeadsAreNoAnswers);
    CPPUNIT_TEST(answersThatAreResetDuringTheUploadAreNotWhole);
    CPPUNIT_TEST(earlyAnswersArePassedOn);
    CPPUNIT_TEST(forwardedBrokenAnswersAreLost);
    CPPUNIT_TEST_SUITE_END();

    void brokenHeadsAreNoAnswers()
    {
        BrokenServers servers;
        servers.recover();
        for (const std::string &form : brokenHeads()) {
            const std::string id = form + ".always.";
            for (const auto &[target, arrivals] :
                 {std::pair("/read/", 2), {"/write/", 1}, {"/generate/", 2}, {"/once/", 1}}) {
                assertOwnFailure(id + target, servers.ask(target + form, id + target));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(id + target, arrivals, servers.arrivals(id + target));
            }
            servers.recover();
            const std::string once = form + ".once.";
            const std::string read = servers.ask("/read/" + form, once + "read");
            CPPUNIT_ASSERT_MESSAGE(read, startsWith(read, "HTTP/1.1 200 "));
            CPPUNIT_ASSERT_MESSAGE(read, contains(read, "served /read/" + form));
            const std::string stream = servers.ask("/generate/" + form, once + "stream");
            CPPUNIT_ASSERT_MESSAGE(stream,
                                   contains(stream, "/20\n") && contains(stream, LastChunk));
            servers.recover();
        }
    }

    void answersThatAreResetDuringTheUploadAreNotWhole()
    {
        BrokenServers servers;
        servers.recover();
        for (const auto &[target, arrivals] : {std::pair("/read/x", 2), {"/write/x", 1}}) {
            const std::string id = std::string("reset.always.") + target;
            assertOwnFailure(id, servers.ask(target, id, UploadBytes));
            CPPUNIT_ASSERT_EQUAL(arrivals, servers.arrivals(id));
            servers.recover();
        }
        const std::string read = servers.ask("/read/x", "reset.once.read", UploadBytes);
        CPPUNIT_ASSERT_MESSAGE(read, startsWith(read, "HTTP/1.1 200 "));
        const std::string resumed = servers.ask("/generate/x", "events.once.1", UploadBytes);
        CPPUNIT_ASSERT_MESSAGE(resumed, contains(resumed, "events.once.1/2\n"));
        CPPUNIT_ASSERT_MESSAGE(
            resumed, contains(resumed, "events.once.1/20\n") && contains(resumed, LastChunk));
        const std::string cut = servers.ask("/once/x", "events.once.2", UploadBytes);
        CPPUNIT_ASSERT_MESSAGE(cut, contains(cut, "events.once.2/2\n"));
        CPPUNIT_ASSERT_MESSAGE(cut, !contains(cut, LastChunk));
        CPPUNIT_ASSERT_EQUAL(1, servers.arrivals("events.once.2"));
    }

    void earlyAnswersArePassedOn()
    {
        BrokenServers servers;
        servers.recover();
        for (const std::string &form : earlyAnswers()) {
            const std::string early = servers.ask("/write/x", form + ".always.1", UploadBytes);
            CPPUNIT_ASSERT_MESSAGE(early, startsWith(early, "HTTP/1.1 200 "));
            CPPUNIT_ASSERT_MESSAGE(early, contains(early, "X-Server-Stamp: s\r\n"));
            CPPUNIT_ASSERT_MESSAGE(early, contains(early, "\r\n\r\nwhole"));
        }
    }

    /// The host reads these answers for another one.
    void forwardedBrokenAnswersAreLost()
    {
        BrokenServers servers;
        servers.recover();
        const std::string target = "/forward/service-1/0/read/x";
        const std::string sound = servers.askAsPeer(target, "sound");
        CPPUNIT_ASSERT_MESSAGE(sound, contains(sound, "Forward-Outcome: answered"));
        for (const std::string &form : brokenHeads()) {
            const std::string lost = servers.askAsPeer(target, form + ".always.1");
            CPPUNIT_ASSERT_MESSAGE(lost, startsWith(lost, "HTTP/1.1 502 "));
            CPPUNIT_ASSERT_MESSAGE(lost, contains(lost, "Forward-Outcome: lost"));
            CPPUNIT_ASSERT_MESSAGE(lost, !contains(lost, "X-Server-Stamp"));
        }
        const std::string cut = servers.askAsPeer(target, "reset.always.1", UploadBytes);
        CPPUNIT_ASSERT_MESSAGE(cut, contains(cut, "part") && !contains(cut, LastChunk));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenAnswersTest);
