#pragma once

#include "daemon/entry_context.h"
#include "daemon/peer_links.h"

#include <dogwoodvalve/configuration_follower.h>
#include <dogwoodvalve/membership.h>

#include <functional>
#include <memory>
#include <string>

namespace dogwoodvalve {

/// The background work of an entry process: it follows the configuration, keeps track of the other
/// entry hosts and polls the platform's host list. It runs on the control thread.
class ControlPlane : public ConfigurationFollowerHooks,
                     public MembershipHooks,
                     public PeerLinkEvents
{
public:
    ControlPlane(EntryContext &context, TimerService &timers, Platform &platform,
                 PeerTransport &transport, std::function<void()> configurationChanged);
    ~ControlPlane() override;

    void start();
    void announceDraining() { m_membership.announceDraining(); }
    void leave();

    /// Appends a change to the configuration log. Calls `done` with the outcome once the change has
    /// been read back from the log, or with a Timeout error if that does not happen in time.
    void publishChange(const Change &change,
                       std::function<void(const Result<ChangeOutcome> &)> done);

    const ConfigurationFollower &follower() const { return m_follower; }
    const Membership &membership() const { return m_membership; }
    TimerService &timers() { return m_timers; }
    EntryContext &context() { return m_context; }

    std::size_t liveMembers() const override;
    std::size_t snapshotRank(LogOffset offset) const override;
    void requestFromPeer(std::string_view peer, LogOffset from) override;
    void pushToPeers(const ConfigurationTransfer &transfer, std::string_view except) override;
    void stateApplied(const ConfigurationState &state) override;

    void membersChanged() override;
    void configurationMessageReceived(std::string_view peer, const PeerMessage &message) override;
    HeartbeatMessage heartbeatContent() override;
    void bootRaised(std::uint64_t boot) override;

    void peerLinkUp(LinkId link, bool outgoing) override { m_membership.linkUp(link, outgoing); }
    void peerLinkDown(LinkId link) override { m_membership.linkDown(link); }
    void peerMessageReceived(LinkId link, const PeerMessage &message) override;

private:
    /// An appended change whose outcome is not known yet, and the operator's callback.
    struct PendingChange
    {
        std::string id;
        TimePoint deadline {};
        std::function<void(const Result<ChangeOutcome> &)> done;
    };

    void pollHosts();
    void applyHosts(const std::vector<HostStatus> &hosts);
    void runPeriodicTasks();
    void completePendingChanges();

    EntryContext &m_context;
    std::function<void()> m_configurationChanged;
    TimerService &m_timers;
    Platform &m_platform;
    Membership m_membership;
    ConfigurationFollower m_follower;
    std::vector<PendingChange> m_pendingChanges;
    std::vector<HostStatus> m_hosts;
    /// Expires with this object: platform callbacks that run later see that and do nothing.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    TimerId m_hostTimer = 0;
    TimerId m_periodicTimer = 0;
};

} // namespace dogwoodvalve
