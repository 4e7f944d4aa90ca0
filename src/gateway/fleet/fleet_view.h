#pragma once

#include "gateway/fleet/registrations_update.h"
#include "gateway/fleet/restored_registrations.h"
#include "gateway/platform_interfaces.h"

#include <dogwoodvalve/demand_meter.h>
#include <dogwoodvalve/host_table.h>
#include <dogwoodvalve/prompt_quarantine.h>
#include <dogwoodvalve/server_health.h>
#include <dogwoodvalve/server_rate_limits.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace dogwoodvalve {

/// This host's own load on one server.
struct ServerLoad
{
    /// KV cache memory reserved for requests, in tokens x layers.
    double committed = 0;
    /// Expected prefill time of the prompts sent to the server and not processed yet, in ms.
    double backlogMs = 0;
    /// Requests in flight that the server has received from this host, not along a path.
    int inFlight = 0;
    /// When this host last sent a request to the server, not along a path.
    TimePoint lastSentAt {};
    /// Streams whose path includes the server.
    int streams = 0;
    /// When an event last arrived on any of these streams.
    TimePoint lastProgressAt {};
    /// When the head of an answer of the server, not along a path, last arrived.
    TimePoint lastAnsweredAt {};

    TimePoint lastSignOfLife() const { return std::max(lastProgressAt, lastAnsweredAt); }
};

/// Is notified when the view has changed.
class FleetViewObserver
{
public:
    virtual ~FleetViewObserver() = default;
    virtual void configurationChanged() = 0;
    virtual void serversChanged() = 0;
    /// The archive of crashes has been read, or can't be for now.
    virtual void archiveRead() = 0;
};

/// This host's view of the configuration, the servers and the other hosts, with the age of each.
/// It must be used on the thread of the event loop only.
class FleetView : public FeedEvents
{
public:
    FleetView(TimerService &timers, HostDigest self, Duration keyRevocation);

    void setObserver(FleetViewObserver *observer) { m_observer = observer; }
    /// The handler is called for each server that is ejected because enough other hosts report that
    /// it does not answer.
    void setSuspicionHandler(std::function<void(const std::string &server)> handler)
    {
        m_suspicionHandler = std::move(handler);
    }

    /// The handler is called when parts of prompts have come into quarantine.
    void setQuarantineHandler(std::function<void()> handler)
    {
        m_quarantineHandler = std::move(handler);
    }

    const FleetConfigurationPointer &configuration() const { return m_configuration; }
    const std::string &configurationDocument() const { return m_document; }
    const ServerRegistry &registry() const { return m_registry; }
    ServerHealth &health() { return m_health; }
    const PromptQuarantine &quarantine() const { return m_quarantine; }
    HostTable &hosts() { return m_hosts; }
    const HostTable &hosts() const { return m_hosts; }

    /// This host's digest without its findings about the configuration and the servers.
    HostDigest identity() const;
    /// This host's next digest, with the next sequence number, for sending to the other hosts.
    HostDigest nextDigest();
    void setLeaving();
    /// Whether this host has lost its links to the servers.
    void setCutOff(bool cutOff);
    void setKeyRevocation(Duration keyRevocation) { m_keyRevocation = keyRevocation; }
    bool leaving() const { return m_self.leaving; }
    /// Whether the host began to leave at least this long ago.
    bool leavingFor(Duration time) const
    {
        return leaving() && m_timers.now() - m_leavingSince >= time;
    }
    /// Whether new callers can be served: the configuration and the servers are known, and the host
    /// is not leaving.
    bool ready() const;
    /// Whether the host has not yet learned the servers, or a configuration and that it is the
    /// newest, since its start.
    bool starting() const { return !m_configurationConfirmed || !m_serversKnown; }
    /// Whether requests should wait a moment for what the host reads at its start, as far as it can
    /// be had.
    bool awaitsFirstReads() const { return starting() || !m_archiveRead; }

    /// Number of times that the store has come back from a copy since this host's start.
    int storeRestores() const { return m_storeRestores; }

    /// Time since a server that was not registered before was added.
    Duration lastArrivalAge() const { return m_timers.now() - m_lastArrivalAt; }

    /// Whether the configuration is recent enough to check callers' keys. If neither the store nor
    /// another host has confirmed it in time, it could still contain a key that has been revoked.
    bool keysFresh() const;

    /// Merges another host's digest. If it has the same configuration version, its confirmation
    /// counts for this host too.
    void applyDigest(const HostDigest &digest);
    /// Merges what a relay knows of the other hosts.
    void applyRelayDigest(const RelayDigest &digest);

