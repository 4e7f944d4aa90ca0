#include "gateway/peers/host_digest_codec.h"
#include "gateway/servers/forwarding.h"
#include "net/http_text.h"

#include <dogwoodvalve/host_table.h>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace dogwoodvalve;
using nlohmann::json;

/// What hosts say to one another about requests that they forward.
class ForwardingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ForwardingTest);
    CPPUNIT_TEST(targetsAreRestored);
    CPPUNIT_TEST(unreadableTargetsNameNoServer);
    CPPUNIT_TEST(answersAreRestored);
    CPPUNIT_TEST(serversCanNotForgeAnOutcome);
    CPPUNIT_TEST(otherAnswersCountAsRefused);
    CPPUNIT_TEST(pausesAreRestored);
    CPPUNIT_TEST(digestsTellOfLostLinks);
    CPPUNIT_TEST(digestsOfEarlierVersionsAreReadable);
    CPPUNIT_TEST(lookUpsNameCutOffHostsOnlyIfAllAre);
    CPPUNIT_TEST_SUITE_END();

    void targetsAreRestored()
    {
        const auto encoded = encodeForwardTarget({"i-7f", 12, "/a/b?c=/d"});
        CPPUNIT_ASSERT(encoded);
        const auto decoded = decodeForwardTarget(encoded.value());
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT_EQUAL(std::string("i-7f"), decoded->server);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(12), decoded->startedAtMs);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c=/d"), decoded->target);
    }

    void unreadableTargetsNameNoServer()
    {
        CPPUNIT_ASSERT(!encodeForwardTarget({"a/b", 0, "/x"}));
        CPPUNIT_ASSERT(!encodeForwardTarget({"", 0, "/x"}));
        CPPUNIT_ASSERT(!encodeForwardTarget({"a", 0, "*"}));
        for (const char *target : {"", "/", "/forward", "/forward/", "/forward/a", "/forward/a/",
                                   "/forward/a/1", "/forward/a/x/y", "/forward//1/y",
                                   "/forward/a b/1/y", "/forward/a/99999999999999999999/y"})
            CPPUNIT_ASSERT_MESSAGE(target, !decodeForwardTarget(target));
    }

    void answersAreRestored()
    {
        const std::vector<HttpField> fields {
            {"Content-Length", "5"}, {"X-Server-Stamp", "s"}, {"Connection", "close"}};
        std::vector<HttpField> sent = forwardedAnswerFields(fields);
        CPPUNIT_ASSERT(findField(sent, "Content-Length").empty());
        sent.push_back({"Transfer-Encoding", "chunked"});
        CPPUNIT_ASSERT(decodeForwardOutcome(sent) == ForwardOutcome::Answered);
        const std::vector<HttpField> restored = restoreAnswerFields(sent);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), restored.size());
        CPPUNIT_ASSERT_EQUAL(std::string_view("5"), findField(restored, "Content-Length"));
        CPPUNIT_ASSERT_EQUAL(std::string_view("s"), findField(restored, "X-Server-Stamp"));
    }

    void serversCanNotForgeAnOutcome()
    {
        const std::vector<HttpField> fields {{"forward-outcome", "refused"}};
        CPPUNIT_ASSERT(decodeForwardOutcome(forwardedAnswerFields(fields))
                       == ForwardOutcome::Answered);
    }

    void otherAnswersCountAsRefused()
    {
        CPPUNIT_ASSERT(decodeForwardOutcome({}) == ForwardOutcome::Refused);
        for (const auto outcome :
             {ForwardOutcome::Answered, ForwardOutcome::Unreachable, ForwardOutcome::TimedOut,
              ForwardOutcome::LinksUnproven, ForwardOutcome::Lost, ForwardOutcome::Paused,
              ForwardOutcome::Unavailable, ForwardOutcome::Refused})
            CPPUNIT_ASSERT(decodeForwardOutcome(forwardOutcomeFields(outcome)) == outcome);
    }

    void pausesAreRestored()
    {
        const std::vector<HttpField> fields = forwardPauseFields(9200ms);
        CPPUNIT_ASSERT(decodeForwardOutcome(fields) == ForwardOutcome::Paused);
        CPPUNIT_ASSERT(decodeForwardPause(fields) == 9200ms);
        // Earlier versions do not tell it.
        CPPUNIT_ASSERT(decodeForwardPause(forwardOutcomeFields(ForwardOutcome::Paused)) == 0ms);
        for (const char *text : {"", "-1", "2s", "99999999999"})
            CPPUNIT_ASSERT(decodeForwardPause(std::vector<HttpField> {{"Forward-Pause-Ms", text}})
                           == 0ms);
    }

    static HostDigest hostDigest(const std::string &name, bool cutOff)
    {
        HostDigest digest;
        digest.name = name;
        digest.zone = "a";
        digest.callerAddress = name + ":80";
        digest.sequence = 1;
        digest.ready = true;
        digest.cutOff = cutOff;
        return digest;
    }

    void digestsTellOfLostLinks()
    {
        for (const bool cutOff : {false, true}) {
            const auto decoded = decodeDigest(encodeDigest(hostDigest("h", cutOff)));
            CPPUNIT_ASSERT(decoded);
            CPPUNIT_ASSERT_EQUAL(cutOff, std::get<HostDigest>(decoded.value()).cutOff);
        }
    }

    void digestsOfEarlierVersionsAreReadable()
    {
        json value = json::from_cbor(encodeDigest(hostDigest("h", true)));
        // They know neither lost links nor the time since a host's start.
        value["n"].erase(value["n"].size() - 1);
        value["n"].erase(value["n"].size() - 1);
        const auto decoded = decodeDigest(json::to_cbor(value));
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT(!std::get<HostDigest>(decoded.value()).cutOff);
    }

    void lookUpsNameCutOffHostsOnlyIfAllAre()
    {
        const TimePoint now = TimePoint {} + 100s;
        HostTable table("a");
        table.applyDigest(hostDigest("b", false), now);
        table.applyDigest(hostDigest("c", true), now);
        using Addresses = std::vector<std::string>;
        CPPUNIT_ASSERT((Addresses {"b:80"})
                       == chooseCallerAddresses(hostDigest("a", true), table, "a", now));
        HostDigest digest = hostDigest("b", true);
        digest.sequence = 2;
        table.applyDigest(digest, now);
        CPPUNIT_ASSERT((Addresses {"a:80", "b:80", "c:80"})
                       == chooseCallerAddresses(hostDigest("a", true), table, "a", now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardingTest);
