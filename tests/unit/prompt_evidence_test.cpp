#include "gateway/peers/host_digest_codec.h"

#include <dogwoodvalve/prompt_quarantine.h>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace dogwoodvalve;

namespace {

using Parts = std::vector<std::string>;

const Parts Crashing {"first", "bad"};
const Parts Sound {"first", "good"};
/// Time in which all hosts report on a crash, with a margin.
constexpr Duration Settled = 2s;

TimePoint at(Duration time)
{
    return TimePoint {} + 1h + time;
}

/// A crash of a server that had begun to answer a prompt and delivered nothing of it.
void crash(PromptQuarantine &quarantine, const std::string &server, const Parts &parts,
           Duration time)
{
    quarantine.recordCrash(server, 1, parts, true, at(time), at(time));
}

/// A crash of a server that had delivered a little of its answer to a prompt.
void crashBeside(PromptQuarantine &quarantine, const std::string &server, const Parts &parts,
                 Duration time)
{
    quarantine.recordCrash(server, 1, parts, false, at(time), at(time));
}

void serve(PromptQuarantine &quarantine, const Parts &parts, Duration begun)
{
    quarantine.recordServed(parts, at(begun), at(begun) + PromptQuarantine::BeginningTime);
}

/// A crash of a server on which a request was a trial of a part.
void crashTrial(PromptQuarantine &quarantine, const std::string &server, const Parts &parts,
                const std::string &tried, Duration time)
{
    quarantine.recordCrash(server, 1, parts, true, at(time), at(time), tried);
}

bool quarantined(const PromptQuarantine &quarantine, const std::string &part, Duration time)
{
    return quarantine.find(Parts {part}, at(time)).has_value();
}

/// Whether requests with the part are tried or stopped.
bool blamed(const PromptQuarantine &quarantine, const std::string &part, Duration time)
{
    return quarantined(quarantine, part, time)
        || quarantine.findDoubtful(Parts {part}, at(time)).has_value();
}

} // namespace

