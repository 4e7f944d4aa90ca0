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
constexpr std::size_t MaxCases = 256;
constexpr std::size_t MaxRequestsPerCase = 64;
/// The same for requests that were given up, which are many in quiet times too. Room is left for
/// the others, which are stronger evidence.
constexpr std::size_t MaxGivenUpCases = 192;
constexpr std::size_t MaxGivenUpPerCase = 16;
/// Answers of a server that arrive this long after a request was given up have been written after
/// it.
constexpr Duration MaxAnswerDelay = 500ms;
/// An answer may be that of the server's next start, whose registration is read within this time.
constexpr Duration MaxRegistrationDelay = 3s;

} // namespace

bool CrashInquiry::hasRoom(Cases::const_iterator it, AnswerLoss loss) const
{
    const bool givenUp = loss == AnswerLoss::GivenUp;
    if (it == m_cases.end())
        return m_cases.size() < (givenUp ? MaxGivenUpCases : MaxCases);
    return it->second.requests.size() < (givenUp ? MaxGivenUpPerCase : MaxRequestsPerCase);
}

void CrashInquiry::open(const std::string &server, std::int64_t startedAtMs, StoppedRequest request,
                        AnswerLoss loss)
{
    const auto it = m_cases.find(server);
    const bool known = it != m_cases.end() && it->second.startedAtMs == startedAtMs;
    std::optional<TimePoint> crashedAt;
    if (!known)
        crashedAt = m_node.view().quarantine().crashedAt(server, startedAtMs);
    else if (it->second.connectionEnded)
        crashedAt = it->second.endedAt;
    // A request that was sent after the crash has not caused it.
    if (crashedAt && request.sentAt > *crashedAt)
        return;
    if (request.suspects.empty())
        return;
    const bool hasPlace = hasRoom(known ? it : m_cases.cend(), loss);
    if (!known && !hasPlace)
        return;
    // A trial that was given up has shown nothing.
    if (loss == AnswerLoss::GivenUp)
        request.tried.clear();
    Case &opened = m_cases[server];
    if (!known)
        opened = {startedAtMs, false, {}, {}};
    // A server that was only silent until now crashes now.
    if (loss == AnswerLoss::ConnectionEnded && !std::exchange(opened.connectionEnded, true)) {
        opened.endedAt = m_node.now();
        dropSurvived(server, opened);
    }
    const bool listed = std::any_of(opened.requests.begin(), opened.requests.end(),
                                    [&request](const Suspect &other) {
                                        return other.request.sentAt == request.sentAt
                                            && other.request.suspects == request.suspects;
                                    });
    if (hasPlace && !listed)
        opened.requests.push_back({std::move(request), m_node.now(), loss == AnswerLoss::GivenUp});
    if (loss == AnswerLoss::ConnectionEnded)
        m_node.survey().probeUnlessProbedSince(server, opened.endedAt);
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
        auto &[server, opened] = *it;
        const ServerRegistration *registered = view.registry().find(server);
        const bool gone = !registered || registered->startedAtMs != opened.startedAtMs;
        const bool left = !opened.connectionEnded && isLeaving(server, opened);
        if (gone && !left)
            report(server, opened);
        else if (!opened.connectionEnded)
            dropHarmless(server, opened);
        const bool over = opened.connectionEnded ? now - opened.endedAt >= MaxInquiryTime
                                                 : opened.requests.empty();
        if (gone || left || over) {
            if (left || !gone)
                logEnd(server, opened, left ? "leaving" : "unknown");
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

bool CrashInquiry::isLeaving(const std::string &server, const Case &opened)
{
    const ServerRegistration *registered = m_node.view().registry().find(server);
    return m_node.view().health().isLeaving(server, opened.startedAtMs)
        || (registered && registered->startedAtMs == opened.startedAtMs && registered->draining);
}

void CrashInquiry::dropSurvived(const std::string &server, Case &opened)
{
    const TimePoint answeredAt = m_node.view().load(server)->lastSignOfLife();
    std::erase_if(opened.requests, [answeredAt](const Suspect &it) {
        return it.givenUp && answeredAt > it.stoppedAt + MaxAnswerDelay;
    });
}

void CrashInquiry::dropHarmless(const std::string &server, Case &opened)
{
    const TimePoint now = m_node.now();
    const TimePoint answeredAt = m_node.view().load(server)->lastSignOfLife();
    const TimePoint registeredAt = now - std::min(m_node.view().serversAge(), MaxInquiryTime);
    std::erase_if(opened.requests, [&](Suspect &it) {
        if (it.givenUp && !it.survivedAt && answeredAt > it.stoppedAt + MaxAnswerDelay)
            it.survivedAt = answeredAt;
        return now - it.stoppedAt >= MaxInquiryTime
            || (it.survivedAt && registeredAt >= *it.survivedAt + MaxRegistrationDelay);
    });
}

bool CrashInquiry::isOpen(const std::string &suspect) const
{
    const auto concerns = [&suspect](const Suspect &it) {
        const std::vector<std::string> &suspects = it.request.suspects;
        return !it.givenUp
            && std::find(suspects.begin(), suspects.end(), suspect) != suspects.end();
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
    for (const Suspect &it : opened.requests)
        m_node.view().recordCrash(server, opened.startedAtMs, it.request.suspects,
                                  it.request.undelivered, opened.stoppedAt(), it.request.tried);
}

} // namespace dogwoodvalve
