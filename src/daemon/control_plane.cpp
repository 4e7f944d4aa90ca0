#include "daemon/control_plane.h"

#include "codec/change_codec.h"
#include "daemon/log.h"

#include <dogwoodvalve/hash.h>

#include <algorithm>

namespace dogwoodvalve {

namespace {

constexpr Duration HostListInterval = 1s;
constexpr Duration PeriodicInterval = 200ms;
/// How long an appended change may take to be read back from the log.
constexpr Duration ChangeTimeout = 10s;

Member selfMember(const EntryContext &context)
{
    const EntrySettings &settings = context.settings();
    Member self;
    self.name = settings.name;
    self.address = settings.listen;
    self.peerAddress = settings.peerListen;
    self.zone = settings.zone;
    self.region = settings.region;
    self.boot = context.boot();
    return self;
}

} // namespace

ControlPlane::ControlPlane(EntryContext &context, TimerService &timers, Platform &platform,
                           PeerTransport &transport, std::function<void()> configurationChanged)
    : m_context(context)
    , m_configurationChanged(std::move(configurationChanged))
    , m_timers(timers)
    , m_platform(platform)
    , m_membership(selfMember(context), context.settings().seeds, MembershipOptions {}, timers,
                   transport, *this)
    , m_follower(platform, timers, *this, ConfigurationFollowerOptions {})
{ }

ControlPlane::~ControlPlane()
{
    m_timers.cancel(m_hostTimer);
    m_timers.cancel(m_periodicTimer);
}

void ControlPlane::start()
{
    membersChanged();
    m_membership.start();
    m_follower.start();
    pollHosts();
    runPeriodicTasks();
}

void ControlPlane::leave()
{
    m_membership.leave();
}

void ControlPlane::pollHosts()
{
    m_platform.listHosts([this, alive = std::weak_ptr(m_alive)](
                             const Result<std::vector<HostStatus>> &hosts) {
        if (alive.expired())
            return;
        if (hosts) {
            m_hosts = hosts.value();
            applyHosts(m_hosts);
        }
        m_hostTimer = m_timers.schedule(m_timers.now() + HostListInterval, [this] { pollHosts(); });
    });
}

/// Servers that the host list marks as leaving get no new requests. A server that is missing from
/// the list keeps its state, and so does every server while the list can't be read, because the
/// list is updated with a delay.
void ControlPlane::applyHosts(const std::vector<HostStatus> &hosts)
{
    m_context.servers().forEach([&](BackendServer &server) {
        const auto it = std::find_if(hosts.begin(), hosts.end(), [&](const HostStatus &host) {
            return host.address == server.address();
        });
        if (it == hosts.end() || it->leaving == server.leaving())
            return;
        server.setLeaving(it->leaving);
        LogEvent("server_leaving")
            .field("server", server.name())
            .field("leaving", it->leaving ? "true" : "false")
            .field("reason", "host list");
    });
}

void ControlPlane::runPeriodicTasks()
{
    m_context.ready.store(m_follower.ready(), std::memory_order_relaxed);
    m_context.isolated.store(m_follower.isolated(), std::memory_order_relaxed);
    Metrics &metrics = m_context.metrics();
    metrics.setIsolated(m_follower.isolated());
    metrics.setLogReachable(m_follower.logReachable());
    metrics.setOpenRequests(static_cast<std::size_t>(
        std::max(0, m_context.openRequests.load(std::memory_order_relaxed))));
    m_context.withAdmission([this](AdmissionController &controller) {
        controller.removeIdleWorkspaces(m_timers.now());
    });
    completePendingChanges();
    m_periodicTimer =
        m_timers.schedule(m_timers.now() + PeriodicInterval, [this] { runPeriodicTasks(); });
}

void ControlPlane::publishChange(const Change &change,
                                 std::function<void(const Result<ChangeOutcome> &)> done)
{
    m_pendingChanges.push_back({change.id, m_timers.now() + ChangeTimeout, std::move(done)});
    m_platform.append(
        ConfigurationStream, writeChange(change),
        [this, id = change.id, alive = std::weak_ptr(m_alive)](const Result<LogOffset> &appended) {
            if (alive.expired())
                return;
            LogEvent("change_appended")
                .field("change", id)
                .field("result", appended ? "appended" : appended.error().message);
            m_follower.pollNow();
        });
}

/// Calls back for each change that has been read back from the log or has reached its deadline.
void ControlPlane::completePendingChanges()
{
    std::vector<PendingChange> rest;
    for (PendingChange &pending : std::exchange(m_pendingChanges, {})) {
        if (const ChangeOutcome *outcome = m_follower.state().outcome(pending.id))
            pending.done(*outcome);
        else if (m_timers.now() >= pending.deadline)
            pending.done(Error {ErrorKind::Timeout,
                                "the outcome of change " + pending.id
                                    + " is not known: it was not read back from the log in time",
                                "ask later with 'dogwoodvalve get --change ID', or apply again "
                                "with the same --change-id"});
        else
            rest.push_back(std::move(pending));
    }
    m_pendingChanges.insert(m_pendingChanges.end(), std::make_move_iterator(rest.begin()),
                            std::make_move_iterator(rest.end()));
}

std::size_t ControlPlane::liveMembers() const
{
    return m_membership.liveCount() - 1;
}

std::size_t ControlPlane::snapshotRank(LogOffset offset) const
{
    const std::string key = "snapshot-" + std::to_string(offset);
    const std::uint64_t own = rendezvousWeight(key, m_membership.self().name);
    const auto members = m_membership.members();
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](const Member &member) {
            return member.state == MemberState::Alive && rendezvousWeight(key, member.name) > own;
        }));
}

