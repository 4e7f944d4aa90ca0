#include <dogwoodvalve/key_ledger.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace dogwoodvalve;

/// Tests that a request with a key runs at most once.
class KeyLedgerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KeyLedgerTest);
    CPPUNIT_TEST(parsesValidKeysOnly);
    CPPUNIT_TEST(runsAKeyOnce);
    CPPUNIT_TEST(freesAKeyThatDidNotRun);
    CPPUNIT_TEST(refusesKeysOfOtherProcesses);
    CPPUNIT_TEST(refusesOldAndFutureEpochs);
    CPPUNIT_TEST(limitsTheNumberOfKeys);
    CPPUNIT_TEST_SUITE_END();

    static constexpr TimePoint Start {1000s};

    static KeyLedger ledger(std::size_t keysPerEpoch = 100)
    {
        KeyLedgerOptions options;
        options.epochLength = 10s;
        options.epochsKept = 3;
        options.keysPerEpoch = keysPerEpoch;
        return KeyLedger("e1", 0xabc, Start, options);
    }

    static RequestKey key(KeyLedger &ledger, TimePoint now, const std::string &suffix)
    {
        return RequestKey::parse(ledger.currentPrefix(now).text() + '.' + suffix).value();
    }

    void parsesValidKeysOnly()
    {
        const RequestKey key = RequestKey::parse("e1/abc/7.suffix-1").value();
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), key.prefix.entryHost);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0xabc), key.prefix.boot);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(7), key.prefix.epoch);
        CPPUNIT_ASSERT_EQUAL(std::string("e1/abc/7"), key.prefix.text());
        for (const std::string &text :
             {std::string(""), std::string("e1"), std::string("e1/abc/7"),
              std::string("e1/abc/7.short"), std::string("e1/xyz/7.suffix-1"),
              std::string("/abc/7.suffix-1"), std::string("e1/abc/.suffix-1"),
              std::string("e1/abc/7.suffix with space"), std::string("e1/abc/-1.suffix-1"),
              "e1/abc/7." + std::string(65, 'x'), std::string(300, 'e') + "/abc/7.suffix-1"})
            CPPUNIT_ASSERT_MESSAGE(text, !RequestKey::parse(text));
    }

    void runsAKeyOnce()
    {
        KeyLedger ledger = this->ledger();
        const RequestKey key = this->key(ledger, Start, "suffix-1");
        CPPUNIT_ASSERT(ledger.admit("w", key, Start) == KeyDecision::Run);
        CPPUNIT_ASSERT(ledger.admit("w", key, Start) == KeyDecision::Running);
        ledger.recordOutcome("w", key, Outcome::Complete);
        CPPUNIT_ASSERT(ledger.admit("w", key, Start) == KeyDecision::Used);
        CPPUNIT_ASSERT(ledger.admit("other", key, Start) == KeyDecision::Run);
    }

    void freesAKeyThatDidNotRun()
    {
        KeyLedger ledger = this->ledger();
        const RequestKey key = this->key(ledger, Start, "suffix-1");
        CPPUNIT_ASSERT(ledger.admit("w", key, Start) == KeyDecision::Run);
        ledger.recordOutcome("w", key, Outcome::NotRun);
        CPPUNIT_ASSERT(ledger.admit("w", key, Start) == KeyDecision::Run);
        ledger.recordOutcome("w", key, Outcome::Unknown);
        CPPUNIT_ASSERT(ledger.admit("w", key, Start) == KeyDecision::Used);
    }

    void refusesKeysOfOtherProcesses()
    {
        KeyLedger ledger = this->ledger();
        RequestKey key = this->key(ledger, Start, "suffix-1");
        key.prefix.boot += 1;
        CPPUNIT_ASSERT(ledger.admit("w", key, Start) == KeyDecision::OtherOwner);
        key.prefix.boot -= 1;
        key.prefix.entryHost = "e2";
        CPPUNIT_ASSERT(ledger.admit("w", key, Start) == KeyDecision::OtherOwner);
    }

    void refusesOldAndFutureEpochs()
    {
        KeyLedger ledger = this->ledger();
        const RequestKey old = key(ledger, Start, "suffix-1");
        CPPUNIT_ASSERT(ledger.admit("w", old, Start) == KeyDecision::Run);
        ledger.recordOutcome("w", old, Outcome::Complete);
        CPPUNIT_ASSERT(ledger.admit("w", old, Start + 25s) == KeyDecision::Used);
        CPPUNIT_ASSERT(ledger.admit("w", old, Start + 35s) == KeyDecision::Expired);
        // The epoch never goes back, even if the clock does.
        CPPUNIT_ASSERT(ledger.admit("w", old, Start) == KeyDecision::Expired);
        RequestKey future = key(ledger, Start + 35s, "suffix-1");
        future.prefix.epoch += 1;
        CPPUNIT_ASSERT(ledger.admit("w", future, Start + 35s) == KeyDecision::Expired);
    }

    void limitsTheNumberOfKeys()
    {
        KeyLedger ledger = this->ledger(3);
        for (int epoch = 0; epoch < 10; ++epoch) {
            const TimePoint now = Start + epoch * 10s;
            for (int i = 0; i < 5; ++i) {
                const auto decision =
                    ledger.admit("w", key(ledger, now, "suffix-" + std::to_string(i)), now);
                CPPUNIT_ASSERT(decision == (i < 3 ? KeyDecision::Run : KeyDecision::Full));
            }
            CPPUNIT_ASSERT(ledger.size() <= 9);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyLedgerTest);
