#pragma once

#include "net/http_client.h"
#include "net/loop_services.h"

#include <dogwoodvalve/crash_report.h>
#include <dogwoodvalve/event_stream.h>
#include <dogwoodvalve/fleet_configuration.h>
#include <dogwoodvalve/fleet_servers.h>
#include <dogwoodvalve/log_position.h>
#include <dogwoodvalve/path_selector.h>
#include <dogwoodvalve/server_notice.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Interfaces to the platform that the gateway runs on. The gateway depends on nothing else of the
/// platform; an adapter implements them, and tests can replace it.

namespace dogwoodvalve {

/// Receives the updates of a PlatformFeed, and reports how old the known state is, whether it came
/// from the platform or from other hosts. All calls are made on the thread of the event loop.
class FeedEvents
{
public:
    virtual ~FeedEvents() = default;
    /// A configuration newer than the previous one, with the document that it was decoded from.
    /// Other hosts fetch the document and decode it themselves.
    virtual void onConfiguration(FleetConfigurationPointer configuration,
                                 std::string_view document) = 0;
    /// At this time, the current configuration was the newest one in the store.
    virtual void onConfigurationConfirmed(TimePoint asOf) = 0;
    /// A registration, with the position just past its record. It is ignored unless this is after
    /// the server's last known record.
    virtual void onServer(const ServerRegistration &registration, LogPosition end) = 0;
    /// A server's registration was removed, by a record that ends at this position.
    virtual void onServerGone(std::string_view id, LogPosition end) = 0;
    /// All records before the position have been read; at this time, the log had no later ones.
    virtual void onServersUpToDate(LogPosition end, TimePoint asOf) = 0;
    /// A snapshot of all registrations follows, up to the next call of onServersUpToDate. Servers
    /// that it does not contain are gone.
    virtual void onServersSnapshotStarted() = 0;
    /// The store has come back from a copy that may lack what was read from it before.
    virtual void onStoreRestored() = 0;
    /// Time since the configuration was last known to be the newest; the maximum if it never was.
    virtual Duration configurationAge() const = 0;
    /// Version of the configuration in force; 0 if there is none.
    virtual std::uint64_t configurationVersion() const = 0;
    /// Time since all registrations were last known; the maximum if they never were.
    virtual Duration serversAge() const = 0;
    /// All records of the servers' log before this position are known.
    virtual LogPosition serversEnd() const = 0;
};

/// How often a host reads the platform's store. Calls are priced and rate limited, so a few hosts
/// read often and the others get the state from them.
enum class FeedRole {
    /// Reads registrations and confirms the configuration at short intervals.
    Reader,
    /// Long-polls for changes of the configuration. Reads anything else only if the other hosts
    /// have not delivered it for a while.
    Follower,
    /// Reads what the other hosts have not delivered for a while, but does not wait for changes.
    Substitute,
    /// Reads nothing but what it needs at its start: the other hosts deliver the rest.
    Dependent,
};

/// Reads the operator's configuration and the servers' registrations, and delivers each change.
class PlatformFeed
{
public:
    virtual ~PlatformFeed() = default;
    virtual void start(FeedEvents &events) = 0;
    virtual void stop() = 0;
    virtual void setRole(FeedRole role) = 0;
    /// Decodes a configuration that was fetched from another host. Errors: Malformed.
    virtual Result<FleetConfigurationPointer> decodeConfiguration(std::string_view document) = 0;
};

/// A host's entry in the store, by which other hosts find it.
struct HostRecord
{
    std::string name;
    /// IP:PORT for other hosts.
    std::string peerAddress;
    std::string zone;
    /// Bandwidth of the host's link; 0 if unknown.
    double linkMbps = 0;

