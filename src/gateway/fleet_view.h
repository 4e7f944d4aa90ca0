#pragma once

#include "gateway/platform_interfaces.h"
#include "gateway/registrations_update.h"

#include <dogwoodvalve/host_table.h>
#include <dogwoodvalve/server_health.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dogwoodvalve {

/// What this host has running on one server, and what it saw there last.
struct ServerLoad
{
    /// Context memory promised, in tokens x layers.
    double committed = 0;
    /// Time that the server needs to read the prompts which it was given and has not read, ms.
    double backlogMs = 0;
    /// Requests of plain services.
    int inFlight = 0;
    /// Streams that have a part on the server.
    int streams = 0;
    /// When a stream that runs over the server last brought an event.
    TimePoint lastProgressAt {};
};

/// Told when the view has changed.
class FleetViewObserver
{
public:
    virtual ~FleetViewObserver() = default;
    virtual void configurationChanged() = 0;
    virtual void serversChanged() = 0;
};

/// What this host believes of the configuration, the servers and the other hosts, and how old each
/// belief is. It belongs to the thread of the event loop.
class FleetView : public FeedEvents
{
public:
    FleetView(TimerService &timers, HostDigest self, Duration keyRevocation);

    void setObserver(FleetViewObserver *observer) { m_observer = observer; }
    /// Is told of a server that other hosts have no answer from, and which is left out therefore.
    void setSuspicionHandler(std::function<void(const std::string &server)> handler)
    {
        m_suspicionHandler = std::move(handler);
    }

    const FleetConfigurationPointer &configuration() const { return m_configuration; }
    const std::string &configurationDocument() const { return m_document; }
    const ServerRegistry &registry() const { return m_registry; }
    ServerHealth &health() { return m_health; }
    HostTable &hosts() { return m_hosts; }
    const HostTable &hosts() const { return m_hosts; }

    /// Who this host is and whether it serves, without what digests tell of servers.
    HostDigest identity() const;
    /// This host's next digest, to be sent to the others.
    HostDigest nextDigest();
    void setLeaving();
    void setKeyRevocation(Duration keyRevocation) { m_keyRevocation = keyRevocation; }
    bool leaving() const { return m_self.leaving; }
    /// Whether the host has been leaving for this long.
    bool leavingFor(Duration time) const
    {
        return leaving() && m_timers.now() - m_leavingSince >= time;
    }
    /// Whether callers can be served: a configuration and the servers are known.
    bool ready() const;
    /// Since the start, the configuration, its confirmation or the servers have not been known yet.
    bool starting() const { return !m_configurationConfirmed || !m_serversKnown; }

    /// How long ago a server was seen for the first time.
    Duration lastArrivalAge() const { return m_timers.now() - m_lastArrivalAt; }

    /// Whether callers' keys can still be judged. A host that neither the store nor another host
    /// has confirmed for too long could accept a key that was taken away.
    bool keysFresh() const;

    /// Adopts what another host tells of itself. Its knowledge of an equal configuration counts as
    /// confirmation.
    void applyDigest(const HostDigest &digest);

    std::shared_ptr<ServerLoad> load(std::string_view server);
    /// Layers that a server holds: its registration, or what it has reported since.
    LayerSpan layersOf(const ServerRegistration &server) const;
    /// The server has reported its layers, or has refused work for layers that it lacks.
    void setReportedLayers(const ServerRegistration &server, LayerSpan layers);

    /// Servers that can be parts of a path, with all hosts' commitments.
    std::vector<PathServer> pathServers(const ServiceRule &service);

    /// This host has asked an engine directly. The factor is on its usual times.
    void recordProbeAnswer(const ServerRegistration &server, double slowness);
    void recordProbeFailure(const ServerRegistration &server);
    /// Factor on an engine's usual times, as this host or another one found it lately.
    double slowness(std::string_view server) const;
    /// Whether something was found that the other hosts should know at once; the next digest tells
    /// it.
    bool hasUrgentUpdate() const { return m_urgentUpdate; }

    /// What another host needs that knows the registrations up to an end of the log.
    RegistrationsUpdate registrationsSince(std::uint64_t endOffset) const;
    /// Takes what another host knew of the registrations at a time.
    void adoptRegistrations(const RegistrationsUpdate &update, TimePoint asOf);

    void onConfiguration(FleetConfigurationPointer configuration,
                         std::string_view document) override;
    void onConfigurationConfirmed(TimePoint asOf) override;
    void onServer(const ServerRegistration &registration, std::uint64_t endOffset) override;
    void onServerGone(std::string_view id, std::uint64_t endOffset) override;
    void onServersUpToDate(std::uint64_t endOffset, TimePoint asOf) override;
    void onServersSnapshotStarted() override;
    Duration configurationAge() const override;
    Duration serversAge() const override;
    std::uint64_t serversEndOffset() const override { return m_serversEndOffset; }

private:
    /// Layers that were learnt otherwise than by the registration.
    struct ReportedLayers
    {
        std::int64_t startedAtMs = 0;
        LayerSpan layers;
        TimePoint at {};
    };

    bool advanceRecordOffset(std::string_view id, std::uint64_t endOffset);
    void applySuspicions(const HostDigest &digest);

    TimerService &m_timers;
    HostDigest m_self;
    Duration m_keyRevocation;
    TimePoint m_leavingSince {};
    FleetViewObserver *m_observer = nullptr;
    FleetConfigurationPointer m_configuration;
    std::string m_document;
    TimePoint m_configurationConfirmedAt {};
    bool m_configurationConfirmed = false;
    ServerRegistry m_registry;
    std::uint64_t m_serversEndOffset = 0;
    TimePoint m_serversReadAt {};
    bool m_serversKnown = false;
    TimePoint m_lastArrivalAt {};
    /// Ids that a reading of all registrations has not named again yet.
    std::vector<std::string> m_unconfirmedServers;
    /// End of the log behind the newest known record of each server, also of servers that are gone,
    /// so that an older record changes nothing.
    std::map<std::string, std::uint64_t, std::less<>> m_recordEndOffsets;
    ServerHealth m_health;
    HostTable m_hosts;
    std::map<std::string, std::shared_ptr<ServerLoad>, std::less<>> m_loads;
    std::map<std::string, ReportedLayers, std::less<>> m_reportedLayers;
    /// Engines that this host found slow, with when.
    std::map<std::string, std::pair<double, TimePoint>, std::less<>> m_slowness;
    /// When engines answered this host.
    std::map<std::string, TimePoint, std::less<>> m_answeredAt;
    std::function<void(const std::string &)> m_suspicionHandler;
    bool m_urgentUpdate = false;
};

} // namespace dogwoodvalve
