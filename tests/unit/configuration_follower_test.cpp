#include "codec/change_codec.h"
#include "test_objects.h"

#include <dogwoodvalve/configuration_follower.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace dogwoodvalve;
using namespace dogwoodvalve::testing;
using nlohmann::json;

namespace {

/// An in-memory log whose calls complete at once, or fail while `down` is set.
class MockPlatform : public Platform
{
public:
    void append(std::string_view stream, std::string record,
                std::function<void(Result<LogOffset>)> done) override
    {
        if (down)
            return done(Error {ErrorKind::Timeout, "down", ""});
        auto &records = streams[std::string(stream)];
        records.push_back(std::move(record));
        done(records.size() - 1);
    }

    void read(std::string_view stream, LogOffset from, std::size_t maxRecords,
              std::function<void(Result<LogPage>)> done) override
    {
        if (down)
            return done(Error {ErrorKind::Timeout, "down", ""});
        if (holdsAnswers)
            done = [this, done = std::move(done)](const Result<LogPage> &page) {
                held.push_back([done, page] { done(page); });
            };
        const auto &records = streams[std::string(stream)];
        LogPage page;
        page.from = from;
        page.end = records.size();
        page.firstKept = stream == ConfigurationStream ? firstKept : 0;
        for (LogOffset at = from; from >= page.firstKept && at < page.end; ++at) {
            if (page.records.size() < maxRecords)
                page.records.push_back(records[at]);
        }
        done(page);
    }

    void listHosts(std::function<void(Result<std::vector<HostStatus>>)>) override { }

    std::map<std::string, std::vector<std::string>> streams;
    LogOffset firstKept = 0;
    bool down = false;
    /// Answers to reads wait in `held`.
    bool holdsAnswers = false;
    std::vector<std::function<void()>> held;
};

/// Hooks that record their calls.
class MockHooks : public ConfigurationFollowerHooks
{
public:
    std::size_t liveMembers() const override { return 0; }
    std::size_t snapshotRank(LogOffset) const override { return 0; }
    void requestFromPeer(std::string_view, LogOffset from) override { requested.push_back(from); }
    void pushToPeers(const ConfigurationTransfer &transfer, std::string_view) override
    {
        pushed += transfer.records.size();
    }
    void stateApplied(const ConfigurationState &state) override
    {
        offsets.push_back(state.nextOffset());
    }

    std::vector<LogOffset> requested;
    std::vector<LogOffset> offsets;
    std::size_t pushed = 0;
};

} // namespace

/// Following the log, peers and snapshots; writing snapshots; isolation.
class ConfigurationFollowerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationFollowerTest);
    CPPUNIT_TEST(appliesLogRecordsAndForwardsThem);
    CPPUNIT_TEST(neverRevertsToAnOlderState);
    CPPUNIT_TEST(malformedRecordsAreSkipped);
    CPPUNIT_TEST(requestsMissingRecordsFromPeers);
    CPPUNIT_TEST(startsFromASnapshot);
    CPPUNIT_TEST(writesSnapshotsByTimeAndByCount);
    CPPUNIT_TEST(snapshotsItsStateWhenTheLogDropsUnreadRecords);
    CPPUNIT_TEST(reportsIsolation);
    CPPUNIT_TEST(anAnswerThatWaitedConfirmsAsOfItsRequest);
    CPPUNIT_TEST_SUITE_END();

    ManualTimerService m_clock;
    MockPlatform m_platform;
    MockHooks m_hooks;

public:
    void setUp() override
    {
        m_platform = MockPlatform();
        m_hooks = MockHooks();
    }