    bool operator==(const HostRecord &other) const = default;
};

/// The lease whose holder alone may order servers to load layers. The fencing token rises with
/// each change of holder; servers refuse orders with a lower one than they have seen.
struct PlacementLease
{
    bool held = false;
    std::uint64_t fencingToken = 0;
};

/// Host discovery and the placement lease, both kept in the platform's store.
class Coordination
{
public:
    virtual ~Coordination() = default;
    /// Writes this host's record.
    virtual void announce(const HostRecord &record, std::function<void(Result<void>)> done) = 0;
    /// Removes a host's record, without waiting for the result.
    virtual void withdraw(std::string_view name) = 0;
    virtual void readHosts(std::function<void(Result<std::vector<HostRecord>>)> done) = 0;
    /// Joins the candidates for the placement lease, or renews the membership. One candidate at a
    /// time holds the lease.
    virtual void renewLease(std::string_view name,
                            std::function<void(Result<PlacementLease>)> done) = 0;
    /// Leaves the candidates, without waiting for the result.
    virtual void releaseLease(std::string_view name) = 0;
};

/// The crash of one start of a server as the archive holds it.
struct ArchivedCrash
{
    /// Name of its record; set by the archive.
    std::string record;
    /// The server and its start, as in CrashReports.
    std::string crash;
    /// By the time of day of the host that wrote it, in ms since 1970.
    std::int64_t crashedAtMs = 0;
    std::map<std::string, SuspectedPart> parts;
};

/// What the archive of crashes holds.
struct ArchivedCrashes
{
    /// The store's era when it was read.
    std::uint64_t era = 0;
    /// Hosts may have written different evidence on the same crash.
    std::vector<ArchivedCrash> crashes;
    /// Names of records that can't be read.
    std::vector<std::string> unreadable;
};

/// Evidence on crashes of servers in the platform's store, which outlasts the hosts.
class CrashArchive
{
public:
    virtual ~CrashArchive() = default;
    /// Writes what a host knows of these crashes, in place of what it has written on them before.
    /// Delivers the store's era.
    virtual void write(std::string_view host, std::span<const ArchivedCrash> crashes,
                       std::function<void(Result<std::uint64_t>)> done) = 0;
    virtual void read(std::function<void(Result<ArchivedCrashes>)> done) = 0;
    /// Removes records, without waiting for the result.
    virtual void remove(std::span<const std::string> records) = 0;
};

/// An engine's answer to an order to load layers.
enum class OrderOutcome {
    /// Loading has begun.
    Begun,
    AlreadyHolds,
    /// The order is invalid or does not fit the server's state.
    Conflict,
    /// The server has seen a higher fencing token.
    Fenced,
    /// Another server has the address now.
    WrongServer,
    /// No answer, or an unexpected one. The order may still be carried out.
    Unknown,
};

std::string_view toString(OrderOutcome outcome);

/// An engine's state, read from the engine itself. Its registration shows the same state later.
struct EngineReport
{
    LayerSpan layers;
    /// While it reports itself busy, its layers are not taken as final.
    bool busy = false;
    /// Orders begun since the engine's start.
    std::uint64_t ordersBegun = 0;
    /// KV cache memory in use, and in total, in tokens x layers.
    double kvCacheUsed = 0;
    double kvCacheTotal = 0;
    /// Factor on the engine's usual times; above 1 means slower.
    double slowness = 1;
};

/// Creates clients for requests to servers.
class ServerConnector
{
public:
    virtual ~ServerConnector() = default;
    /// A client for one request to a server. The label names the request in log lines.
    virtual std::shared_ptr<HttpClientRequest> createClient(const ServerRegistration &server,
                                                            std::string_view label) = 0;
};

/// Calls to engines outside of their request queues.
class EngineControl
{
public:
    /// Receives what a server, by its id and start, says in an answer to one of these calls, and
    /// when the call was sent.
    using NoticeHandler = std::function<void(std::string_view id, std::int64_t startedAtMs,
                                             const ServerNotice &notice, TimePoint sentAt)>;

