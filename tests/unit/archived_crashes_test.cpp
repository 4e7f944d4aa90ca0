#include "gateway/peers/host_digest_codec.h"

#include <dogwoodvalve/prompt_quarantine.h>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace dogwoodvalve;
using nlohmann::json;

namespace {

using Parts = std::vector<std::string>;

const Parts Crashing {"first", "bad"};
constexpr std::uint64_t Era = 3;

TimePoint at(Duration time)
{
    return TimePoint {} + 1h + time;
}

void crash(PromptQuarantine &quarantine, const std::string &server, const Parts &parts,
           Duration time)
{
    quarantine.recordCrash(server, 1, parts, true, at(time), at(time));
}

std::size_t unarchived(const PromptQuarantine &quarantine, Duration time, std::uint64_t era = Era)
{
    return quarantine.unarchived(era, at(time)).size();
}

/// Archives what the quarantine knows of all crashes.
void archive(PromptQuarantine &quarantine, Duration time)
{
    const std::vector<std::string> crashes = quarantine.unarchived(Era, at(time));
    quarantine.recordArchived(quarantine.reportsOn(crashes, at(time)), Era);
}

} // namespace

/// Which evidence on crashes has still to be archived.
class ArchivedCrashesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ArchivedCrashesTest);
    CPPUNIT_TEST(aCrashIsArchivedOnce);
    CPPUNIT_TEST(changedEvidenceIsArchivedAgain);
    CPPUNIT_TEST(evidenceThatComesDuringTheWriteIsNotArchived);
    CPPUNIT_TEST(whatClearsAnArchivedCrashIsArchived);
    CPPUNIT_TEST(aCrashThatWasClearedAtOnceNeedsNoArchive);
    CPPUNIT_TEST(aLaterEraNeedsEverythingAgain);
    CPPUNIT_TEST(hostsTellOneAnotherWhatIsArchived);
    CPPUNIT_TEST(digestsCarryTheEra);
    CPPUNIT_TEST(digestsOfEarlierVersionsAreRead);
    CPPUNIT_TEST_SUITE_END();

    void aCrashIsArchivedOnce()
    {
        PromptQuarantine quarantine;
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, unarchived(quarantine, 0s));
        crash(quarantine, "s1", Crashing, 0s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, unarchived(quarantine, 0s));
        archive(quarantine, 0s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, unarchived(quarantine, 1s));
        crash(quarantine, "s1", Crashing, 0s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, unarchived(quarantine, 1s));
    }

    void changedEvidenceIsArchivedAgain()
    {
        PromptQuarantine quarantine;
        crash(quarantine, "s1", Crashing, 0s);
        archive(quarantine, 0s);
        crash(quarantine, "s1", Parts {"other"}, 0s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, unarchived(quarantine, 1s));
        archive(quarantine, 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, unarchived(quarantine, 1s));
    }

    void evidenceThatComesDuringTheWriteIsNotArchived()
    {
        PromptQuarantine quarantine;
        crash(quarantine, "s1", Crashing, 0s);
        const CrashReports written =
            quarantine.reportsOn(quarantine.unarchived(Era, at(0s)), at(0s));
        crash(quarantine, "s1", Parts {"other"}, 0s);
        quarantine.recordArchived(written, Era);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, unarchived(quarantine, 1s));
    }

    void whatClearsAnArchivedCrashIsArchived()
    {
        PromptQuarantine quarantine;
        crash(quarantine, "s1", Crashing, 0s);
        archive(quarantine, 0s);
        quarantine.recordServed(Crashing, at(40s), at(41s));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, unarchived(quarantine, 41s));
        archive(quarantine, 41s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, unarchived(quarantine, 41s));
    }

    void aCrashThatWasClearedAtOnceNeedsNoArchive()
    {
        PromptQuarantine quarantine;
        crash(quarantine, "s1", Crashing, 0s);
        quarantine.recordServed(Crashing, at(100ms), at(700ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, unarchived(quarantine, 1s));
    }

    void aLaterEraNeedsEverythingAgain()
    {
        PromptQuarantine quarantine;
        crash(quarantine, "s1", Crashing, 0s);
        archive(quarantine, 0s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, unarchived(quarantine, 1s, Era + 1));
    }

    void hostsTellOneAnotherWhatIsArchived()
    {
        PromptQuarantine a;
        PromptQuarantine b;
        crash(a, "s1", Crashing, 0s);
        b.merge(a.reports(at(100ms)), at(100ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, unarchived(b, 100ms));
        archive(a, 200ms);
        b.merge(a.reports(at(300ms)), at(300ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, unarchived(b, 300ms));
        // What one of them knows and the other has not written stays to be archived.
        crash(b, "s1", Parts {"other"}, 0s);
        b.merge(a.reports(at(400ms)), at(400ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, unarchived(b, 400ms));
        a.merge(b.reports(at(500ms)), at(500ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, unarchived(a, 500ms));
    }

    static HostDigest digestOf(const PromptQuarantine &quarantine)
    {
        HostDigest digest;
        digest.name = "a";
        digest.crashes = quarantine.reports(at(1s));
        return digest;
    }

    void digestsCarryTheEra()
    {
        PromptQuarantine quarantine;
        crash(quarantine, "s1", Crashing, 0s);
        archive(quarantine, 0s);
        crash(quarantine, "s2", Crashing, 0s);
        const auto decoded = decodeDigest(encodeDigest(digestOf(quarantine)));
        CPPUNIT_ASSERT(decoded);
        const CrashReports &crashes = std::get<HostDigest>(decoded.value()).crashes;
        CPPUNIT_ASSERT(crashes.at("s1:1").archivedEra == std::optional(Era));
        CPPUNIT_ASSERT(!crashes.at("s2:1").archivedEra);
    }

    void digestsOfEarlierVersionsAreRead()
    {
        PromptQuarantine quarantine;
        crash(quarantine, "s1", Crashing, 0s);
        json value = json::from_cbor(encodeDigest(digestOf(quarantine)));
        // Their reports have two elements.
        value["c"]["s1:1"].erase(2);
        const auto decoded = decodeDigest(json::to_cbor(value));
        CPPUNIT_ASSERT(decoded);
        const CrashReport &report = std::get<HostDigest>(decoded.value()).crashes.at("s1:1");
        CPPUNIT_ASSERT(!report.archivedEra);
        CPPUNIT_ASSERT_EQUAL(Crashing.size(), report.parts.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ArchivedCrashesTest);
