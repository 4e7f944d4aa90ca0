#include "cli/configuration_files.h"
#include "daemon/settings.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace dogwoodvalve;

/// Settings and configuration files: every mistake is rejected with the file, line, key and remedy.
class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(goodSettingsAreRead);
    CPPUNIT_TEST(badSettingsAreRefused);
    CPPUNIT_TEST(badObjectsAreRefused);
    CPPUNIT_TEST_SUITE_END();

    static std::string validSettings()
    {
        return "name: e1\n"
               "region: r\n"
               "zone: z\n"
               "listen: 127.0.0.1:8001\n"
               "operatorListen: 127.0.0.1:9001\n"
               "peerListen: 127.0.0.1:7001\n"
               "platform: 127.0.0.1:6000\n"
               "operatorToken: token\n"
               "peerSecrets: [{id: 1, secret: 0123456789abcdef}]\n";
    }

    void goodSettingsAreRead()
    {
        const auto settings = readSettings(
            validSettings() + "threads: 4\nlimits:\n  queueTimeoutMs: 250\n", "f.yaml");
        CPPUNIT_ASSERT(settings);
        CPPUNIT_ASSERT_EQUAL(4, settings.value().threads);
        CPPUNIT_ASSERT(settings.value().queueTimeout == 250ms);
    }

    static void assertRejected(const std::string &yaml, const std::string &line,
                               const std::string &key)
    {
        const auto settings = readSettings(yaml, "f.yaml");
        CPPUNIT_ASSERT_MESSAGE(yaml, !settings);
        const std::string text = settings.error().describe();
        CPPUNIT_ASSERT_MESSAGE(text, text.find("f.yaml:" + line) == 0);
        CPPUNIT_ASSERT_MESSAGE(text, text.find(key) != std::string::npos);
        CPPUNIT_ASSERT(!settings.error().remedy.empty());
    }

    void badSettingsAreRefused()
    {
        assertRejected(validSettings() + "colour: red\n", "10", "colour");
        assertRejected(validSettings() + "threads: many\n", "10", "threads");
        assertRejected(validSettings() + "threads: 0\n", "10", "threads");
        assertRejected(validSettings() + "threads: '2'\n", "10", "threads");
        assertRejected(validSettings() + "limits:\n  bodyBytes: 12\n", "11", "limits.bodyBytes");
        assertRejected(validSettings() + "limits:\n  speed: 12\n", "11", "limits.speed");
        assertRejected(validSettings() + "policy: best\n", "10", "policy");
        assertRejected(validSettings() + "log: {level: loud}\n", "10", "log.level");
        assertRejected(validSettings() + "seeds: [example.org:80]\n", "10", "seeds");
        std::string bad = validSettings();
        bad.replace(bad.find("127.0.0.1:8001"), 14, "localhost:8001");
        assertRejected(bad, "4", "listen");
        assertRejected(validSettings().substr(validSettings().find("region")), "1", "name");
        CPPUNIT_ASSERT(!readSettings("name: [", "f.yaml"));
        CPPUNIT_ASSERT(!readSettings("", "f.yaml"));
    }

    void badObjectsAreRefused()
    {
        const auto assertRejectedAt = [](const std::string &yaml, const std::string &line) {
            const auto read = readConfigurationText(yaml, "c.yaml");
            CPPUNIT_ASSERT_MESSAGE(yaml, !read);
            const std::string text = read.error().describe();
            CPPUNIT_ASSERT_MESSAGE(text, text.find("c.yaml:" + line + ":") == 0);
        };
        assertRejectedAt("kind: zone\nname: a\nspec: {region: r}\n---\nkind: pool\nname: b\n"
                         "spec:\n  servers: all\n  retry: 3\n",
                         "9");
        assertRejectedAt("kind: planet\nname: a\n", "1");
        assertRejectedAt("kind: zone\nspec: {region: r}\n", "1");
        assertRejectedAt("kind: zone\nname: a\nspec: {region: r}\nextra: 1\n", "4");
        assertRejectedAt("kind: pool\nname: a\nspec:\n  servers: 'kind ='\n", "4");
        const auto removal = readConfigurationText("kind: zone\nname: a\nremove: true\n", "c.yaml");
        CPPUNIT_ASSERT(removal && !removal.value().front().spec);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