    /// This host's load on a server. The entry is created if there is none.
    std::shared_ptr<ServerLoad> load(std::string_view server);
    /// What this host's callers ask of layered services.
    DemandMeter &demand() { return m_demand; }
    /// The same of all hosts. Nothing if some of them do not report it.
    std::optional<DemandTotals> fleetDemand();
    /// Layers that a server holds, by its own report if there is one since its start, else by its
    /// registration.
    LayerSpan layersOf(const ServerRegistration &server) const;
    /// Overrides the registered layers of a server with those that the server itself reported.
    void setReportedLayers(const ServerRegistration &server, LayerSpan layers);

    /// The service that a server belongs to, or nullptr if it is not configured.
    const ServiceRule *serviceOf(const ServerRegistration &server) const
    {
        return m_configuration ? m_configuration->findService(server.service) : nullptr;
    }

    /// Usable servers for paths of a service, with the load of all hosts on each.
    std::vector<PathServer> pathServers(const ServiceRule &service);

    /// Registered servers of a service that are neither draining nor known to leave.
    std::vector<const ServerRegistration *> availableServers(std::string_view service) const;
    /// When the service can be served again, if servers that want a pause or name a limit are the
    /// only reason why it can't be served now.
    std::optional<TimePoint> servesAgainAt(const ServiceRule &service);
    /// Uses what a server has said in an answer to a request. Returns whether that has changed
    /// which servers requests may be sent to.
    bool recordNotice(std::string_view id, std::int64_t startedAtMs, const ServerNotice &notice);
    /// Uses what an answer to a request that was sent at the given time shows about the rate of
    /// requests that the server accepts.
    void recordRateNotice(std::string_view id, std::int64_t startedAtMs, const ServerNotice &notice,
                          TimePoint sentAt);
    /// Whether a request may be sent to the server now.
    bool acceptsRequest(const ServerRegistration &server);
    /// A request of any kind is being sent to the server. Those that servers forward along a path
    /// do not count.
    void recordRequest(std::string_view id, std::int64_t startedAtMs);
    const ServerRateLimits &rateLimits() const { return m_rateLimits; }

    /// A start of a server has crashed when it had just begun to answer a prompt with these shared
    /// parts, and whether it had not delivered any event of the answer. `tried` is the part for
    /// which the request was a trial, or empty.
    void recordCrash(const std::string &server, std::int64_t startedAtMs,
                     std::span<const std::string> parts, bool undelivered, TimePoint crashedAt,
                     std::string_view tried = {});
    /// Adds crashes that the archive holds.
    void adoptArchivedCrashes(const CrashReports &crashes);
    /// The archive of crashes has been read, or can't be for now.
    void setArchiveRead();
    /// Reported crashes whose evidence the archive is not known to hold.
    std::vector<std::string> unarchivedCrashes() const
    {
        return m_quarantine.unarchived(m_serversEnd.era, m_timers.now());
    }
    /// The archive holds these reports since the given era of the store.
    void recordArchivedCrashes(const CrashReports &crashes, std::uint64_t era)
    {
        m_quarantine.recordArchived(crashes, era);
    }
    /// An answer to a prompt with these shared parts has gone on past its beginning.
    void recordServed(std::span<const std::string> parts, TimePoint begunAt);

    /// An engine answered a probe of this host and reported this factor on its usual times.
    void recordProbeAnswer(const ServerRegistration &server, double slowness);
    /// An engine did not answer a probe of this host.
    void recordProbeFailure(const ServerRegistration &server);
    /// Factor on an engine's usual times, from a recent probe by this host, else by another one; 1
    /// if none found it slow.
    double slowness(std::string_view server) const;
    /// Whether a probe found something that the other hosts need at once. Cleared by the next
    /// digest, which contains it.
    bool hasUrgentUpdate() const { return m_urgentUpdate; }

    /// The update for another host that has read the servers' log up to this position.
    RegistrationsUpdate registrationsSince(LogPosition end) const;
    /// Applies another host's registrations, which were complete at the given time. They are
    /// ignored if this host's own are newer.
    void adoptRegistrations(const RegistrationsUpdate &update, TimePoint asOf);

    void onConfiguration(FleetConfigurationPointer configuration,
                         std::string_view document) override;
    void onConfigurationConfirmed(TimePoint asOf) override;
    void onServer(const ServerRegistration &registration, LogPosition end) override;
    void onServerGone(std::string_view id, LogPosition end) override;
    void onServersUpToDate(LogPosition end, TimePoint asOf) override;
    void onServersSnapshotStarted() override;
    void onStoreRestored() override { ++m_storeRestores; }
    Duration configurationAge() const override;
    std::uint64_t configurationVersion() const override
    {
        return m_configuration ? m_configuration->version() : 0;
    }
    Duration serversAge() const override;
    LogPosition serversEnd() const override { return m_serversEnd; }

private:
    /// Probes renew a finding about every second.
    static constexpr Duration SlownessTimeToLive = std::chrono::seconds(3);