    virtual ~EngineControl() = default;
    /// The handler is called for each answer that says anything, before its outcome is delivered.
    virtual void setNoticeHandler(NoticeHandler handler) = 0;
    /// Must be called before the first call to an engine. The connector must outlive this object.
    virtual void setConnector(ServerConnector &connector) = 0;
    virtual void orderLayers(const ServerRegistration &server, LayerSpan layers,
                             std::uint64_t fencingToken,
                             std::function<void(OrderOutcome)> done) = 0;
    /// Reads the engine's state. Errors: any failure to get a readable answer in time.
    virtual void readReport(const ServerRegistration &server,
                            std::function<void(Result<EngineReport>)> done) = 0;
};

/// One part of a path as it is sent to an engine.
struct DispatchPart
{
    /// IP:PORT of the engine.
    std::string address;
    LayerSpan layers;
};

/// The decoded header fields of a caller's request. The views are valid as long as its exchange.
struct CallerRequest
{
    std::string id;
    std::string_view host;
    std::string_view key;
    /// Longest time that the caller waits, if the request states it.
    std::optional<Duration> deadline;
    /// Id of the last event that the caller has received, if it resumes a stream.
    std::optional<std::uint64_t> lastEventId;
    /// Expected size in tokens. Absent if the request states no prompt size.
    std::optional<SequenceSize> size;
    /// Ids of the parts of the prompt that other requests may share, in order.
    std::vector<std::string> sharedPromptParts;
};

/// The first of these parts of a prompt, of which callers choose the number, for a log line.
inline std::span<const std::string> loggedParts(std::span<const std::string> parts)
{
    constexpr std::size_t MaxLoggedParts = 16;
    return parts.first(std::min(parts.size(), MaxLoggedParts));
}

/// The values that a dispatch adds to a caller's request or replaces in it.
struct DispatchRequest
{
    const ServerRegistration *server = nullptr;
    /// Empty if the caller's key was not checked.
    std::string_view workspace;
    /// Time left until the request times out.
    Duration timeLeft {};
    /// The stream continues after this event.
    std::optional<std::uint64_t> lastEventId;
    /// Empty for plain services.
    std::span<const DispatchPart> path;
    /// 0 is admitted first.
    int urgency = 5;
};

/// The decoded head of a server's answer.
struct ServerAnswer
{
    int status = 0;
    /// The answer has the field that only servers add; without it, something else on the way wrote
    /// the answer.
    bool stamped = false;
    /// The request that the answer is for has not run and never will.
    bool notRun = false;
    /// Callers take an answer with this status for a promise that the request has not run.
    bool promisesNotRun = false;
    /// False if the answer carries the id of another request.
    bool idMatches = true;
    /// Address of the server on the path that could not take its part; empty if none is named.
    std::string faultyAddress;
    /// The body has a content coding, that was not asked for.
    bool encoded = false;
    /// Nothing in an answer of another server than the one asked.
    ServerNotice notice;

    /// Whether the server itself has answered this request: it has signed the answer, or refused
    /// the request.
    bool isOwn() const { return idMatches && (stamped || notRun); }
    /// Whether the answer can be passed on: signed by the server for this request, without a
    /// content coding, and promising nothing that the server does not say.
    bool isDeliverable() const
    {
        return stamped && idMatches && !encoded && (notRun || !promisesNotRun);
    }
};

/// Encodes and decodes the platform's header fields between callers, entry hosts and servers.
class CallerDialect
{
public:
    virtual ~CallerDialect() = default;
    virtual CallerRequest decodeRequest(const HttpExchange &exchange) const = 0;
    virtual HttpRequestHead encodeDispatch(const HttpExchange &exchange,
                                           const DispatchRequest &request) const = 0;
    virtual ServerAnswer decodeAnswer(int status, std::span<const HttpField> fields,
                                      std::string_view requestId) const = 0;
    /// The fields of a server's answer that are forwarded to the caller.
    virtual std::vector<HttpField> answerFields(std::span<const HttpField> fields) const = 0;
    /// The fields of an answer by which the gateway itself refuses a request.
    virtual std::vector<HttpField> refusalFields(std::string_view requestId,
                                                 std::optional<Duration> retryAfter) const = 0;
    /// The availability zone that a look-up of addresses for callers comes from; empty if unknown.
    virtual std::string lookupZone(std::string_view target) const = 0;
    /// The body of the answer to a look-up.
    virtual std::string lookupAnswer(std::span<const std::string> addresses,
                                     Duration timeToLive) const = 0;
    virtual std::string_view lookupPath() const = 0;
    virtual std::string_view readinessPath() const = 0;
};

/// All parts of an adapter.
struct GatewayPlatform
{
    std::unique_ptr<PlatformFeed> feed;
    std::unique_ptr<Coordination> coordination;
    std::unique_ptr<CrashArchive> crashes;
    std::unique_ptr<EngineControl> engines;
    std::unique_ptr<CallerDialect> dialect;
};

using GatewayPlatformFactory = std::function<GatewayPlatform(LoopServices &loop)>;

} // namespace dogwoodvalve
