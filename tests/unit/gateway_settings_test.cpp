#include "codec/yaml_reader.h"
#include "gateway/gateway_settings.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace dogwoodvalve;

class GatewaySettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewaySettingsTest);
    CPPUNIT_TEST(everySettingIsRead);
    CPPUNIT_TEST(mistakesNameLineKeyAndRemedy);
    CPPUNIT_TEST_SUITE_END();

    const std::string m_minimalSettings =
        "name: a\nzone: z\nlisten: 127.0.0.1:1\nlookupListen: 127.0.0.1:2\n"
        "readinessListen: 127.0.0.1:3\npeerListen: 127.0.0.1:4\n"
        "metricsListen: 127.0.0.1:5\nstore: 127.0.0.1:6\n";

    void everySettingIsRead()
    {
        const auto settings = readGatewaySettings(
            m_minimalSettings
                + "region: r\ngraceS: 7.5\nkeyRevocationMs: 4000\nserverDrainMs: 3000\n"
                  "lookupTimeToLiveMs: 1500\nretries: {windowS: 5, ratio: 0.1, slack: 12}\n"
                  "linkMbps: 200\nmemoryMb: 64\ndescriptors: 300\nlogLevel: "
                  "warning\ndecisionLogRate: 9\n",
            "file");
        CPPUNIT_ASSERT_MESSAGE(settings ? "" : settings.error().describe(), settings.has_value());
        const GatewaySettings &it = settings.value();
        CPPUNIT_ASSERT(it.grace == 7500ms && it.keyRevocation == 4s && it.serverDrain == 3s);
        CPPUNIT_ASSERT(it.retries.window == 5s && it.retries.ratio == 0.1);
        CPPUNIT_ASSERT(it.lookupTimeToLive == 1500ms && it.decisionLogRate == 9);
        CPPUNIT_ASSERT_EQUAL(200.0, it.linkMbps);
        CPPUNIT_ASSERT((it.machine == MachineSize {64U << 20, 300}));
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:6"), it.store);
    }

    void mistakesNameLineKeyAndRemedy()
    {
        const auto expect = [](const std::string &yaml, const std::string &part) {
            const auto settings = readGatewaySettings(yaml, "file");
            CPPUNIT_ASSERT_MESSAGE(part, !settings);
            const std::string text = settings.error().describe();
            CPPUNIT_ASSERT_MESSAGE(text, text.find(part) != std::string::npos);
        };
        expect("name: a\nzone: z\n", "listen");
        expect(m_minimalSettings + "store2: x\n", "store2");
        expect(m_minimalSettings + "graceS: soon\n", "file:9");
        expect(m_minimalSettings + "logLevel: loud\n", "use debug, info");
        expect(m_minimalSettings + "retries: {ratio: -1}\n", "ratio");
        expect(m_minimalSettings + "memoryMb: 31\n", "memoryMb");
        expect(m_minimalSettings + "descriptors: 99\n", "descriptors");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewaySettingsTest);