/// What speaks against parts of prompts, and for them.
class PromptEvidenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PromptEvidenceTest);
    CPPUNIT_TEST(aPartOfTwoCrashesIsQuarantined);
    CPPUNIT_TEST(aPartInDoubtIsQuarantinedWhenItsTrialCrashes);
    CPPUNIT_TEST(aPartInDoubtIsReleasedWhenItsTrialIsAnswered);
    CPPUNIT_TEST(onlyTheTriedPartIsQuarantinedByATrial);
    CPPUNIT_TEST(aPartThatStaysInDoubtAfterFiveCrashesIsQuarantined);
    CPPUNIT_TEST(aRequestIsQuarantinedWithoutATrial);
    CPPUNIT_TEST(severalPromptsOnOneServerAreOneCrash);
    CPPUNIT_TEST(serversThatCrashTogetherAreOneCrash);
    CPPUNIT_TEST(aPartThatIsAnsweredAfterwardsIsCleared);
    CPPUNIT_TEST(aSharedFirstPartIsNotBlamed);
    CPPUNIT_TEST(aPartIsBlamedBeforeTheRequestsThatHaveIt);
    CPPUNIT_TEST(aRequestIsASuspectForAWhile);
    CPPUNIT_TEST(aPartThatTurnsBadIsQuarantined);
    CPPUNIT_TEST(aDisturbanceOfManyServersBlamesNoAnsweredPart);
    CPPUNIT_TEST(anAnswerThatHadDeliveredEventsIsNotBlamedBesideOneThatHadNot);
    CPPUNIT_TEST(aCrowdOfOtherPromptsDoesNotHideTheCause);
    CPPUNIT_TEST(answersThatHadDeliveredEventsAreBlamedOnceAllHostsHaveReported);
    CPPUNIT_TEST(twoBadPartsAreBothQuarantined);
    CPPUNIT_TEST(hostsThatExchangeReportsAgree);
    CPPUNIT_TEST(aHostThatHasServedAPartClearsItForAll);
    CPPUNIT_TEST(reportsThatArePassedOnGrowOld);
    CPPUNIT_TEST(aQuarantineEnds);
    CPPUNIT_TEST(manyOtherCrashesDoNotEndAQuarantine);
    CPPUNIT_TEST(reportsAreBounded);
    CPPUNIT_TEST(digestsCarryCrashes);
    CPPUNIT_TEST(aReportedCrashIsNotInTheFuture);
    CPPUNIT_TEST_SUITE_END();

    void aPartIsBlamedBeforeTheRequestsThatHaveIt()
    {
        PromptQuarantine quarantine;
        crash(quarantine, "s", {"request:1", "bad"}, 0s);
        crash(quarantine, "t", {"request:1", "bad"}, 1s);
        CPPUNIT_ASSERT(blamed(quarantine, "bad", 1s));
        CPPUNIT_ASSERT(!quarantined(quarantine, "request:1", 1s));
        // An answered part needs more evidence than a request that was never answered.
        serve(quarantine, {"request:2", "good"}, 2s);
        crash(quarantine, "u", {"request:3", "good"}, 3s);
        crash(quarantine, "v", {"request:3", "good"}, 4s);
        CPPUNIT_ASSERT(quarantined(quarantine, "request:3", 4s));
        CPPUNIT_ASSERT(!blamed(quarantine, "good", 4s));
    }

    void aRequestIsASuspectForAWhile()
    {
        PromptQuarantine quarantine;
        crash(quarantine, "s", {"request:1"}, 10s);
        CPPUNIT_ASSERT(quarantine.isSuspect("request:1", at(10s)));
        CPPUNIT_ASSERT(!quarantine.isSuspect("request:1", at(11s)));
        CPPUNIT_ASSERT(!quarantine.isSuspect("request:2", at(10s)));
        serve(quarantine, {"request:1"}, 12s);
        CPPUNIT_ASSERT(!quarantine.isSuspect("request:1", at(10s)));
    }

    void aReportedCrashIsNotInTheFuture()
    {
        HostDigest digest;
        digest.crashes["s:1"] = {1s, {{"bad", {}}}};
        nlohmann::json value = nlohmann::json::from_cbor(encodeDigest(digest));
        value["c"]["s:1"][0] = -60'000;
        const auto decoded = decodeDigest(nlohmann::json::to_cbor(value));
        CPPUNIT_ASSERT(std::get<HostDigest>(decoded.value()).crashes.at("s:1").age == 0s);
    }

    void aPartOfTwoCrashesIsQuarantined()
    {
        PromptQuarantine quarantine;
        serve(quarantine, Sound, -10s);
        crash(quarantine, "s1", Crashing, 0s);
        CPPUNIT_ASSERT(!blamed(quarantine, "bad", 0s));
        crash(quarantine, "s2", Crashing, 50ms);
        CPPUNIT_ASSERT(blamed(quarantine, "bad", 50ms));
        CPPUNIT_ASSERT(!blamed(quarantine, "first", 50ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, quarantine.takeChanges().doubted.size());
    }

    void aPartInDoubtIsQuarantinedWhenItsTrialCrashes()
    {
        PromptQuarantine quarantine;
        serve(quarantine, Sound, -10s);
        crash(quarantine, "s1", Crashing, 0s);
        crash(quarantine, "s2", Crashing, 50ms);
        CPPUNIT_ASSERT(!quarantined(quarantine, "bad", 50ms));
        crashTrial(quarantine, "s3", Crashing, "bad", 500ms);
        CPPUNIT_ASSERT(quarantined(quarantine, "bad", 500ms));
        PromptQuarantine other;
        other.merge(quarantine.reports(at(600ms)), at(600ms));
        CPPUNIT_ASSERT(quarantined(other, "bad", 600ms));
    }

    void aPartInDoubtIsReleasedWhenItsTrialIsAnswered()
    {
        PromptQuarantine quarantine;
        crash(quarantine, "s1", Sound, 0s);
        crash(quarantine, "s2", Sound, 100ms);
        CPPUNIT_ASSERT(blamed(quarantine, "good", 100ms));
        serve(quarantine, Sound, 200ms);
        CPPUNIT_ASSERT(!blamed(quarantine, "good", 700ms));
        CPPUNIT_ASSERT(!blamed(quarantine, "first", 700ms));
    }

    void onlyTheTriedPartIsQuarantinedByATrial()
    {
        PromptQuarantine quarantine;
        const Parts parts {"first", "middle", "bad"};
        crash(quarantine, "s1", parts, 0s);
        crash(quarantine, "s2", parts, 100ms);
        crashTrial(quarantine, "s3", parts, "bad", 500ms);
        CPPUNIT_ASSERT(quarantined(quarantine, "bad", 500ms));
        CPPUNIT_ASSERT(!blamed(quarantine, "first", 500ms));
        CPPUNIT_ASSERT(!blamed(quarantine, "middle", 500ms));
    }

    void aPartThatStaysInDoubtAfterFiveCrashesIsQuarantined()
    {
        PromptQuarantine quarantine;
        serve(quarantine, Sound, -10s);
        for (int i = 0; i < 5; ++i)
            crash(quarantine, "s" + std::to_string(i), Crashing, i * 200ms);
        CPPUNIT_ASSERT(!quarantined(quarantine, "bad", 1s));
        quarantine.refresh(at(3s));
        CPPUNIT_ASSERT(quarantined(quarantine, "bad", 3s));
    }

    void aRequestIsQuarantinedWithoutATrial()
    {
        PromptQuarantine quarantine;
        serve(quarantine, Sound, -10s);
        const Parts request {"request:1", "first", "good"};
        crash(quarantine, "s1", request, 0s);
        crash(quarantine, "s2", request, 100ms);
        CPPUNIT_ASSERT(quarantined(quarantine, "request:1", 100ms));
    }

    void severalPromptsOnOneServerAreOneCrash()
    {
        PromptQuarantine quarantine;
        crash(quarantine, "s1", Crashing, 0s);
        crash(quarantine, "s1", Crashing, 200ms);
        CPPUNIT_ASSERT(!blamed(quarantine, "bad", 10s));
    }

    void serversThatCrashTogetherAreOneCrash()
    {
        PromptQuarantine quarantine;
        for (int i = 0; i < 5; ++i)
            crash(quarantine, "s" + std::to_string(i), Crashing, i * 3ms);
        CPPUNIT_ASSERT(!blamed(quarantine, "bad", 10s));
    }

    void aPartThatIsAnsweredAfterwardsIsCleared()
    {
        PromptQuarantine quarantine;
        crash(quarantine, "s1", Sound, 0s);
        serve(quarantine, Sound, 10ms);
        crash(quarantine, "s2", Sound, 700ms);
        CPPUNIT_ASSERT(!blamed(quarantine, "good", 1s));
        crash(quarantine, "s3", Sound, 900ms);
        crash(quarantine, "s4", Sound, 950ms);
        serve(quarantine, Sound, 1s);
        CPPUNIT_ASSERT(!blamed(quarantine, "good", 2s));
    }

    void aSharedFirstPartIsNotBlamed()
    {
        PromptQuarantine quarantine;
        serve(quarantine, Sound, -10s);
        for (int i = 0; i < 6; ++i) {
            crash(quarantine, "s" + std::to_string(i), Crashing, i * 400ms);
            CPPUNIT_ASSERT(!blamed(quarantine, "first", i * 400ms));
        }
    }

    void aPartThatTurnsBadIsQuarantined()
    {
        PromptQuarantine quarantine;
        serve(quarantine, Crashing, -1s);
        serve(quarantine, Sound, -1s);
        crash(quarantine, "s1", Crashing, 0s);
        crash(quarantine, "s2", Crashing, 200ms);
        CPPUNIT_ASSERT(!blamed(quarantine, "bad", 200ms));
        crash(quarantine, "s3", Crashing, 400ms);
        CPPUNIT_ASSERT(blamed(quarantine, "bad", 400ms));
        CPPUNIT_ASSERT(!blamed(quarantine, "first", 400ms));
    }

    void aDisturbanceOfManyServersBlamesNoAnsweredPart()
    {
        PromptQuarantine quarantine;
        serve(quarantine, Sound, -1s);
        for (int i = 0; i < 20; ++i)
            crash(quarantine, "s" + std::to_string(i), Sound, i * 5ms);
        CPPUNIT_ASSERT(!blamed(quarantine, "first", 10s));
        CPPUNIT_ASSERT(!blamed(quarantine, "good", 10s));
    }

    void anAnswerThatHadDeliveredEventsIsNotBlamedBesideOneThatHadNot()
    {
        PromptQuarantine quarantine;
        serve(quarantine, Sound, -10s);
        for (int i = 0; i < 2; ++i) {
            crashBeside(quarantine, "s" + std::to_string(i), Parts {"bystander"}, i * 400ms);
            crash(quarantine, "s" + std::to_string(i), Crashing, i * 400ms);
        }
        quarantine.refresh(at(Settled));
        CPPUNIT_ASSERT(blamed(quarantine, "bad", Settled));
        CPPUNIT_ASSERT(!blamed(quarantine, "bystander", Settled));
    }

    void aCrowdOfOtherPromptsDoesNotHideTheCause()
    {
        PromptQuarantine quarantine;
        PromptQuarantine other;
        for (int i = 0; i < 2; ++i) {
            const std::string server = "s" + std::to_string(i);
            for (int k = 0; k < 40; ++k)
                crashBeside(quarantine, server, Parts {"p" + std::to_string(i * 100 + k)},
                            i * 400ms);
            crash(other, server, Crashing, i * 400ms);
        }
        quarantine.merge(other.reports(at(500ms)), at(500ms));
        CPPUNIT_ASSERT(blamed(quarantine, "bad", 500ms));
    }

    void answersThatHadDeliveredEventsAreBlamedOnceAllHostsHaveReported()
    {
        PromptQuarantine quarantine;
        crashBeside(quarantine, "s1", Parts {"bad"}, 0s);
        crashBeside(quarantine, "s2", Parts {"bad"}, 400ms);
        CPPUNIT_ASSERT(!blamed(quarantine, "bad", 400ms));
        quarantine.refresh(at(Settled));
        CPPUNIT_ASSERT(blamed(quarantine, "bad", Settled));
    }

    void twoBadPartsAreBothQuarantined()
    {
        PromptQuarantine quarantine;
        serve(quarantine, Sound, -10s);
        crash(quarantine, "s1", Crashing, 0s);
        crash(quarantine, "s2", Parts {"first", "worse"}, 100ms);
        crash(quarantine, "s3", Crashing, 200ms);
        crash(quarantine, "s4", Parts {"first", "worse"}, 300ms);
        CPPUNIT_ASSERT(blamed(quarantine, "bad", 300ms));
        CPPUNIT_ASSERT(blamed(quarantine, "worse", 300ms));
        CPPUNIT_ASSERT(!blamed(quarantine, "first", 300ms));
    }

    void hostsThatExchangeReportsAgree()
    {
        PromptQuarantine a;
        PromptQuarantine b;
        serve(b, Sound, -10s);
        crash(a, "s1", Crashing, 0s);
        crash(b, "s2", Crashing, 100ms);
        a.merge(b.reports(at(200ms)), at(200ms));
        b.merge(a.reports(at(200ms)), at(200ms));
        CPPUNIT_ASSERT(blamed(a, "bad", 200ms));
        CPPUNIT_ASSERT(blamed(b, "bad", 200ms));
        CPPUNIT_ASSERT(!blamed(a, "first", 200ms));
        CPPUNIT_ASSERT(!blamed(b, "first", 200ms));
        a.merge(b.reports(at(300ms)), at(300ms));
        CPPUNIT_ASSERT(a.takeReportsChanged());
        b.merge(a.reports(at(400ms)), at(400ms));
        a.merge(b.reports(at(400ms)), at(400ms));
        CPPUNIT_ASSERT(!a.takeReportsChanged());
    }

    void aHostThatHasServedAPartClearsItForAll()
    {
        PromptQuarantine a;
        PromptQuarantine b;
        crash(a, "s1", Sound, 0s);
        crash(a, "s2", Sound, 100ms);
        CPPUNIT_ASSERT(blamed(a, "good", 100ms));
        serve(b, Sound, 200ms);
        b.merge(a.reports(at(1s)), at(1s));
        CPPUNIT_ASSERT(!blamed(b, "good", 1s));
        a.merge(b.reports(at(1s)), at(1s));
        CPPUNIT_ASSERT(!blamed(a, "good", 1s));
        CPPUNIT_ASSERT(a.takeChanges().removed.size() == 1);
    }

    void reportsThatArePassedOnGrowOld()
    {
        PromptQuarantine a;
        PromptQuarantine b;
        crash(a, "s1", Crashing, 0s);
        for (int i = 1; i <= 100; ++i) {
            b.merge(a.reports(at(i * 1s)), at(i * 1s + 10ms));
            a.merge(b.reports(at(i * 1s)), at(i * 1s + 20ms));
        }
        CPPUNIT_ASSERT(b.reports(at(100s)).begin()->second.age >= 99s);
        CPPUNIT_ASSERT(a.reports(at(100s)).begin()->second.age >= 99s);
    }

    void aQuarantineEnds()
    {
        PromptQuarantine quarantine;
        crash(quarantine, "s1", Crashing, 0s);
        crash(quarantine, "s2", Crashing, 1s);
        quarantine.refresh(at(PromptQuarantine::CrashRetention - 1s));
        CPPUNIT_ASSERT(blamed(quarantine, "bad", PromptQuarantine::CrashRetention - 1s));
        quarantine.refresh(at(PromptQuarantine::CrashRetention + 2s));
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, quarantine.quarantinedParts());
        CPPUNIT_ASSERT(quarantine.reports(at(PromptQuarantine::CrashRetention + 2s)).empty());
    }

    void manyOtherCrashesDoNotEndAQuarantine()
    {
        PromptQuarantine quarantine;
        serve(quarantine, Sound, -10s);
        crash(quarantine, "s1", Crashing, 0s);
        crash(quarantine, "s2", Crashing, 400ms);
        for (int i = 0; i < 200; ++i)
            crash(quarantine, "other" + std::to_string(i), Parts {"p" + std::to_string(i)}, 1s);
        CPPUNIT_ASSERT(blamed(quarantine, "bad", Settled));
        PromptQuarantine started;
        started.merge(quarantine.reports(at(Settled)), at(Settled));
        CPPUNIT_ASSERT(blamed(started, "bad", Settled));
    }

    void reportsAreBounded()
    {
        PromptQuarantine quarantine;
        for (int i = 0; i < 500; ++i) {
            Parts parts;
            for (int k = 0; k < 40; ++k)
                parts.push_back("p" + std::to_string(i * 100 + k));
            crash(quarantine, "s" + std::to_string(i), parts, i * 1ms);
        }
        const CrashReports reports = quarantine.reports(at(1s));
        CPPUNIT_ASSERT_LESSEQUAL(PromptQuarantine::MaxReportedCrashes, reports.size());
        for (const auto &[server, report] : reports)
            CPPUNIT_ASSERT_LESSEQUAL(PromptQuarantine::MaxPartsPerCrash, report.parts.size());
    }

    void digestsCarryCrashes()
    {
        PromptQuarantine quarantine;
        serve(quarantine, Sound, -10s);
        crash(quarantine, "s1", Crashing, 0s);
        HostDigest digest;
        digest.name = "a";
        digest.crashes = quarantine.reports(at(1500ms));
        const auto decoded = decodeDigest(encodeDigest(digest));
        CPPUNIT_ASSERT(decoded);
        const CrashReports &crashes = std::get<HostDigest>(decoded.value()).crashes;
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, crashes.size());
        const CrashReport &report = crashes.at("s1:1");
        CPPUNIT_ASSERT(report.age == 1500ms);
        CPPUNIT_ASSERT(report.parts == digest.crashes.at("s1:1").parts);
        CPPUNIT_ASSERT(report.parts.at("first").standing == PartStanding::ServedBefore);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptEvidenceTest);