private:
    ConfigurationFollower follower(std::size_t snapshotRecords = 200)
    {
        ConfigurationFollowerOptions options;
        options.snapshotRecords = snapshotRecords;
        return ConfigurationFollower(m_platform, m_clock, m_hooks, options);
    }

    void append(int n)
    {
        for (int i = 0; i < n; ++i) {
            const auto count = m_platform.streams["configuration"].size();
            const std::string name = "z" + std::to_string(count);
            m_platform.streams["configuration"].push_back(
                writeChange({"c" + std::to_string(count),
                             "a",
                             {put(ObjectKind::Zone, name, {{"region", "r"}})}}));
        }
    }

    void run(Duration duration) { m_clock.advanceTo(m_clock.now() + duration); }

    void appliesLogRecordsAndForwardsThem()
    {
        append(600);
        ConfigurationFollower follower = this->follower(10'000);
        follower.start();
        CPPUNIT_ASSERT_EQUAL(LogOffset(600), follower.state().nextOffset());
        CPPUNIT_ASSERT(follower.ready());
        append(1);
        run(300ms);
        CPPUNIT_ASSERT_EQUAL(LogOffset(601), follower.state().nextOffset());
        CPPUNIT_ASSERT_EQUAL(std::size_t(601), m_hooks.pushed);
    }

    void neverRevertsToAnOlderState()
    {
        append(3);
        ConfigurationFollower older = this->follower();
        older.start();
        const ConfigurationTransfer old {writeSnapshot(older.state()), 0, {}};
        append(3);
        run(300ms);
        const std::string now = writeSnapshot(older.state());
        older.onTransfer("peer", old);
        CPPUNIT_ASSERT_EQUAL(now, writeSnapshot(older.state()));
        older.onTransfer("peer", {"", 1, {m_platform.streams["configuration"][5]}});
        CPPUNIT_ASSERT_EQUAL(now, writeSnapshot(older.state()));
        for (std::size_t i = 1; i < m_hooks.offsets.size(); ++i)
            CPPUNIT_ASSERT(m_hooks.offsets[i] > m_hooks.offsets[i - 1]);
    }

    void malformedRecordsAreSkipped()
    {
        append(1);
        m_platform.streams["configuration"].push_back("no record at all");
        append(1);
        ConfigurationFollower follower = this->follower();
        follower.start();
        CPPUNIT_ASSERT_EQUAL(LogOffset(3), follower.state().nextOffset());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), follower.state().objects().size());
    }

    void requestsMissingRecordsFromPeers()
    {
        m_platform.down = true;
        ConfigurationFollower follower = this->follower();
        follower.start();
        run(3s);
        follower.onPeerOffset("peer", 5, 0);
        CPPUNIT_ASSERT_EQUAL(LogOffset(0), m_hooks.requested.back());
        append(5);
        const auto &records = m_platform.streams["configuration"];
        follower.onTransfer("peer", {"", 3, {records[3], records[4]}});
        CPPUNIT_ASSERT_EQUAL(LogOffset(0), follower.state().nextOffset());
        follower.onTransfer("peer", {"", 0, records});
        CPPUNIT_ASSERT_EQUAL(LogOffset(5), follower.state().nextOffset());
        CPPUNIT_ASSERT(follower.ready());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), follower.makeTransfer(3).records.size());
    }

    void startsFromASnapshot()
    {
        append(50);
        ConfigurationFollower writer = this->follower(20);
        writer.start();
        run(1s);
        CPPUNIT_ASSERT_EQUAL(LogOffset(50), writer.lastSnapshot());
        append(5);
        m_platform.firstKept = 40;
        ConfigurationFollower fresh = this->follower();
        fresh.start();
        run(1s);
        CPPUNIT_ASSERT_EQUAL(writeSnapshot(writer.state()), writeSnapshot(fresh.state()));
        // Without a snapshot that reaches the kept records, a host is not ready until a peer helps.
        m_platform.streams["snapshots"].clear();
        ConfigurationFollower stuck = this->follower();
        stuck.start();
        run(3s);
        CPPUNIT_ASSERT(!stuck.ready());
        stuck.onTransfer("peer", fresh.makeTransfer(0));
        CPPUNIT_ASSERT(stuck.ready());
    }

    void writesSnapshotsByTimeAndByCount()
    {
        append(5);
        ConfigurationFollower follower = this->follower();
        follower.start();
        run(599s);
        CPPUNIT_ASSERT_EQUAL(LogOffset(0), follower.lastSnapshot());
        run(3s);
        CPPUNIT_ASSERT_EQUAL(LogOffset(5), follower.lastSnapshot());
        // As many new records as snapshotRecords make a snapshot due too.
        append(200);
        m_platform.streams["snapshots"].clear();
        run(1s);
        CPPUNIT_ASSERT_EQUAL(LogOffset(205), follower.lastSnapshot());
    }

    /// The log has dropped records that no host has read. Hosts must then write a snapshot of what
    /// they have, or all of it is lost when they all restart.
    void snapshotsItsStateWhenTheLogDropsUnreadRecords()
    {
        append(2);
        {
            ConfigurationFollower follower = this->follower();
            follower.start();
            run(1s);
            append(3);
            m_platform.firstKept = 4;
            run(5s);
            CPPUNIT_ASSERT_EQUAL(LogOffset(2), follower.lastSnapshot());
        }
        ConfigurationFollower fresh = this->follower();
        fresh.start();
        run(5s);
        CPPUNIT_ASSERT_EQUAL(LogOffset(2), fresh.state().nextOffset());
    }

    void reportsIsolation()
    {
        append(1);
        ConfigurationFollower follower = this->follower();
        follower.start();
        m_platform.down = true;
        run(60s);
        CPPUNIT_ASSERT_MESSAGE("a host without peers is never isolated", !follower.isolated());
        follower.onPeerOffset("peer", 1, 0);
        run(7s);
        CPPUNIT_ASSERT(!follower.isolated());
        run(2s);
        CPPUNIT_ASSERT(follower.isolated());
        follower.onPeerOffset("peer", 1, 0);
        CPPUNIT_ASSERT(!follower.isolated());
    }

    /// A process that wakes from a freeze reads answers to calls of before.
    void anAnswerThatWaitedConfirmsAsOfItsRequest()
    {
        append(1);
        ConfigurationFollower follower = this->follower();
        follower.start();
        follower.onPeerOffset("peer", 1, 0);
        m_platform.holdsAnswers = true;
        run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_platform.held.size());
        run(10s);
        m_platform.held.front()();
        CPPUNIT_ASSERT(follower.isolated());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationFollowerTest);
