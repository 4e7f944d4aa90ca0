#include <dogwoodvalve/limits.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <optional>

using namespace dogwoodvalve;

namespace {

class MockCapacity : public CapacitySource
{
public:
    int slots(std::string_view) override { return available; }
    int available = 2;
};

AdmissionRequest requestOf(const std::string &workspace, TimePoint startBy = TimePoint::max())
{
    AdmissionRequest request;
    request.workspace = workspace;
    request.pipeline = "chat";
    request.startBy = startBy;
    return request;
}

} // namespace

/// Tests limits, queues and refusals.
class LimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimitsTest);
    CPPUNIT_TEST(bucketAllowsRateAndBurst);
    CPPUNIT_TEST(retryBudgetIsAPercentageOfRequests);
    CPPUNIT_TEST(queuesAndStartsWhenASlotIsFree);
    CPPUNIT_TEST(refusesOverLimitWithRetryAfter);
    CPPUNIT_TEST(refusesAtOnceIfThePredictedWaitIsTooLong);
    CPPUNIT_TEST(refusesRequestsThatWaitedTooLong);
    CPPUNIT_TEST(aGreedyWorkspaceDelaysOnlyItself);
    CPPUNIT_TEST(weightsShareTheQueue);
    CPPUNIT_TEST(strictPriorityStarvesTheRest);
    CPPUNIT_TEST(cancelledRequestsLeaveTheQueue);
    CPPUNIT_TEST(idleWorkspacesAreRemoved);
    CPPUNIT_TEST_SUITE_END();

    MockCapacity m_capacity;
    AdmissionController m_controller {m_capacity, makeWeightedFairQueue()};
    TimePoint m_now {100s};
    std::vector<std::string> m_started;
    std::map<std::string, Refusal> m_refused;
    std::map<AdmissionController::Ticket, std::string> m_tickets;

public:
    void setUp() override
    {
        m_capacity.available = 2;
        m_now = TimePoint(100s);
    }

