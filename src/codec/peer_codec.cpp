#include "codec/peer_codec.h"

#include <nlohmann/json.hpp>

namespace dogwoodvalve {

using nlohmann::json;

namespace {

constexpr std::size_t MaxTextFieldBytes = 4096;

/// Message types on the wire. Existing numbers must not change.
enum class WireType : std::uint8_t {
    Hello = 1,
    Heartbeat = 2,
    Members = 3,
    ConfigurationRequest = 4,
    Configuration = 5,
    Goodbye = 6,
};

json memberToJson(const Member &member)
{
    return json::array({member.name, member.address, member.peerAddress, member.zone, member.region,
                        member.boot, member.incarnation, static_cast<int>(member.state)});
}

/// Reads the fields of an array in order and records whether any was missing or of a wrong type.
class FieldReader
{
public:
    explicit FieldReader(const json &fields, std::size_t firstIndex)
        : m_fields(fields)
        , m_nextIndex(firstIndex)
    { }

    std::string text(std::size_t maxBytes = MaxTextFieldBytes)
    {
        const json *field = nextField();
        if (!field || !(field->is_string() || field->is_binary()))
            return invalid<std::string>();
        std::string value = field->is_string()
            ? field->get<std::string>()
            : std::string(field->get_binary().begin(), field->get_binary().end());
        return value.size() > maxBytes ? invalid<std::string>() : value;
    }

    std::uint64_t number()
    {
        const json *field = nextField();
        if (!field || !field->is_number_unsigned())
            return invalid<std::uint64_t>();
        return field->get<std::uint64_t>();
    }

    const json &list()
    {
        static const json Empty = json::array();
        const json *field = nextField();
        if (field && field->is_array())
            return *field;
        m_valid = false;
        return Empty;
    }

    bool valid() const { return m_valid; }

private:
    const json *nextField()
    {
        if (!m_fields.is_array() || m_nextIndex >= m_fields.size())
            return nullptr;
        return &m_fields[m_nextIndex++];
    }

    template <class Value>
    Value invalid()
    {
        m_valid = false;
        return {};
    }

    const json &m_fields;
    std::size_t m_nextIndex;
    bool m_valid = true;
};

Member readMember(const json &fields, bool &valid)
{
    FieldReader reader(fields, 0);
    Member member;
    member.name = reader.text();
    member.address = reader.text();
    member.peerAddress = reader.text();
    member.zone = reader.text();
    member.region = reader.text();
    member.boot = reader.number();
    member.incarnation = static_cast<std::uint32_t>(reader.number());
    const std::uint64_t state = reader.number();
    valid = valid && reader.valid() && !member.name.empty()
        && state <= static_cast<std::uint64_t>(MemberState::Dead);
    if (valid)
        member.state = static_cast<MemberState>(state);
    return member;
}

json startMessage(WireType type)
{
    return json::array({static_cast<int>(type)});
}

/// Converts each type of message to an array of fields.
struct MessageWriter
{
    json operator()(const HelloMessage &message) const
    {
        json out = startMessage(WireType::Hello);
        out.push_back(memberToJson(message.self));
        return out;
    }

    json operator()(const HeartbeatMessage &message) const
    {
        return json::array({static_cast<int>(WireType::Heartbeat), message.nextOffset,
                            message.snapshotOffset, message.viewDigest});
    }

    json operator()(const MembersMessage &message) const
    {
        json list = json::array();
        for (const Member &member : message.members)
            list.push_back(memberToJson(member));
        json out = startMessage(WireType::Members);
        out.push_back(std::move(list));
        out.push_back(message.wantsView ? 1 : 0);
        return out;
    }

    json operator()(const ConfigurationRequestMessage &message) const
    {
        return json::array({static_cast<int>(WireType::ConfigurationRequest), message.from});
    }

    json operator()(const ConfigurationMessage &message) const
    {
        json out = startMessage(WireType::Configuration);
        out.push_back(message.transfer.from);
        out.push_back(json(message.transfer.records));
        out.push_back(message.transfer.snapshot);
        return out;
    }

    json operator()(const GoodbyeMessage &) const { return startMessage(WireType::Goodbye); }
};

MembersMessage readMembers(FieldReader &reader, bool &valid)
{
    MembersMessage message;
    for (const json &fields : reader.list())
        message.members.push_back(readMember(fields, valid));
    message.wantsView = reader.number() != 0;
    return message;
}

ConfigurationMessage readConfiguration(FieldReader &reader, bool &valid)
{
    ConfigurationMessage message;
    message.transfer.from = reader.number();
    for (const json &record : reader.list()) {
        if (record.is_string())
            message.transfer.records.push_back(record.get<std::string>());
        else
            valid = false;
    }
    message.transfer.snapshot = reader.text(MaxPeerMessageBytes);
    return message;
}

PeerMessage readMessageFields(WireType type, FieldReader &reader, bool &valid)
{
    switch (type) {
    case WireType::Hello:
        return HelloMessage {readMember(reader.list(), valid)};
    case WireType::Heartbeat: {
        HeartbeatMessage message;
        message.nextOffset = reader.number();
        message.snapshotOffset = reader.number();
        message.viewDigest = reader.number();
        return message;
    }
    case WireType::Members:
        return readMembers(reader, valid);
    case WireType::ConfigurationRequest:
        return ConfigurationRequestMessage {reader.number()};
    case WireType::Configuration:
        return readConfiguration(reader, valid);
    case WireType::Goodbye:
        return GoodbyeMessage {};
    }
    valid = false;
    return GoodbyeMessage {};
}

} // namespace

std::string writePeerMessage(const PeerMessage &message)
{
    std::string bytes;
    json::to_cbor(std::visit(MessageWriter {}, message), bytes);
    return bytes;
}

Result<PeerMessage> readPeerMessage(std::string_view bytes)
{
    const Error malformed {ErrorKind::Malformed, "a peer's message is malformed",
                           "run program versions at most one protocol version apart"};
    if (bytes.size() > MaxPeerMessageBytes)
        return malformed;
    const json fields = json::from_cbor(bytes, true, false);
    FieldReader reader(fields, 0);
    const std::uint64_t type = reader.number();
    if (!reader.valid() || type > static_cast<std::uint64_t>(WireType::Goodbye))
        return malformed;
    bool valid = true;
    PeerMessage message = readMessageFields(static_cast<WireType>(type), reader, valid);
    if (!valid || !reader.valid())
        return malformed;
    return message;
}

} // namespace dogwoodvalve
