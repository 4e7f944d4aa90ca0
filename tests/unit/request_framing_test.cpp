#include "echo_server.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace dogwoodvalve;
using namespace dogwoodvalve::testing;

/// Requests whose end is not known must not let a part of them pass for another request.
class RequestFramingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestFramingTest);
    CPPUNIT_TEST(aRequestInsideABodyIsNotServed);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against: the body of a request with an unknown transfer coding was served as a
    /// request of its own.
    void aRequestInsideABodyIsNotServed()
    {
        for (const char *coding : {"gzip", "identity", "chunked, identity", "x", "", ","}) {
            RunningServer server;
            RawClient client(server.port);
            client.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: " + std::string(coding)
                        + "\r\n\r\nGET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
            const std::string answer = client.readAll();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(coding, std::string::npos, answer.find("part 0"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(coding, answer.rfind("HTTP/1.1 "),
                                         answer.find("HTTP/1.1 "));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestFramingTest);
