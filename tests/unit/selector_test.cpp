#include <dogwoodvalve/selector.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace dogwoodvalve;

/// Matching of selectors, and errors of those that do not parse.
class SelectorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SelectorTest);
    CPPUNIT_TEST(matchesLabels);
    CPPUNIT_TEST(reportsSyntaxErrorsWithColumnAndRemedy);
    CPPUNIT_TEST(limitsNestingAndLength);
    CPPUNIT_TEST_SUITE_END();

    static Labels labels()
    {
        Labels labels;
        labels.set("kind", "fast");
        labels.set("memory", "80");
        labels.set("rack", "r-1");
        return labels;
    }

    static bool matches(const char *text)
    {
        return Selector::parse(text).value().matches(labels());
    }

    void matchesLabels()
    {
        for (const char *text :
             {"all", "kind = fast", "kind == 'fast'", "kind != slow", "kind in (slow, fast)",
              "kind not in (slow)", "has rack", "not has spare", "memory >= 80", "memory < 80.5",
              "kind = slow or memory > 10 and has rack", "(kind = fast or has spare) and all",
              "absent != x", "absent not in (x)", "not not kind = fast"})
            CPPUNIT_ASSERT_MESSAGE(text, matches(text));
        for (const char *text :
             {"kind = slow", "has spare", "memory > 80", "rack > 1", "absent = x", "absent in (x)",
              "absent < 3", "not all", "(kind = fast or has rack) and memory < 10"})
            CPPUNIT_ASSERT_MESSAGE(text, !matches(text));
    }

    void reportsSyntaxErrorsWithColumnAndRemedy()
    {
        for (const char *text :
             {"", "kind", "kind =", "kind = fast and", "kind ~ fast", "(kind = fast", "kind in ()",
              "kind in (a", "memory > high", "kind = 'open", "and = 3", "kind = a b", "has"}) {
            const auto parsed = Selector::parse(text);
            CPPUNIT_ASSERT_MESSAGE(text, !parsed);
            CPPUNIT_ASSERT(parsed.error().kind == ErrorKind::InvalidArgument);
            CPPUNIT_ASSERT(parsed.error().message.find("column") != std::string::npos);
            CPPUNIT_ASSERT(!parsed.error().remedy.empty());
        }
    }

    void limitsNestingAndLength()
    {
        CPPUNIT_ASSERT(!Selector::parse(std::string(1000, '(') + "all" + std::string(1000, ')')));
        std::string nots;
        std::string ors = "all";
        for (int i = 0; i < 1000; ++i) {
            nots += "not ";
            ors += " or all";
        }
        CPPUNIT_ASSERT(!Selector::parse(nots + "all"));
        CPPUNIT_ASSERT(!Selector::parse(ors));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SelectorTest);
