#pragma once

#include <dogwoodvalve/configuration_follower.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace dogwoodvalve {

/// State of an entry host in the view of a member. Sent as a number; of two updates with the same
/// boot and incarnation, the one with the later state wins.
enum class MemberState : std::uint8_t {
    Alive,
    /// Takes no new requests and finishes those in flight.
    Draining,
    /// A link to it failed; it has until the suspicion timeout to refute that.
    Suspect,
    /// It left, or did not refute a suspicion in time.
    Dead,
};

std::string_view toString(MemberState state);

/// An entry host as the members know it.
struct Member
{
    std::string name;
    /// IP:PORT for callers.
    std::string address;
    /// IP:PORT for other entry hosts.
    std::string peerAddress;
    std::string zone;
    std::string region;
    /// Higher for each start of the process.
    std::uint64_t boot = 0;
    /// Raised only by the member itself, to refute a suspicion or to announce its own new state.
    std::uint32_t incarnation = 0;
    MemberState state = MemberState::Alive;

    bool operator==(const Member &) const = default;
};

/// First message on a link, from both sides.
struct HelloMessage
{
    Member self;
};

/// Sent on each link at every heartbeat interval.
struct HeartbeatMessage
{
    /// Number of configuration records that the sender has applied.
    LogOffset nextOffset = 0;
    /// Number of records in the newest snapshot that the sender knows of.
    LogOffset snapshotOffset = 0;
    /// Digest of the members that the sender regards as live; it differs if the views differ.
    std::uint64_t viewDigest = 0;
};

/// Updates about members, or the sender's whole view.
struct MembersMessage
{
    std::vector<Member> members;
    /// The sender asks for the receiver's whole view.
    bool wantsView = false;
};

/// Requests the configuration records from an offset on.
struct ConfigurationRequestMessage
{
    LogOffset from = 0;
};

/// Configuration records, or a snapshot for a peer that is too far behind.
struct ConfigurationMessage
{
    ConfigurationTransfer transfer;
};

/// The sender closes the link on purpose, so the receiver must not suspect it.
struct GoodbyeMessage
{
};

using PeerMessage = std::variant<HelloMessage, HeartbeatMessage, MembersMessage,
                                 ConfigurationRequestMessage, ConfigurationMessage, GoodbyeMessage>;

} // namespace dogwoodvalve
