#pragma once

#include "net/http_client.h"
#include "net/loop_services.h"

#include <dogwoodvalve/event_stream.h>
#include <dogwoodvalve/fleet_configuration.h>
#include <dogwoodvalve/fleet_servers.h>
#include <dogwoodvalve/path_selector.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// What the gateway needs of the platform that it runs on. The daemon knows only these interfaces;
/// an adapter implements them, and tests put mocks in their place.

namespace dogwoodvalve {

/// Receives what the platform says, and tells what is known already, from the platform or from
/// other hosts. All calls come on the thread of the event loop.
class FeedEvents
{
public:
    virtual ~FeedEvents() = default;
    /// A configuration that is newer than the one before. The document is its encoded form, which
    /// other hosts can adopt.
    virtual void onConfiguration(FleetConfigurationPointer configuration,
                                 std::string_view document) = 0;
    /// The newest configuration was known to be in force at this time.
    virtual void onConfigurationConfirmed(TimePoint asOf) = 0;
    /// A registration, and the end of the log behind its record. One that is not newer than what
    /// is known of the server changes nothing.
    virtual void onServer(const ServerRegistration &registration, std::uint64_t endOffset) = 0;
    virtual void onServerGone(std::string_view id, std::uint64_t endOffset) = 0;
    /// All registrations up to an end of the log are known as of this time.
    virtual void onServersUpToDate(std::uint64_t endOffset, TimePoint asOf) = 0;
    /// Registrations were read anew from the start; those that are not named again are gone.
    virtual void onServersSnapshotStarted() = 0;
    /// How long ago the configuration was known to be the newest.
    virtual Duration configurationAge() const = 0;
    /// How long ago all registrations were known, and up to which end of the log.
    virtual Duration serversAge() const = 0;
    virtual std::uint64_t serversEndOffset() const = 0;
};

/// How closely a host follows the platform. Calls are priced and limited in rate, so a few hosts
/// read for all and the others learn from them.
enum class FeedRole {
    Reader,
    /// Awaits changes of the configuration, and reads for itself only what others have not told
    /// lately.
    Follower,
};

/// Follows the operator's configuration and the servers' registrations.
class PlatformFeed
{
public:
    virtual ~PlatformFeed() = default;
    virtual void start(FeedEvents &events) = 0;
    virtual void stop() = 0;
    virtual void setRole(FeedRole role) = 0;
    /// Decodes a configuration that another host has passed on. Errors: Malformed.
    virtual Result<FleetConfigurationPointer> decodeConfiguration(std::string_view document) = 0;
};

/// How other hosts can be reached.
struct HostRecord
{
    std::string name;
    std::string peerAddress;
};

/// Whether this host may order servers to load layers, and with which fencing number.
struct PlacementLease
{
    bool held = false;
    std::uint64_t fencingToken = 0;
};

/// What hosts agree on through the platform.
class Coordination
{
public:
    virtual ~Coordination() = default;
    virtual void announce(const HostRecord &record, std::function<void(Result<void>)> done) = 0;
    virtual void withdraw(std::string_view name) = 0;
    virtual void readHosts(std::function<void(Result<std::vector<HostRecord>>)> done) = 0;
    /// Joins the hosts that may hold the placement lease, or stays among them.
    virtual void renewLease(std::string_view name,
                            std::function<void(Result<PlacementLease>)> done) = 0;
    virtual void releaseLease(std::string_view name) = 0;
};

/// What became of an order.
enum class OrderOutcome {
    Begun,
    AlreadyHolds,
    /// It does not fit the server's state.
    Conflict,
    /// Another holder has used a higher fencing number.
    Fenced,
    /// Another server has the address now.
    WrongServer,
    /// No answer, or one that says nothing: it may be carried out, also later.
    Unknown,
};

std::string_view toString(OrderOutcome outcome);

/// What an engine says of itself at once, without the lag of its registration.
struct EngineReport
{
    LayerSpan layers;
    bool busy = false;
    std::uint64_t ordersBegun = 0;
    /// Memory for contexts in use, and all of it, in tokens x layers.
    double contextUsed = 0;
    double contextTotal = 0;
    /// Factor on the times of the engine; above 1 means slow.
    double slowness = 1;
};

/// Orders and questions to engines.
class EngineControl
{
public:
    virtual ~EngineControl() = default;
    virtual void orderLayers(const ServerRegistration &server, LayerSpan layers,
                             std::uint64_t fencingToken,
                             std::function<void(OrderOutcome)> done) = 0;
    virtual void readReport(const ServerRegistration &server,
                            std::function<void(Result<EngineReport>)> done) = 0;
};

/// A part of a path as an engine is told it.
struct DispatchPart
{
    std::string address;
    LayerSpan layers;
};

/// What a caller's request says of itself. Views are valid as long as its exchange.
struct CallerRequest
{
    std::string id;
    std::string_view host;
    std::string_view key;
    /// Longest time that the caller waits, if it says so.
    std::optional<Duration> deadline;
    /// The last event that the caller has, if it resumes a stream.
    std::optional<std::uint64_t> lastEventId;
    /// Present for generations.
    std::optional<SequenceSize> size;
};

/// A request as a server is to get it.
struct DispatchRequest
{
    const ServerRegistration *server = nullptr;
    std::string_view workspace;
    Duration timeLeft {};
    std::optional<std::uint64_t> lastEventId;
    std::span<const DispatchPart> path;
    int urgency = 5;
};

/// The head of a server's answer, decoded.
struct ServerAnswer
{
    int status = 0;
    /// The server's proof that the answer is its own.
    bool stamped = false;
    /// The server says that the request has not run and never will.
    bool notRun = false;
    /// The answer belongs to this request, as far as the server says.
    bool idMatches = true;
    /// The server that could not take its part of a path, by address.
    std::string faultyAddress;
    /// The body is in a coding that nobody asked for.
    bool encoded = false;
};

/// The header fields between callers, entry hosts and servers.
class CallerDialect
{
public:
    virtual ~CallerDialect() = default;
    virtual CallerRequest decodeRequest(const HttpExchange &exchange) const = 0;
    virtual HttpRequestHead encodeDispatch(const HttpExchange &exchange,
                                           const DispatchRequest &request) const = 0;
    virtual ServerAnswer decodeAnswer(int status, std::span<const HttpField> fields,
                                      std::string_view requestId) const = 0;
    /// The fields that go to the caller.
    virtual std::vector<HttpField> answerFields(std::span<const HttpField> fields) const = 0;
    /// Fields of an answer of our own. The pause is when the caller should come back.
    virtual std::vector<HttpField> refusalFields(std::string_view requestId,
                                                 std::optional<Duration> retryAfter) const = 0;
    /// The body of an answer to a look-up of callers' addresses, and where the look-up comes from.
    virtual std::string lookupZone(std::string_view target) const = 0;
    virtual std::string lookupAnswer(std::span<const std::string> addresses,
                                     Duration timeToLive) const = 0;
    virtual std::string_view lookupPath() const = 0;
    virtual std::string_view readinessPath() const = 0;
};

/// Everything that an adapter provides.
struct GatewayPlatform
{
    std::unique_ptr<PlatformFeed> feed;
    std::unique_ptr<Coordination> coordination;
    std::unique_ptr<EngineControl> engines;
    std::unique_ptr<CallerDialect> dialect;
};

using GatewayPlatformFactory = std::function<GatewayPlatform(LoopServices &loop)>;

} // namespace dogwoodvalve
