#pragma once

#include "gateway/gateway_node.h"

#include <dogwoodvalve/event_stream.h>

#include <memory>
#include <string>
#include <vector>

namespace dogwoodvalve {

class GenerationAttempt;

/// Is told what arrives on a generation's attempts. An attempt may be closed in any of these calls.
class GenerationAttemptObserver
{
public:
    virtual ~GenerationAttemptObserver() = default;
    /// Bytes of the stream have arrived in the attempt's splitter.
    virtual void onStreamData(GenerationAttempt &attempt) = 0;
    virtual void onAnswerEnd(GenerationAttempt &attempt) = 0;
    virtual void onAttemptError(GenerationAttempt &attempt, const Error &error) = 0;
};

/// A part of an attempt's path, with what the attempt has reserved on its server.
struct ReservedPart
{
    std::string server;
    std::string address;
    std::int64_t startedAtMs = 0;
    std::shared_ptr<ServerLoad> load;
    /// Context memory, in tokens x layers.
    double committed = 0;
    /// Time that the server needs to read the prompt; 0 once it was read.
    double backlogMs = 0;
};

/// The servers of a path and the layers that each of them runs, for log lines: server:first-end.
std::string describePath(std::span<const PathServer> servers, std::span<const PathPart> parts);

/// One run of a generation on a path of engines: what it has reserved there, its connection to the
/// first engine, and what has arrived of the answer.
class GenerationAttempt : public HttpClientEvents,
                          public std::enable_shared_from_this<GenerationAttempt>
{
public:
    /// A stream or a server without progress for this long may be lost.
    static constexpr Duration MinStallTimeout = std::chrono::milliseconds(350);

    /// Reserves the parts on their servers. The observer must outlive the attempt or close it.
    GenerationAttempt(GatewayNode &node, GenerationAttemptObserver &observer, std::string requestId,
                      EnginePath path, std::vector<ReservedPart> parts, std::string pathText);
    ~GenerationAttempt() override;

    GenerationAttempt(const GenerationAttempt &) = delete;
    GenerationAttempt &operator=(const GenerationAttempt &) = delete;

    void setClient(std::shared_ptr<HttpClientRequest> client) { m_client = std::move(client); }
    /// Releases what is reserved and closes the connection. Nothing arrives afterwards.
    void close();

    void onHead(int status, std::span<const HttpField> fields) override;
    void onBody(std::string_view part) override;
    void onEnd() override;
    void onError(const Error &error) override;

    /// Pauses reading from the engine until the caller has taken what is pending.
    void pauseReading(bool paused);
    bool anyByteSent() const { return m_client && m_client->anyByteSent(); }

    /// An event was delivered: the engines have read the prompt, and all of the path are alive.
    void recordProgress();
    /// Time without an event after which an engine of the path may be lost.
    Duration stallTimeout(int stepsPerEvent) const;
    std::vector<const ReservedPart *> allParts() const;
    /// The parts on whose servers no stream of this host has made progress lately.
    std::vector<const ReservedPart *> stalledParts() const;
    /// Whether the engine of a part has restarted. Nothing more can arrive then.
    bool anyPartRestarted() const;
    /// The part at an address, or the first one.
    const ReservedPart &partAt(std::string_view address) const;

    const std::vector<ReservedPart> &parts() const { return m_parts; }
    const EnginePath &path() const { return m_path; }
    const std::string &pathText() const { return m_pathText; }
    const ServerAnswer &answer() const { return m_answer; }
    const std::vector<HttpField> &answerFields() const { return m_answerFields; }
    const std::string &answerBody() const { return m_answerBody; }
    /// The answer is the expected stream of this request.
    bool isStream() const { return m_isStream; }
    /// Whether the answer has neither a length nor chunks, so that its end is that of its
    /// connection.
    bool endsWithConnection() const { return m_endsWithConnection; }
    TimePoint startedAt() const { return m_startedAt; }
    /// When the first event was delivered, before that when the head of the stream arrived.
    TimePoint begunAt() const { return m_begunAt; }
    /// Whether no answer has gone on for long enough to show that the prompt does not crash the
    /// engine. A head or events that an engine has sent may be lost with its connection, so what
    /// has arrived shows little.
    bool isBeginning() const;
    bool anyEvent() const { return m_anyEvent; }
    EventSplitter &splitter() { return m_splitter; }
    TimePoint lastProgressAt() const { return m_lastProgressAt; }
    /// Time since the attempt's start or its last event.
    Duration silence() const { return m_node.now() - m_lastProgressAt; }

    /// No event has come within the stall timeout. The engines may go on nevertheless.
    bool silent = false;
    /// The attempt is included in the session's number of attempts that may have run.
    bool countedAsRun = false;
    /// It is recorded that the answer has gone on past its beginning.
    bool countedAsServed = false;
    TimerId stallTimer = 0;

private:
    void releaseBacklog();
    /// Uses what the answer says about the engines of the path.
    void recordNotices();

    GatewayNode &m_node;
    GenerationAttemptObserver &m_observer;
    std::string m_requestId;
    EnginePath m_path;
    std::vector<ReservedPart> m_parts;
    std::string m_pathText;
    std::shared_ptr<HttpClientRequest> m_client;
    ServerAnswer m_answer;
    std::vector<HttpField> m_answerFields;
    std::string m_answerBody;
    EventSplitter m_splitter;
    TimePoint m_startedAt {};
    TimePoint m_lastProgressAt {};
    TimePoint m_begunAt {};
    bool m_anyEvent = false;
    bool m_headArrived = false;
    bool m_isStream = false;
    bool m_endsWithConnection = false;
    bool m_closed = false;
};

} // namespace dogwoodvalve