    /// Layers by the server's own report, with when it was received.
    struct ReportedLayers
    {
        std::int64_t startedAtMs = 0;
        LayerSpan layers;
        TimePoint at {};
    };

    /// Returns whether a server's record is newer than the last known one, and remembers its
    /// position if so.
    bool advanceRecordEnd(std::string_view id, LogPosition end);
    /// Applies a registration that a store's copy contained.
    void applyCopied(const ServerRegistration &registration, LogPosition end);
    void applyRegistration(const ServerRegistration &registration, LogPosition end);
    /// The log up to this position does not contain the server.
    void applyAbsence(const std::string &id, LogPosition end);
    /// A registered server has renewed its registration.
    void recordRenewal(const ServerRegistration &registration);
    /// Whether an engine can run one more request that it receives itself, by what all hosts have
    /// in flight there.
    bool hasFreeSlot(const ServerRegistration &server);
    /// Ejects servers that enough hosts report as unanswered, unless this host has had a sign of
    /// life from them.
    void applySuspicion(const std::string &server);
    /// Notes the version that another host has in force.
    void recordReportedVersion(std::uint64_t version);
    /// Whether another host has reported a later configuration than the one in force.
    bool behindOtherHosts() const { return m_reportedVersion > configurationVersion(); }
    /// Another host knows that these servers are leaving.
    void applyDepartures(const std::map<std::string, std::int64_t> &leaving, std::string_view host);
    /// Limits that another host knows of.
    void applyRateLimits(const RateLimitReports &reports, std::string_view host);
    void updateRateShares();
    void logRateLimit(std::string_view id, std::int64_t startedAtMs, std::string_view source) const;
    /// Crashes that another host knows of.
    void applyCrashes(const CrashReports &crashes);
    /// Logs what has changed, has the other hosts told, and calls the handler.
    void noteQuarantineChanges(bool ownFinding);
    /// Another host's confirmation of the same configuration version counts here too.
    void applyConfirmation(const HostDigest &digest, TimePoint sentAt);

    TimerService &m_timers;
    TimePoint m_startedAt;
    HostDigest m_self;
    Duration m_keyRevocation;
    TimePoint m_leavingSince {};
    FleetViewObserver *m_observer = nullptr;
    FleetConfigurationPointer m_configuration;
    std::string m_document;
    TimePoint m_configurationConfirmedAt {};
    bool m_configurationConfirmed = false;
    /// Highest version that another host has reported, and since when this host lacks a version
    /// that another one has.
    std::uint64_t m_reportedVersion = 0;
    TimePoint m_behindSince {};
    ServerRegistry m_registry;
    LogPosition m_serversEnd;
    TimePoint m_serversReadAt {};
    bool m_serversKnown = false;
    TimePoint m_lastArrivalAt {};
    /// Ids of known servers that the snapshot in progress has not contained so far.
    std::vector<std::string> m_unconfirmedServers;
    /// Position just past the newest known record of each server. Removed servers keep theirs, so
    /// that an older record does not bring them back.
    std::map<std::string, LogPosition, std::less<>> m_recordEnds;
    /// Position just past the record by which each registered server's registration last changed,
    /// or past a later one of the server.
    std::map<std::string, LogPosition, std::less<>> m_changeEnds;
    RestoredRegistrations m_restored;
    ServerHealth m_health;
    HostTable m_hosts;
    std::map<std::string, std::shared_ptr<ServerLoad>, std::less<>> m_loads;
    DemandMeter m_demand;
    std::map<std::string, ReportedLayers, std::less<>> m_reportedLayers;
    /// Factor and time of the last probe of each engine that this host found slow.
    std::map<std::string, std::pair<double, TimePoint>, std::less<>> m_slowness;
    /// When engines last answered a probe of this host.
    std::map<std::string, TimePoint, std::less<>> m_answeredAt;
    ServerRateLimits m_rateLimits;
    PromptQuarantine m_quarantine;
    std::function<void(const std::string &)> m_suspicionHandler;
    std::function<void()> m_quarantineHandler;
    bool m_urgentUpdate = false;
    bool m_archiveRead = false;
    int m_storeRestores = 0;
};

} // namespace dogwoodvalve
