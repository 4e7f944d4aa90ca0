#include "platform/wire_objects.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace dogwoodvalve;
using nlohmann::json;

/// Entries of servers, and those that other writers put in their place.
class RegistrationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RegistrationTest);
    CPPUNIT_TEST(aWholeEntryNamesAServer);
    CPPUNIT_TEST(anEntryWithAMissingMemberNamesNoServer);
    CPPUNIT_TEST(anEntryWithAMemberOfAnotherTypeNamesNoServer);
    CPPUNIT_TEST_SUITE_END();

    static json wholeEntry()
    {
        return {
            {"Service", "desk"},    {"Addr", "10.0.0.1:80"}, {"Zone", "a"}, {"Version", "v1"},
            {"Slots", 6},           {"State", "ready"},      {"Seq", 4},    {"ColdRemainingMs", 0},
            {"born", 1796687666325}};
    }

    static bool namesServer(const json &entry)
    {
        return platform::decodeRegistration("i-1", entry.dump()).has_value();
    }

    void aWholeEntryNamesAServer()
    {
        json entry = wholeEntry();
        CPPUNIT_ASSERT(namesServer(entry));
        CPPUNIT_ASSERT_EQUAL(std::int64_t {1796687666325},
                             platform::decodeRegistration("i-1", entry.dump())->startedAtMs);
        entry["ColdRemainingMs"] = 12.5;
        entry["Later"] = "member";
        CPPUNIT_ASSERT(namesServer(entry));
        // Servers whose start is not stated never start again under their id.
        entry.erase("born");
        CPPUNIT_ASSERT(namesServer(entry));
    }

    /// Guards against: an entry of another writer led requests to a server of another service.
    void anEntryWithAMissingMemberNamesNoServer()
    {
        for (const char *name :
             {"Service", "Addr", "Zone", "Version", "Slots", "State", "Seq", "ColdRemainingMs"}) {
            json entry = wholeEntry();
            entry.erase(name);
            CPPUNIT_ASSERT_MESSAGE(name, !namesServer(entry));
        }
    }

    void anEntryWithAMemberOfAnotherTypeNamesNoServer()
    {
        const json whole = wholeEntry();
        for (const auto &[name, value] : whole.items()) {
            const json others[] {nullptr, true, json::array(), json::object(),
                                 value.is_string() ? json(5) : json("5")};
            for (const json &other : others) {
                json entry = wholeEntry();
                entry[name] = other;
                CPPUNIT_ASSERT_MESSAGE(entry.dump(), !namesServer(entry));
            }
        }
        for (const double born : {0.5, 1e300}) {
            json entry = wholeEntry();
            entry["born"] = born;
            CPPUNIT_ASSERT_MESSAGE(entry.dump(), !namesServer(entry));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistrationTest);
