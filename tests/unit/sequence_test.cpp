#include <dogwoodvalve/sequence.h>

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <map>
#include <optional>

using namespace dogwoodvalve;

namespace {

/// A step that was sent, with copies of what its views referred to.
struct SentStep
{
    BackendServer *server = nullptr;
    StepRequest request;
    std::string prompt;
    std::vector<std::int32_t> tokens;
    std::vector<std::uint64_t> hidden;
};

/// Records the calls of a sequence; the tests set how it responds.
class MockEnvironment : public SequenceEnvironment
{
public:
    MockEnvironment()
    {
        for (const char *name : {"a1", "a2", "b1", "b2", "c1", "c2"})
            m_servers.push_back(std::make_shared<BackendServer>(name, "127.0.0.1:1"));
    }

    TimerService &timers() override { return clock; }

    Result<std::shared_ptr<BackendServer>>
    chooseServer(std::size_t stage, std::span<const BackendServer *const> excluded) override
    {
        for (std::size_t i = 2 * stage; i < 2 * stage + 2; ++i) {
            if (std::find(excluded.begin(), excluded.end(), m_servers[i].get()) == excluded.end())
                return m_servers[i];
        }
        return Error {ErrorKind::Unavailable, "none left", "wait"};
    }

    bool send(BackendServer &server, const StepRequest &request) override
    {
        if (!connected)
            return false;
        SentStep step {&server, request, std::string(request.prompt), {}, {}};
        step.tokens.assign(request.tokens.begin(), request.tokens.end());
        step.hidden.assign(request.hidden.begin(), request.hidden.end());
        sent.push_back(step);
        return true;
    }

    void release(BackendServer &server, SequenceId) override { released.push_back(server.name()); }
    Duration stepTimeout(const BackendServer &, int) override { return 1s; }
    bool trySpendRetry() override { return retries-- > 0; }
    bool canAcceptToken() override { return acceptsTokens; }
    void emitToken(std::size_t index, std::string_view text) override
    {
        CPPUNIT_ASSERT_EQUAL(emitted, index);
        ++emitted;
        this->text += text;
    }
    void completed(FinishReason reason) override { finish = reason; }
    void failed(const SequenceFailure &reason) override { failure = reason; }

    const SentStep &last() const { return sent.back(); }

    ManualTimerService clock;
    std::vector<SentStep> sent;
    std::vector<std::string> released;
    std::size_t emitted = 0;
    std::string text;
    std::optional<FinishReason> finish;
    std::optional<SequenceFailure> failure;
    bool connected = true;
    bool acceptsTokens = true;
    int retries = 100;

private:
    std::vector<std::shared_ptr<BackendServer>> m_servers;
};

constexpr int PromptTokens = 5;

SequenceRequest threeStages(int maxTokens = 3)
{
    SequenceRequest request;
    request.id = {7, 1};
    request.stages = {{0, 1}, {2, 3}, {4, 5}};
    request.prompt = "a prompt";
    request.maxTokens = maxTokens;
    return request;
}

/// The answer of a correct engine to a step.
StepAnswer answerTo(const SentStep &step)
{
    StepAnswer answer;
    answer.sequence = step.request.sequence;
    answer.attempt = step.request.attempt;
    answer.layers = step.request.layers;
    answer.basePosition = step.request.basePosition;
    const bool first = step.request.layers.first == 0;
    const int prompt = first && step.request.basePosition == 0 ? PromptTokens : 0;
    answer.positionCount = first ? prompt + static_cast<int>(step.tokens.size())
                                 : static_cast<int>(step.hidden.size());
    if (step.request.last) {
        answer.token = 100 + step.request.basePosition + answer.positionCount;
        answer.text = "t" + std::to_string(answer.token) + ' ';
        return answer;
    }
    for (int i = 0; i < answer.positionCount; ++i)
        answer.hidden.push_back(
            static_cast<std::uint64_t>(1000 * step.request.layers.last + answer.basePosition + i));
    return answer;
}

} // namespace

