#pragma once

#include <dogwoodvalve/timer_service.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

class GatewayNode;

/// How an answer stopped soon after its beginning.
enum class AnswerLoss {
    /// Its connection ended.
    ConnectionEnded,
    /// A server of its path is silent. It may go on.
    Silent,
    /// This host has closed its connection, because the caller left or the deadline passed, or
    /// because what had arrived was no answer to the request. The server may be sound.
    GivenUp,
};

/// A request whose answer has stopped soon after its beginning.
struct StoppedRequest
{
    /// What may have caused a crash: the request's fingerprint and the shared parts of its prompt.
    std::vector<std::string> suspects;
    /// No event of the answer had arrived.
    bool undelivered = false;
    /// The part for which the request was a trial, or empty.
    std::string tried;
    /// When the request was sent to the server.
    TimePoint sentAt {};
};

/// Finds out whether a server has crashed when an answer stops soon after its beginning: a server
/// may as well have failed this answer only, or the connection was reset on the way. A lost
/// connection counts as a crash if the server does not answer a probe either, and a silence only if
/// the server has started again or is gone without having announced that it is leaving. Requests
/// that were given up are treated like silent ones, until the server has answered others.
class CrashInquiry
{
public:
    explicit CrashInquiry(GatewayNode &node)
        : m_node(node)
    { }

    /// The answer to a request has stopped on this start of a server.
    void open(const std::string &server, std::int64_t startedAtMs, StoppedRequest request,
              AnswerLoss loss);
    /// Whether it is not known yet if a server has crashed that this may have crashed. What
    /// concerns requests that were given up does not count: it takes seconds to become known.
    bool isOpen(const std::string &suspect) const;
    void onProbeAnswer(const std::string &server);
    void onProbeFailure(const std::string &server);

private:
    /// A request in question.
    struct Suspect
    {
        StoppedRequest request;
        /// When its answer was found to have stopped.
        TimePoint stoppedAt {};
        /// It was given up, so that the server need not run it any more.
        bool givenUp = false;
        /// When the server was first seen to answer after that.
        std::optional<TimePoint> survivedAt = std::nullopt;
    };

    /// Requests whose answers have stopped on one start of a server.
    struct Case
    {
        std::int64_t startedAtMs = 0;
        bool connectionEnded = false;
        /// When the connection ended.
        TimePoint endedAt {};
        /// In the order in which they stopped.
        std::vector<Suspect> requests;

        /// When the server crashed, if it did: not later than this.
        TimePoint stoppedAt() const
        {
            return connectionEnded || requests.empty() ? endedAt : requests.front().stoppedAt;
        }
    };

    using Cases = std::map<std::string, Case>;

    /// Whether there is room for one more request of this kind.
    bool hasRoom(Cases::const_iterator it, AnswerLoss loss) const;
    /// Whether the server of a case has left or is about to, which is no crash.
    bool isLeaving(const std::string &server, const Case &opened);
    /// Removes the requests that were given up before the server answered others. It has not
    /// started again in between.
    void dropSurvived(const std::string &server, Case &opened);
    /// Removes the requests of which it is known, or too late to learn, that they have not crashed
    /// the server.
    void dropHarmless(const std::string &server, Case &opened);

    /// Probes the servers in question, and looks for those that have started again or are gone.
    void check();
    void scheduleCheck();
    void report(const std::string &server, const Case &opened);
    static void logEnd(const std::string &server, const Case &opened, std::string_view outcome);

    GatewayNode &m_node;
    Cases m_cases;
    TimerId m_timer = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dogwoodvalve