void ControlPlane::requestFromPeer(std::string_view peer, LogOffset from)
{
    m_membership.sendTo(peer, ConfigurationRequestMessage {from});
}

void ControlPlane::pushToPeers(const ConfigurationTransfer &transfer, std::string_view except)
{
    m_membership.broadcast(ConfigurationMessage {transfer}, except);
}

void ControlPlane::stateApplied(const ConfigurationState &state)
{
    m_context.publishConfiguration(
        Configuration::compile(state, m_context.servers(), m_context.settings().name));
    m_context.servers().removeUnused();
    applyHosts(m_hosts);
    LogEvent("configuration_applied")
        .field("offset", state.nextOffset())
        .field("objects", state.objects().size());
    m_configurationChanged();
}

void ControlPlane::membersChanged()
{
    m_context.publishMembers(m_membership.members());
    m_context.liveHosts.store(m_membership.liveCount(), std::memory_order_relaxed);
    m_context.metrics().setMembers(m_membership.liveCount());
    LogEvent("members").field("live", m_membership.liveCount());
}

void ControlPlane::configurationMessageReceived(std::string_view peer, const PeerMessage &message)
{
    if (const auto *heartbeat = std::get_if<HeartbeatMessage>(&message))
        m_follower.onPeerOffset(peer, heartbeat->nextOffset, heartbeat->snapshotOffset);
    else if (const auto *request = std::get_if<ConfigurationRequestMessage>(&message))
        m_membership.sendTo(peer, ConfigurationMessage {m_follower.makeTransfer(request->from)});
    else if (const auto *configuration = std::get_if<ConfigurationMessage>(&message))
        m_follower.onTransfer(peer, configuration->transfer);
}

HeartbeatMessage ControlPlane::heartbeatContent()
{
    return {m_follower.state().nextOffset(), m_follower.lastSnapshot(), 0};
}

void ControlPlane::bootRaised(std::uint64_t boot)
{
    LogEvent("boot_raised", LogLevel::Warning)
        .field("boot", boot)
        .field("reason", "another process has used this host's name");
    m_context.resetKeyLedger(boot);
}

void ControlPlane::peerMessageReceived(LinkId link, const PeerMessage &message)
{
    m_membership.messageReceived(link, message);
}

} // namespace dogwoodvalve
