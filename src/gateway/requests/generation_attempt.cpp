#include "gateway/requests/generation_attempt.h"

#include "net/http_status.h"
#include "net/http_text.h"

#include <algorithm>

namespace dogwoodvalve {

namespace {

/// A stream without an event for this many times its expected pause, and at least MinStallTimeout,
/// may have lost an engine of its path.
constexpr int StallPauseFactor = 8;
/// The wait for the first event includes the queues of all engines of the path.
constexpr int FirstEventTimeoutFactor = 4;
constexpr Duration MinFirstEventTimeout = 700ms;
/// An answer that is no stream is an error message. Of a longer one no more is read.
constexpr std::size_t MaxErrorBytes = 1U << 20;

} // namespace

std::string describePath(std::span<const PathServer> servers, std::span<const PathPart> parts)
{
    std::string text;
    for (const PathPart &part : parts) {
        if (!text.empty())
            text += ',';
        text += std::string(servers[part.server].id) + ':' + std::to_string(part.layers.first) + '-'
            + std::to_string(part.layers.end);
    }
    return text;
}

GenerationAttempt::GenerationAttempt(GatewayNode &node, GenerationAttemptObserver &observer,
                                     std::string requestId, EnginePath path,
                                     std::vector<ReservedPart> parts, std::string pathText)
    : m_node(node)
    , m_observer(observer)
    , m_requestId(std::move(requestId))
    , m_path(std::move(path))
    , m_parts(std::move(parts))
    , m_pathText(std::move(pathText))
    , m_startedAt(node.now())
    , m_lastProgressAt(m_startedAt)
{
    for (const ReservedPart &part : m_parts) {
        part.load->committed += part.committed;
        part.load->backlogMs += part.backlogMs;
        ++part.load->streams;
        node.view().health().recordDispatch(part.server, part.startedAtMs, m_startedAt);
    }
    ++m_parts.front().load->inFlight;
}

GenerationAttempt::~GenerationAttempt()
{
    close();
}

void GenerationAttempt::close()
{
    if (std::exchange(m_closed, true))
        return;
    m_node.timers().cancel(std::exchange(stallTimer, 0));
    releaseBacklog();
    for (const ReservedPart &part : m_parts) {
        part.load->committed -= part.committed;
        --part.load->streams;
    }
    --m_parts.front().load->inFlight;
    if (const auto client = std::exchange(m_client, nullptr))
        client->close();
}

void GenerationAttempt::releaseBacklog()
{
    for (ReservedPart &part : m_parts)
        part.load->backlogMs =
            std::max(0.0, part.load->backlogMs - std::exchange(part.backlogMs, 0));
}

void GenerationAttempt::onHead(int status, std::span<const HttpField> fields)
{
    m_answer = m_node.dialect().decodeAnswer(status, fields, m_requestId);
    recordNotices();
    m_parts.front().load->lastAnsweredAt = m_node.now();
    m_isStream = status == StatusOk && m_answer.stamped && m_answer.idMatches && !m_answer.encoded;
    m_headArrived = true;
    m_begunAt = m_node.now();
    m_endsWithConnection = findField(fields, "Content-Length").empty()
        && findField(fields, "Transfer-Encoding").empty();
    m_answerFields = m_node.dialect().answerFields(fields);
}

void GenerationAttempt::recordNotices()
{
    m_node.view().recordRateNotice(m_parts.front().server, m_parts.front().startedAtMs,
                                   m_answer.notice, m_startedAt);
    for (const ReservedPart &part : m_parts) {
        if (&part == &m_parts.front())
            m_node.recordNotice(part.server, part.startedAtMs, m_answer.notice);
        else if (part.address == m_answer.faultyAddress)
            m_node.recordNotice(part.server, part.startedAtMs,
                                {false, m_answer.notice.pause, m_answer.notice.pauseUnreadable});
        else if (m_answer.status == StatusOk)
            m_node.recordNotice(part.server, part.startedAtMs, {});
    }
}

void GenerationAttempt::onBody(std::string_view part)
{
    const auto keep = shared_from_this();
    if (!m_isStream && m_answerBody.size() + part.size() > MaxErrorBytes)
        return m_observer.onAttemptError(
            *this,
            {ErrorKind::TooLarge, "the answer is no stream and too long", "see the engine's log"});
    if (!m_isStream) {
        m_answerBody += part;
        return;
    }
    m_splitter.append(part);
    m_observer.onStreamData(*this);
}

void GenerationAttempt::onEnd()
{
    const auto keep = shared_from_this();
    m_observer.onAnswerEnd(*this);
}

void GenerationAttempt::onError(const Error &error)
{
    const auto keep = shared_from_this();
    m_observer.onAttemptError(*this, error);
}

bool GenerationAttempt::isBeginning() const
{
    if (!m_anyEvent)
        return !m_headArrived || m_isStream;
    return m_node.now() - m_begunAt < PromptQuarantine::BeginningTime;
}

void GenerationAttempt::pauseReading(bool paused)
{
    if (m_client)
        m_client->pauseReading(paused);
}

void GenerationAttempt::recordProgress()
{
    m_lastProgressAt = m_node.now();
    if (!std::exchange(m_anyEvent, true))
        m_begunAt = m_lastProgressAt;
    releaseBacklog();
    for (const ReservedPart &part : m_parts)
        part.load->lastProgressAt = m_lastProgressAt;
}

Duration GenerationAttempt::stallTimeout(int stepsPerEvent) const
{
    if (!m_anyEvent)
        return std::max<Duration>(MinFirstEventTimeout,
                                  m_path.timeToFirstEvent * FirstEventTimeoutFactor);
    return std::max<Duration>(MinStallTimeout, m_path.stepTime * stepsPerEvent * StallPauseFactor);
}

std::vector<const ReservedPart *> GenerationAttempt::allParts() const
{
    std::vector<const ReservedPart *> all;
    for (const ReservedPart &part : m_parts)
        all.push_back(&part);
    return all;
}

std::vector<const ReservedPart *> GenerationAttempt::stalledParts() const
{
    std::vector<const ReservedPart *> stalled;
    for (const ReservedPart &part : m_parts) {
        if (m_node.now() - part.load->lastProgressAt >= MinStallTimeout)
            stalled.push_back(&part);
    }
    return stalled;
}

bool GenerationAttempt::anyPartRestarted() const
{
    return std::any_of(m_parts.begin(), m_parts.end(), [this](const ReservedPart &part) {
        const ServerRegistration *server = m_node.view().registry().find(part.server);
        return server && server->startedAtMs > part.startedAtMs;
    });
}

const ReservedPart &GenerationAttempt::partAt(std::string_view address) const
{
    const auto it = std::find_if(m_parts.begin(), m_parts.end(),
                                 [address](const auto &part) { return part.address == address; });
    return it == m_parts.end() ? m_parts.front() : *it;
}

} // namespace dogwoodvalve