private:
    AdmissionController::Ticket submit(AdmissionRequest request)
    {
        const std::string workspace = request.workspace;
        return m_controller.submit(std::move(request), m_now,
                                   [this, workspace](const Refusal *refusal) {
                                       if (refusal)
                                           m_refused[workspace] = *refusal;
                                       else
                                           m_started.push_back(workspace);
                                   });
    }

    void bucketAllowsRateAndBurst()
    {
        TokenBucket bucket;
        for (int i = 0; i < 10; ++i)
            CPPUNIT_ASSERT(bucket.tryConsume(10, 1, m_now));
        CPPUNIT_ASSERT(!bucket.tryConsume(10, 1, m_now));
        CPPUNIT_ASSERT(bucket.timeUntilAvailable(10, m_now) == 100ms);
        CPPUNIT_ASSERT(bucket.tryConsume(10, 1, m_now + 100ms));
        bucket.charge(10, 30, m_now + 100ms);
        CPPUNIT_ASSERT(!bucket.tryConsume(10, 1, m_now + 2s));
        CPPUNIT_ASSERT(bucket.tryConsume(10, 1, m_now + 4s));
        CPPUNIT_ASSERT(bucket.tryConsume(0, 1e9, m_now));
    }

    void retryBudgetIsAPercentageOfRequests()
    {
        RetryBudget budget;
        while (budget.trySpend()) { }
        for (int i = 0; i < 50; ++i)
            budget.recordRequest(10);
        int allowed = 0;
        while (budget.trySpend())
            ++allowed;
        CPPUNIT_ASSERT(allowed == 4 || allowed == 5);
    }

    void queuesAndStartsWhenASlotIsFree()
    {
        const auto first = submit(requestOf("a"));
        submit(requestOf("b"));
        submit(requestOf("c"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_started.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_controller.waiting());
        m_controller.release(first, 5, m_now + 1s);
        CPPUNIT_ASSERT_EQUAL(std::string("c"), m_started.back());
    }

    void refusesOverLimitWithRetryAfter()
    {
        AdmissionRequest request = requestOf("a");
        request.limits.requestsPerSecond = 1;
        submit(request);
        submit(request);
        CPPUNIT_ASSERT(m_refused.at("a").error.kind == ErrorKind::Overloaded);
        CPPUNIT_ASSERT(m_refused.at("a").retryAfter == 1s);

        AdmissionRequest concurrent = requestOf("b");
        concurrent.limits.concurrentRequests = 1;
        submit(concurrent);
        submit(concurrent);
        CPPUNIT_ASSERT(m_refused.at("b").error.message.find("concurrent") != std::string::npos);

        AdmissionRequest tokens = requestOf("c");
        tokens.limits.tokensPerSecond = 10;
        m_capacity.available = 10;
        const auto ticket = submit(tokens);
        m_controller.release(ticket, 60, m_now);
        submit(tokens);
        CPPUNIT_ASSERT(m_refused.at("c").retryAfter >= 5s);
    }

    void refusesAtOnceIfThePredictedWaitIsTooLong()
    {
        m_capacity.available = 0;
        for (int i = 0; i < 30; ++i)
            submit(requestOf("a", m_now + 2s));
        // At the assumed ten completions per second, about twenty requests may wait two seconds.
        CPPUNIT_ASSERT(m_controller.waiting() >= 20 && m_controller.waiting() <= 22);
        CPPUNIT_ASSERT(m_refused.at("a").retryAfter >= 2s);
    }

    void refusesRequestsThatWaitedTooLong()
    {
        m_capacity.available = 0;
        submit(requestOf("a", m_now + 1s));
        m_controller.processQueue(m_now + 900ms);
        CPPUNIT_ASSERT(m_refused.empty());
        m_controller.processQueue(m_now + 1100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_refused.count("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_controller.waiting());
    }

    /// Starts all waiting requests, one at a time, and returns their order.
    std::vector<std::string> startOrder()
    {
        m_started.clear();
        for (int slots = 1; m_controller.waiting() > 0; ++slots) {
            m_capacity.available = slots;
            m_controller.processQueue(m_now);
        }
        return m_started;
    }

    void aGreedyWorkspaceDelaysOnlyItself()
    {
        m_capacity.available = 0;
        for (int i = 0; i < 50; ++i)
            submit(requestOf("greedy"));
        submit(requestOf("modest"));
        const auto order = startOrder();
        const auto at = std::find(order.begin(), order.end(), "modest") - order.begin();
        CPPUNIT_ASSERT(at <= 1);
    }

    void weightsShareTheQueue()
    {
        m_capacity.available = 0;
        for (int i = 0; i < 40; ++i) {
            AdmissionRequest heavy = requestOf("heavy");
            heavy.limits.weight = 3;
            submit(heavy);
            submit(requestOf("light"));
        }
        const auto order = startOrder();
        const auto heavies = std::count(order.begin(), order.begin() + 40, "heavy");
        CPPUNIT_ASSERT(heavies >= 29 && heavies <= 31);
    }

    void strictPriorityStarvesTheRest()
    {
        AdmissionController controller(m_capacity, makePriorityQueue());
        m_capacity.available = 0;
        std::vector<std::string> started;
        for (int i = 0; i < 10; ++i) {
            for (const char *name : {"low", "high"}) {
                AdmissionRequest request = requestOf(name);
                request.limits.weight = request.workspace == "high" ? 2 : 1;
                controller.submit(request, m_now,
                                  [&started, name](const Refusal *) { started.push_back(name); });
            }
        }
        m_capacity.available = 10;
        controller.processQueue(m_now);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(10),
                             std::count(started.begin(), started.end(), "high"));
    }

    void cancelledRequestsLeaveTheQueue()
    {
        m_capacity.available = 0;
        AdmissionRequest request = requestOf("a");
        request.limits.concurrentRequests = 1;
        const auto ticket = submit(request);
        m_controller.cancel(ticket);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_controller.waiting());
        submit(request);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_controller.waiting());
    }

    void idleWorkspacesAreRemoved()
    {
        const auto ticket = submit(requestOf("a"));
        m_controller.removeIdleWorkspaces(m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_controller.trackedWorkspaces());
        m_controller.release(ticket, 1, m_now);
        m_controller.removeIdleWorkspaces(m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_controller.trackedWorkspaces());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitsTest);
