#pragma once

#include <dogwoodvalve/timer_service.h>

#include <cstdint>
#include <map>
#include <memory>
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
/// the server has started again or is gone.
class CrashInquiry
{
public:
    explicit CrashInquiry(GatewayNode &node)
        : m_node(node)
    { }

    /// The answer to a request has stopped on this start of a server.
    void open(const std::string &server, std::int64_t startedAtMs, StoppedRequest request,
              AnswerLoss loss);
    /// Whether it is not known yet if a server has crashed that this may have crashed.
    bool isOpen(const std::string &suspect) const;
    void onProbeAnswer(const std::string &server);
    void onProbeFailure(const std::string &server);

private:
    /// Requests whose answers have stopped on one start of a server.
    struct Case
    {
        std::int64_t startedAtMs = 0;
        TimePoint openedAt {};
        bool connectionEnded = false;
        std::vector<StoppedRequest> requests;
    };

    /// Probes the servers in question, and looks for those that have started again or are gone.
    void check();
    void scheduleCheck();
    void report(const std::string &server, const Case &opened);
    static void logEnd(const std::string &server, const Case &opened, std::string_view outcome);

    GatewayNode &m_node;
    std::map<std::string, Case> m_cases;
    TimerId m_timer = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dogwoodvalve
