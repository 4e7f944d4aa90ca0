#include "gateway/fleet/crash_inquiry.h"

#include "daemon/log.h"
#include "gateway/gateway_node.h"

#include <algorithm>
#include <utility>

namespace dogwoodvalve {

namespace {

constexpr Duration CheckInterval = 100ms;
/// A server that crashed has started again, or its registration has expired, by then.
constexpr Duration MaxInquiryTime = 10s;
constexpr std::size_t MaxCases = 64;
constexpr std::size_t MaxRequestsPerCase = 64;

} // namespace

void CrashInquiry::open(const std::string &server, std::int64_t startedAtMs, StoppedRequest request,
                        AnswerLoss loss)
{
    const auto it = m_cases.find(server);
    const bool known = it != m_cases.end() && it->second.startedAtMs == startedAtMs;
    std::optional<TimePoint> crashedAt;
    if (!known)
        crashedAt = m_node.view().quarantine().crashedAt(server, startedAtMs);
    else if (it->second.connectionEnded)
        crashedAt = it->second.openedAt;
    // A request that was sent after the crash has not caused it.
    if (crashedAt && request.sentAt > *crashedAt)
        return;
    if (request.suspects.empty() || (it == m_cases.end() && m_cases.size() >= MaxCases))
        return;
    Case &opened = m_cases[server];
    if (!known)
        opened = {startedAtMs, m_node.now(), false, {}};
    // A server that was only silent until now crashes now.
    if (loss == AnswerLoss::ConnectionEnded && !std::exchange(opened.connectionEnded, true))
        opened.openedAt = m_node.now();
    if (opened.requests.size() < MaxRequestsPerCase)
        opened.requests.push_back(std::move(request));
    if (loss == AnswerLoss::ConnectionEnded)
        m_node.survey().probeUnlessProbedSince(server, opened.openedAt);
    scheduleCheck();
}

void CrashInquiry::scheduleCheck()
{
    if (m_timer != 0)
        return;
    m_timer = m_node.timers().schedule(m_node.now() + CheckInterval,
                                       [this, alive = std::weak_ptr(m_alive)] {
                                           if (!alive.expired())
                                               check();
                                       });
}

void CrashInquiry::check()
{
    m_timer = 0;
    const TimePoint now = m_node.now();
    const FleetView &view = m_node.view();
    for (auto it = m_cases.begin(); it != m_cases.end();) {
        const auto &[server, opened] = *it;
        const ServerRegistration *registered = view.registry().find(server);
        const bool crashed = !registered || registered->startedAtMs != opened.startedAtMs;
        if (crashed)
            report(server, opened);
        if (crashed || now - opened.openedAt >= MaxInquiryTime) {
            if (!crashed)
                logEnd(server, opened, "unknown");
            it = m_cases.erase(it);
            continue;
        }
        if (opened.connectionEnded)
            m_node.survey().probeNow(server);
        ++it;
    }
    if (!m_cases.empty())
        scheduleCheck();
}

bool CrashInquiry::isOpen(const std::string &suspect) const
{
    const auto concerns = [&suspect](const StoppedRequest &it) {
        return std::find(it.suspects.begin(), it.suspects.end(), suspect) != it.suspects.end();
    };
    return std::any_of(m_cases.begin(), m_cases.end(), [&](const auto &it) {
        return std::any_of(it.second.requests.begin(), it.second.requests.end(), concerns);
    });
}

void CrashInquiry::onProbeAnswer(const std::string &server)
{
    const auto it = m_cases.find(server);
    if (it == m_cases.end() || !it->second.connectionEnded)
        return;
    logEnd(server, it->second, "answers");
    m_cases.erase(it);
}

void CrashInquiry::onProbeFailure(const std::string &server)
{
    const auto it = m_cases.find(server);
    if (it == m_cases.end() || !it->second.connectionEnded)
        return;
    const Case opened = std::move(it->second);
    m_cases.erase(it);
    report(server, opened);
}

void CrashInquiry::logEnd(const std::string &server, const Case &opened, std::string_view outcome)
{
    LogEvent::decision("crash_inquiry")
        .field("server", server)
        .field("outcome", outcome)
        .field("requests", opened.requests.size());
}

void CrashInquiry::report(const std::string &server, const Case &opened)
{
    logEnd(server, opened, "crashed");
    for (const StoppedRequest &request : opened.requests)
        m_node.view().recordCrash(server, opened.startedAtMs, request.suspects, request.undelivered,
                                  opened.openedAt, request.tried);
}

} // namespace dogwoodvalve
