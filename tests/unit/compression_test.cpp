#include "net/compression.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace dogwoodvalve;

class CompressionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CompressionTest);
    CPPUNIT_TEST(textsAreTheSameAfterwards);
    CPPUNIT_TEST(aLargeConfigurationShrinksToATenth);
    CPPUNIT_TEST(unreadableBytesAreAnError);
    CPPUNIT_TEST(textsThatAreTooLongAreAnError);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t MaxBytes = 1U << 20;

    static std::string configuration(int routes)
    {
        std::string text;
        for (int i = 0; i < routes; ++i)
            text += R"({"Name":"r-)" + std::to_string(i * 7919)
                + R"(","Host":"site.example","PathPrefix":"/p)" + std::to_string(i)
                + R"(/","Kind":"streaming","TimeoutMs":20000,"MaxAttempts":2,"Priority":1})";
        return text;
    }

    void textsAreTheSameAfterwards()
    {
        for (const std::string &text : {std::string(), std::string("a"), configuration(500)}) {
            const auto result = decompressText(compressText(text), MaxBytes);
            CPPUNIT_ASSERT(result);
            CPPUNIT_ASSERT_EQUAL(text, result.value());
        }
    }

    void aLargeConfigurationShrinksToATenth()
    {
        const std::string text = configuration(1'600);
        CPPUNIT_ASSERT(compressText(text).size() * 10 < text.size());
    }

    void unreadableBytesAreAnError()
    {
        const std::string bytes = compressText(configuration(50));
        CPPUNIT_ASSERT(!decompressText("no compressed text", MaxBytes));
        CPPUNIT_ASSERT(!decompressText(bytes.substr(0, bytes.size() / 2), MaxBytes));
        CPPUNIT_ASSERT(!decompressText("", MaxBytes));
    }

    void textsThatAreTooLongAreAnError()
    {
        const std::string text = configuration(500);
        const auto result = decompressText(compressText(text), text.size() - 1);
        CPPUNIT_ASSERT(!result);
        CPPUNIT_ASSERT(result.error().kind == ErrorKind::TooLarge);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompressionTest);