/// Tests the state machine of one request.
class SequenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SequenceTest);
    CPPUNIT_TEST(runsEachStageInOrder);
    CPPUNIT_TEST(dropsLateDuplicateAndMisdirectedAnswers);
    CPPUNIT_TEST(rerunsOnlyTheStagesUpToTheLostOne);
    CPPUNIT_TEST(sendsPrefillInputToAnotherServer);
    CPPUNIT_TEST(recoversFromAServerThatTimesOut);
    CPPUNIT_TEST(recoversFromALostCache);
    CPPUNIT_TEST(reportsNotRunOnlyIfNothingRan);
    CPPUNIT_TEST(neverRerunsNonIdempotentRequests);
    CPPUNIT_TEST(failsAtOnceWithoutRetryBudget);
    CPPUNIT_TEST(failsAtTheDeadline);
    CPPUNIT_TEST(rejectsAnswersOfTheWrongSize);
    CPPUNIT_TEST(pausesForASlowCaller);
    CPPUNIT_TEST(cancelReleasesAllServers);
    CPPUNIT_TEST_SUITE_END();

    static void answer(Sequence &sequence, MockEnvironment &environment, int n = 1)
    {
        for (int i = 0; i < n; ++i)
            sequence.onAnswer(answerTo(environment.last()));
    }

    void runsEachStageInOrder()
    {
        MockEnvironment environment;
        Sequence sequence(environment, threeStages());
        sequence.start();
        answer(sequence, environment, 9);
        CPPUNIT_ASSERT(environment.finish == FinishReason::TokenLimit);
        CPPUNIT_ASSERT_EQUAL(std::string("t105 t106 t107 "), environment.text);
        CPPUNIT_ASSERT_EQUAL(std::size_t(9), environment.sent.size());
        for (std::size_t i = 0; i < 9; ++i)
            CPPUNIT_ASSERT_EQUAL(static_cast<int>(2 * (i % 3)),
                                 environment.sent[i].request.layers.first);
        CPPUNIT_ASSERT_EQUAL(std::string("a prompt"), environment.sent[0].prompt);
        CPPUNIT_ASSERT_EQUAL(PromptTokens, environment.sent[3].request.basePosition);
        CPPUNIT_ASSERT(environment.sent[3].prompt.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), environment.released.size());
    }

    void dropsLateDuplicateAndMisdirectedAnswers()
    {
        MockEnvironment environment;
        Sequence sequence(environment, threeStages());
        sequence.start();
        const StepAnswer first = answerTo(environment.last());
        sequence.onAnswer(first);
        sequence.onAnswer(first);
        StepAnswer misdirected = answerTo(environment.last());
        misdirected.sequence.number = 2;
        sequence.onAnswer(misdirected);
        StepAnswer wrongLayers = answerTo(environment.last());
        wrongLayers.layers = {4, 5};
        sequence.onAnswer(wrongLayers);
        StepAnswer oldAttempt = answerTo(environment.last());
        oldAttempt.attempt = 0;
        sequence.onAnswer(oldAttempt);
        StepAnswer wrongPosition = answerTo(environment.last());
        wrongPosition.basePosition = 3;
        sequence.onAnswer(wrongPosition);
        CPPUNIT_ASSERT_EQUAL(5, sequence.statistics().droppedAnswers);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), environment.sent.size());
        answer(sequence, environment, 8);
        CPPUNIT_ASSERT_EQUAL(std::string("t105 t106 t107 "), environment.text);
    }

    void rerunsOnlyTheStagesUpToTheLostOne()
    {
        MockEnvironment environment;
        Sequence sequence(environment, threeStages());
        sequence.start();
        answer(sequence, environment, 4);
        const SentStep lost = environment.last();
        CPPUNIT_ASSERT_EQUAL(std::string("b1"), lost.server->name());
        sequence.onServerLost(*lost.server);
        // Stages 0 and 1 are rerun from the start with the emitted token; stage 2 keeps its cache.
        CPPUNIT_ASSERT_EQUAL(std::string("a1"), environment.last().server->name());
        CPPUNIT_ASSERT_EQUAL(0, environment.last().request.basePosition);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), environment.last().tokens.size());
        answer(sequence, environment);
        CPPUNIT_ASSERT_EQUAL(std::string("b2"), environment.last().server->name());
        CPPUNIT_ASSERT_EQUAL(std::size_t(PromptTokens + 1), environment.last().hidden.size());
        sequence.onAnswer(answerTo(lost));
        answer(sequence, environment);
        CPPUNIT_ASSERT_EQUAL(std::string("c1"), environment.last().server->name());
        CPPUNIT_ASSERT_EQUAL(PromptTokens, environment.last().request.basePosition);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), environment.last().hidden.size());
        answer(sequence, environment, 4);
        CPPUNIT_ASSERT_EQUAL(std::string("t105 t106 t107 "), environment.text);
        CPPUNIT_ASSERT_EQUAL(1, sequence.statistics().recoveries);
    }

    void sendsPrefillInputToAnotherServer()
    {
        MockEnvironment environment;
        Sequence sequence(environment, threeStages(1));
        sequence.start();
        answer(sequence, environment);
        sequence.onServerLost(*environment.last().server);
        CPPUNIT_ASSERT_EQUAL(std::string("b2"), environment.last().server->name());
        CPPUNIT_ASSERT_EQUAL(std::size_t(PromptTokens), environment.last().hidden.size());
        answer(sequence, environment, 2);
        CPPUNIT_ASSERT_EQUAL(std::string("t105 "), environment.text);
    }

    void recoversFromAServerThatTimesOut()
    {
        MockEnvironment environment;
        Sequence sequence(environment, threeStages(1));
        sequence.start();
        environment.clock.advanceTo(environment.clock.now() + 900ms);
        CPPUNIT_ASSERT_EQUAL(std::string("a1"), environment.last().server->name());
        environment.clock.advanceTo(environment.clock.now() + 200ms);
        CPPUNIT_ASSERT_EQUAL(std::string("a2"), environment.last().server->name());
        answer(sequence, environment, 3);
        CPPUNIT_ASSERT(environment.finish);
    }

    void recoversFromALostCache()
    {
        MockEnvironment environment;
        Sequence sequence(environment, threeStages(2));
        sequence.start();
        answer(sequence, environment, 5);
        StepAnswer evicted = answerTo(environment.last());
        evicted.fault = StepFault::CacheLost;
        sequence.onAnswer(evicted);
        CPPUNIT_ASSERT_EQUAL(0, environment.last().request.layers.first);
        answer(sequence, environment, 3);
        CPPUNIT_ASSERT_EQUAL(std::string("t105 t106 "), environment.text);
    }

    void reportsNotRunOnlyIfNothingRan()
    {
        MockEnvironment refusing;
        Sequence refused(refusing, threeStages());
        refused.start();
        for (int i = 0; i < 2; ++i) {
            StepAnswer refusal = answerTo(refusing.last());
            refusal.fault = StepFault::Refused;
            refused.onAnswer(refusal);
        }
        CPPUNIT_ASSERT(refusing.failure->outcome == Outcome::NotRun);
        CPPUNIT_ASSERT(refusing.failure->retryAfter >= 1s);

        MockEnvironment cut;
        cut.connected = false;
        Sequence unsent(cut, threeStages());
        unsent.start();
        CPPUNIT_ASSERT(cut.failure->outcome == Outcome::NotRun);

        MockEnvironment losing;
        losing.retries = 0;
        Sequence lost(losing, threeStages());
        lost.start();
        lost.onServerLost(*losing.last().server);
        CPPUNIT_ASSERT(losing.failure->outcome == Outcome::Unknown);
    }

    void neverRerunsNonIdempotentRequests()
    {
        MockEnvironment environment;
        SequenceRequest request = threeStages();
        request.idempotent = false;
        Sequence sequence(environment, request);
        sequence.start();
        sequence.onServerLost(*environment.last().server);
        CPPUNIT_ASSERT(environment.failure->outcome == Outcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), environment.sent.size());
    }

    void failsAtOnceWithoutRetryBudget()
    {
        MockEnvironment environment;
        environment.retries = 1;
        Sequence sequence(environment, threeStages());
        sequence.start();
        sequence.onServerLost(*environment.last().server);
        CPPUNIT_ASSERT(!environment.failure);
        sequence.onServerLost(*environment.last().server);
        CPPUNIT_ASSERT(environment.failure->error.kind == ErrorKind::Overloaded);
    }

    void failsAtTheDeadline()
    {
        MockEnvironment environment;
        SequenceRequest request = threeStages();
        request.deadline = environment.clock.now() + 500ms;
        Sequence sequence(environment, request);
        sequence.start();
        environment.clock.advanceTo(request.deadline);
        CPPUNIT_ASSERT(environment.failure->error.kind == ErrorKind::Timeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), environment.clock.pending());
    }

    void rejectsAnswersOfTheWrongSize()
    {
        MockEnvironment environment;
        Sequence sequence(environment, threeStages(1));
        sequence.start();
        answer(sequence, environment);
        StepAnswer shortAnswer = answerTo(environment.last());
        shortAnswer.positionCount -= 1;
        shortAnswer.hidden.pop_back();
        sequence.onAnswer(shortAnswer);
        CPPUNIT_ASSERT_EQUAL(std::string("b2"), environment.last().server->name());
        answer(sequence, environment, 2);
        CPPUNIT_ASSERT_EQUAL(std::string("t105 "), environment.text);
    }

    void pausesForASlowCaller()
    {
        MockEnvironment environment;
        Sequence sequence(environment, threeStages(2));
        sequence.start();
        environment.acceptsTokens = false;
        answer(sequence, environment, 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), environment.sent.size());
        environment.acceptsTokens = true;
        sequence.resume();
        answer(sequence, environment, 3);
        CPPUNIT_ASSERT(environment.finish);
    }

    void cancelReleasesAllServers()
    {
        MockEnvironment environment;
        Sequence sequence(environment, threeStages());
        sequence.start();
        answer(sequence, environment, 2);
        sequence.cancel();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), environment.released.size());
        CPPUNIT_ASSERT_EQUAL(0, environment.last().server->inFlight());
        answer(sequence, environment);
        CPPUNIT_ASSERT(!environment.finish && !environment.failure);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SequenceTest);
