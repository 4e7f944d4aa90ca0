#include "gateway/peers/host_digest_codec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace dogwoodvalve;

namespace {

constexpr Duration Age = 200ms;
constexpr Duration Delay = 3s;

HostDigest hostDigest()
{
    HostDigest digest;
    digest.configurationAge = Age;
    digest.registrationsAge = Age;
    digest.crashes["i-1:1"].age = Age;
    digest.rateLimits["i-1"].age = Age;
    return digest;
}

void checkHost(const HostDigest &digest)
{
    CPPUNIT_ASSERT(digest.configurationAge == Age + Delay);
    CPPUNIT_ASSERT(digest.registrationsAge == Age + Delay);
    CPPUNIT_ASSERT(digest.crashes.at("i-1:1").age == Age + Delay);
    CPPUNIT_ASSERT(digest.rateLimits.at("i-1").age == Age + Delay);
}

} // namespace

/// Digests that have waited in the socket of a frozen process.
class DigestDelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DigestDelayTest);
    CPPUNIT_TEST(allAgesOfAHostGrow);
    CPPUNIT_TEST(allAgesOfARelayGrow);
    CPPUNIT_TEST_SUITE_END();

    /// Crashes and limits of servers seemed to be as new as when the digest was sent.
    void allAgesOfAHostGrow()
    {
        PeerDigest digest = hostDigest();
        addDelay(digest, Delay);
        checkHost(std::get<HostDigest>(digest));
    }

    void allAgesOfARelayGrow()
    {
        RelayDigest relayed;
        relayed.relay = hostDigest();
        relayed.slowness["i-1"].age = Age;
        relayed.failedProbes["i-1"]["host-2"] = Age;
        relayed.crashes["i-1:1"].age = Age;
        relayed.rateLimits["i-1"].age = Age;
        relayed.roster.emplace_back().age = Age;
        PeerDigest digest = relayed;
        addDelay(digest, Delay);
        const auto &delayed = std::get<RelayDigest>(digest);
        checkHost(delayed.relay);
        CPPUNIT_ASSERT(delayed.slowness.at("i-1").age == Age + Delay);
        CPPUNIT_ASSERT(delayed.failedProbes.at("i-1").at("host-2") == Age + Delay);
        CPPUNIT_ASSERT(delayed.crashes.at("i-1:1").age == Age + Delay);
        CPPUNIT_ASSERT(delayed.rateLimits.at("i-1").age == Age + Delay);
        CPPUNIT_ASSERT(delayed.roster.front().age == Age + Delay);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DigestDelayTest);
