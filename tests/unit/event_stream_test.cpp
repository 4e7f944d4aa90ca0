#include <dogwoodvalve/event_stream.h>
#include <dogwoodvalve/random.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace dogwoodvalve;

class EventStreamTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventStreamTest);
    CPPUNIT_TEST(eventsAreCompleteForAnyChunkSizes);
    CPPUNIT_TEST(anUnfinishedEventCanBeDiscarded);
    CPPUNIT_TEST(bothLineEndingsAreAccepted);
    CPPUNIT_TEST(idsMustIncreaseByOne);
    CPPUNIT_TEST(aResumedStreamContinuesAfterTheLastEvent);
    CPPUNIT_TEST(anEventBeyondTheLimitIsDetected);
    CPPUNIT_TEST_SUITE_END();

    void eventsAreCompleteForAnyChunkSizes()
    {
        std::string stream;
        for (int i = 1; i <= 200; ++i)
            stream += "id: " + std::to_string(i) + "\ndata: " + std::string(i % 90, 'x') + "\n\n";
        for (std::uint64_t seed = 0; seed < 50; ++seed) {
            Random random(seed);
            EventSplitter splitter;
            std::string out;
            std::uint64_t next = 1;
            for (std::size_t at = 0; at < stream.size();) {
                const std::size_t n =
                    std::min<std::size_t>(1 + random.below(300), stream.size() - at);
                splitter.append(std::string_view(stream).substr(at, n));
                at += n;
                while (const auto event = splitter.next()) {
                    CPPUNIT_ASSERT_EQUAL(next++, *event->id);
                    out += event->bytes;
                }
            }
            CPPUNIT_ASSERT(out == stream);
            CPPUNIT_ASSERT_EQUAL(std::size_t {0}, splitter.unfinishedBytes());
        }
    }

    void anUnfinishedEventCanBeDiscarded()
    {
        EventSplitter splitter;
        splitter.append("id: 1\ndata: a\n\nid: 2\nda");
        CPPUNIT_ASSERT(splitter.next().has_value());
        CPPUNIT_ASSERT(!splitter.next().has_value());
        CPPUNIT_ASSERT(splitter.unfinishedBytes() > 0);
        splitter.discardUnfinished();
        splitter.append("id: 2\ndata: b\n\n");
        CPPUNIT_ASSERT(splitter.next()->bytes == "id: 2\ndata: b\n\n");
    }

    void bothLineEndingsAreAccepted()
    {
        EventSplitter splitter;
        splitter.append("id: 7\r\ndata: a\r\n\r\nid:8\ndata: b\n\ndata: c\n\n");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {7}, *splitter.next()->id);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {8}, *splitter.next()->id);
        CPPUNIT_ASSERT(!splitter.next()->id.has_value());
    }

    void idsMustIncreaseByOne()
    {
        EventOrderChecker order;
        CPPUNIT_ASSERT(order.check(1) == EventVerdict::Deliver);
        CPPUNIT_ASSERT(order.check(2) == EventVerdict::Deliver);
        CPPUNIT_ASSERT(order.check(2) == EventVerdict::Duplicate);
        CPPUNIT_ASSERT(order.check(4) == EventVerdict::OutOfOrder);
        CPPUNIT_ASSERT(order.check(std::nullopt) == EventVerdict::OutOfOrder);
        CPPUNIT_ASSERT(order.check(3) == EventVerdict::Deliver);
    }

    void aResumedStreamContinuesAfterTheLastEvent()
    {
        EventOrderChecker order(12);
        CPPUNIT_ASSERT(order.check(12) == EventVerdict::Duplicate);
        CPPUNIT_ASSERT(order.check(14) == EventVerdict::OutOfOrder);
        CPPUNIT_ASSERT(order.check(13) == EventVerdict::Deliver);
    }

    void anEventBeyondTheLimitIsDetected()
    {
        EventSplitter splitter(100);
        splitter.append(std::string(101, 'x'));
        CPPUNIT_ASSERT(!splitter.next().has_value());
        CPPUNIT_ASSERT(splitter.overflowed());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventStreamTest);
