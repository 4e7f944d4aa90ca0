#include "codec/change_codec.h"
#include "test_objects.h"

#include <dogwoodvalve/configuration.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace dogwoodvalve;
using namespace dogwoodvalve::testing;
using nlohmann::json;

/// Applying changes, snapshots, decoding of specs and compiled configurations.
class ConfigurationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationTest);
    CPPUNIT_TEST(appliesInOrderOnly);
    CPPUNIT_TEST(oneOfTwoConcurrentChangesIsAccepted);
    CPPUNIT_TEST(sameIdIsAppliedOnce);
    CPPUNIT_TEST(changesAreAllOrNothing);
    CPPUNIT_TEST(referencesAreChecked);
    CPPUNIT_TEST(snapshotsAreDeterministicAndComplete);
    CPPUNIT_TEST(snapshotPartsAreReassembled);
    CPPUNIT_TEST(unknownKeysAndInvalidValuesAreRejected);
    CPPUNIT_TEST(compilesCandidatesByPlacement);
    CPPUNIT_TEST(cutsLargePoolsToASubset);
    CPPUNIT_TEST(reportsSelectorsThatMatchNothing);
    CPPUNIT_TEST_SUITE_END();

    static ChangeOutcome apply(ConfigurationState &state, const Change &change)
    {
        return state.apply(state.nextOffset(), change).value();
    }

    void appliesInOrderOnly()
    {
        ConfigurationState state;
        CPPUNIT_ASSERT(!state.apply(1, smallFleet()));
        CPPUNIT_ASSERT(state.apply(0, smallFleet()).value().accepted);
        CPPUNIT_ASSERT(!state.apply(0, smallFleet()));
        CPPUNIT_ASSERT_EQUAL(LogOffset(1), state.nextOffset());
        CPPUNIT_ASSERT(state.skip(1));
        CPPUNIT_ASSERT_EQUAL(LogOffset(2), state.nextOffset());
    }

    void oneOfTwoConcurrentChangesIsAccepted()
    {
        ConfigurationState state;
        apply(state, smallFleet());
        const auto version = state.find({ObjectKind::Pool, "pool"})->version;
        const Change first {
            "1", "a", {put(ObjectKind::Pool, "pool", {{"servers", "kind = fast"}}, version)}};
        const Change second {
            "2", "b", {put(ObjectKind::Pool, "pool", {{"servers", "kind = slow"}}, version)}};
        CPPUNIT_ASSERT(apply(state, first).accepted);
        const ChangeOutcome rejected = apply(state, second);
        CPPUNIT_ASSERT(!rejected.accepted);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), rejected.conflictsWith);
    }

    void sameIdIsAppliedOnce()
    {
        ConfigurationState state;
        apply(state, smallFleet());
        const auto version = state.find({ObjectKind::Pool, "pool"})->version;
        const Change change {
            "twice", "a", {put(ObjectKind::Pool, "pool", {{"servers", "kind = fast"}}, version)}};
        const ChangeOutcome first = apply(state, change);
        const ChangeOutcome again = apply(state, change);
        CPPUNIT_ASSERT(first == again);
        CPPUNIT_ASSERT(first.accepted);
        CPPUNIT_ASSERT_EQUAL(first.offset + 1, state.find({ObjectKind::Pool, "pool"})->version);
    }

    void changesAreAllOrNothing()
    {
        ConfigurationState state;
        apply(state, smallFleet());
        const std::string before = writeSnapshot(state);
        Change change {"half", "a", {}};
        change.operations.push_back(put(ObjectKind::Zone, "new", {{"region", "r"}}));
        change.operations.push_back(put(ObjectKind::Pipeline, "bad",
                                        {{"model", "m"}, {"pool", "none"}, {"stages", {"0-1"}}}));
        const ChangeOutcome outcome = apply(state, change);
        CPPUNIT_ASSERT(!outcome.accepted);
        CPPUNIT_ASSERT(outcome.reason.find("pool/none") != std::string::npos);
        CPPUNIT_ASSERT(!state.find({ObjectKind::Zone, "new"}));
    }

    void referencesAreChecked()
    {
        ConfigurationState state;
        apply(state, smallFleet());
        const auto version = state.find({ObjectKind::Pool, "pool"})->version;
        const ChangeOutcome removal =
            apply(state, {"r", "a", {drop(ObjectKind::Pool, "pool", version)}});
        CPPUNIT_ASSERT(!removal.accepted);
        CPPUNIT_ASSERT(state.find({ObjectKind::Pool, "pool"}));
        const ChangeOutcome unknown = apply(state, {"u", "a", {drop(ObjectKind::Pool, "none", 0)}});
        CPPUNIT_ASSERT(!unknown.accepted);
        Change both {"b", "a", {drop(ObjectKind::Pipeline, "chat", version)}};
        both.operations.push_back(drop(ObjectKind::Pool, "pool", version));
        CPPUNIT_ASSERT(apply(state, both).accepted);
    }

    void snapshotsAreDeterministicAndComplete()
    {
        ConfigurationState state;
        apply(state, smallFleet());
        ConfigurationState copy;
        CPPUNIT_ASSERT(readSnapshot(writeSnapshot(state), copy));
        CPPUNIT_ASSERT_EQUAL(writeSnapshot(state), writeSnapshot(copy));
        CPPUNIT_ASSERT_EQUAL(state.nextOffset(), copy.nextOffset());
        CPPUNIT_ASSERT(copy.outcome("fleet")->accepted);
        std::string cut = writeSnapshot(state);
        cut.resize(cut.size() / 2);
        ConfigurationState untouched;
        CPPUNIT_ASSERT(!readSnapshot(cut, untouched));
        CPPUNIT_ASSERT(untouched.objects().empty());
    }

    void snapshotPartsAreReassembled()
    {
        ConfigurationState state;
        Change many {"many", "a", {}};
        for (int i = 0; i < 4000; ++i)
            many.operations.push_back(
                put(ObjectKind::Workspace, "w" + std::to_string(i), json::object()));
        apply(state, many);
        const std::string text = writeSnapshot(state);
        const auto parts = splitSnapshot(text, state.nextOffset());
        CPPUNIT_ASSERT(parts.size() > 1);
        SnapshotAssembler assembler;
        for (std::size_t i = 0; i + 1 < parts.size(); ++i)
            assembler.add(parts[i]);
        CPPUNIT_ASSERT(assembler.latest().empty());
        assembler.add(parts.back());
        CPPUNIT_ASSERT_EQUAL(text, assembler.latest());
        assembler.add(splitSnapshot("older", 0).front());
        CPPUNIT_ASSERT_EQUAL(text, assembler.latest());
    }

    void unknownKeysAndInvalidValuesAreRejected()
    {
        const auto expectRejected = [](ObjectKind kind, const json &spec, const std::string &path) {
            std::string failed;
            const auto read = readSpec(kind, spec, &failed);
            CPPUNIT_ASSERT_MESSAGE(spec.dump(), !read);
            CPPUNIT_ASSERT_EQUAL(path, failed);
            CPPUNIT_ASSERT(!read.error().remedy.empty());
        };
        expectRejected(ObjectKind::Zone, {{"region", "r"}, {"colour", "red"}}, "colour");
        expectRejected(ObjectKind::Zone, json::object(), "region");
        expectRejected(ObjectKind::Pool, {{"servers", "kind >"}}, "servers");
        expectRejected(ObjectKind::Pool, {{"retryPercent", 101}}, "retryPercent");
        expectRejected(ObjectKind::Pool, {{"subset", "many"}}, "subset");
        expectRejected(ObjectKind::Workspace, {{"limits", {{"weight", -1}}}}, "limits.weight");
        expectRejected(ObjectKind::Workspace, {{"limits", {{"speed", 1}}}}, "limits.speed");
        expectRejected(ObjectKind::Workspace, {{"keyHashes", {"abc"}}}, "keyHashes");
        const json gap = {{"model", "m"}, {"pool", "p"}, {"stages", {"0-1", "3-4"}}};
        expectRejected(ObjectKind::Pipeline, gap, "stages");
        expectRejected(ObjectKind::Server,
                       {{"address", "127.0.0.1:1"}, {"zone", "z"}, {"draining", "yes"}},
                       "draining");
    }

    void compilesCandidatesByPlacement()
    {
        ConfigurationState state;
        apply(state, smallFleet());
        BackendServerRegistry registry;
        const auto configuration = Configuration::compile(state, registry, "host");
        const auto *pipeline = configuration->pipeline("chat");
        const auto *plain = configuration->workspaceByName("plain");
        const auto *bound = configuration->workspaceByName("bound");
        CPPUNIT_ASSERT(plain->placementClass != bound->placementClass);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), pipeline->candidates[plain->placementClass][0].size());
        const auto &only = pipeline->candidates[bound->placementClass][1];
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), only.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b-fast"), configuration->servers()[only[0]].name);
        const auto near = configuration->zoneIndex("near");
        CPPUNIT_ASSERT(configuration->link(configuration->zoneIndex("far"), near).latency == 50ms);
        // The live state of a server survives a new configuration.
        const auto again = Configuration::compile(state, registry, "host");
        CPPUNIT_ASSERT(again->servers()[0].state == configuration->servers()[0].state);
    }

    void cutsLargePoolsToASubset()
    {
        ConfigurationState state;
        apply(state, smallFleet());
        Change many {"many", "a", {}};
        for (int i = 0; i < 100; ++i)
            many.operations.push_back(put(ObjectKind::Server, "x" + std::to_string(i),
                                          {{"address", "127.0.0.1:" + std::to_string(100 + i)},
                                           {"zone", "near"},
                                           {"model", "m"},
                                           {"layers", "0-1"},
                                           {"labels", {{"kind", "fast"}}}}));
        CPPUNIT_ASSERT(apply(state, many).accepted);
        BackendServerRegistry registry;
        std::set<std::uint32_t> used;
        for (int host = 0; host < 20; ++host) {
            const auto configuration =
                Configuration::compile(state, registry, "host-" + std::to_string(host));
            const auto &stage = configuration->pipeline("chat")->candidates[0][0];
            CPPUNIT_ASSERT_EQUAL(std::size_t(64), stage.size());
            used.insert(stage.begin(), stage.end());
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the hosts must use the whole pool together", std::size_t(102),
                                     used.size());
    }

    void reportsSelectorsThatMatchNothing()
    {
        ConfigurationState state;
        apply(state, smallFleet());
        BackendServerRegistry registry;
        CPPUNIT_ASSERT(findUnmatched(*Configuration::compile(state, registry, "h"), state).empty());
        Change change {"c", "a", {put(ObjectKind::Pool, "empty", {{"servers", "kind = none"}})}};
        change.operations.push_back(put(ObjectKind::Pipeline, "idle",
                                        {{"model", "m"}, {"pool", "pool"}, {"stages", {"0-3"}}}));
        apply(state, change);
        const auto found = findUnmatched(*Configuration::compile(state, registry, "h"), state);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), found.size());
        CPPUNIT_ASSERT(found[0].message.find("pool/empty") != std::string::npos);
        CPPUNIT_ASSERT(found[1].message.find("pipeline/idle") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);
