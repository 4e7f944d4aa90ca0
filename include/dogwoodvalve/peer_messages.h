#pragma once

#include <dogwoodvalve/configuration_follower.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace dogwoodvalve {

/// What is believed of an entry host.
enum class MemberState : std::uint8_t {
    Alive,
    /// Takes no new requests; finishes what it has.
    Draining,
    /// Some link to it has failed; it is given time to object.
    Suspect,
    /// Gone, by its own word or because a suspicion was not refuted.
    Dead,
};

std::string_view toString(MemberState state);

/// One entry host as members know it.
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
    /// Raised by the member itself to refute what is wrongly said of it.
    std::uint32_t incarnation = 0;
    MemberState state = MemberState::Alive;

    bool operator==(const Member &) const = default;
};

/// First message on a link, from both sides.
struct HelloMessage
{
    Member self;
};

/// Sent on each link at short intervals. A digest that differs shows that views differ.
struct HeartbeatMessage
{
    LogOffset nextOffset = 0;
    LogOffset snapshotOffset = 0;
    std::uint64_t viewDigest = 0;
};

/// News of members. Whole views are sent in this form too.
struct MembersMessage
{
    std::vector<Member> members;
    /// The sender asks for the receiver's whole view.
    bool wantsView = false;
};

/// Asks for configuration records from an offset on.
struct ConfigurationRequestMessage
{
    LogOffset from = 0;
};

/// Configuration records or a snapshot.
struct ConfigurationMessage
{
    ConfigurationTransfer transfer;
};

/// The sender closes the link on purpose: this is no sign of failure.
struct GoodbyeMessage
{
};

using PeerMessage = std::variant<HelloMessage, HeartbeatMessage, MembersMessage,
                                 ConfigurationRequestMessage, ConfigurationMessage, GoodbyeMessage>;

} // namespace dogwoodvalve
