#pragma once

#include "daemon/entry_context.h"
#include "daemon/peer_links.h"

#include <dogwoodvalve/configuration_follower.h>
#include <dogwoodvalve/membership.h>

#include <functional>
#include <memory>
#include <string>

namespace dogwoodvalve {

/// What an entry process does besides requests: it follows the configuration, knows the other
/// entry hosts and reads the host list. It runs on the control thread.
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

    /// Publishes a change and calls back once its fate is known, or Timeout if it is not.
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
    /// A change whose fate an operator waits for.
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
    /// Answers of the platform that come after this object's end find it gone.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    TimerId m_hostTimer = 0;
    TimerId m_periodicTimer = 0;
};

} // namespace dogwoodvalve
