#include "gateway/servers/forwarding.h"

#include "net/http_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace dogwoodvalve {

namespace {

constexpr std::string_view TargetPrefix = "/forward/";
/// Fields with this prefix are removed from the answers of servers.
constexpr std::string_view FieldPrefix = "Forward-";
constexpr const char *OutcomeField = "Forward-Outcome";
constexpr const char *PauseField = "Forward-Pause-Ms";

constexpr std::array<std::pair<ForwardOutcome, std::string_view>, 8> Outcomes {
    {{ForwardOutcome::Answered, "answered"},
     {ForwardOutcome::Unreachable, "unreachable"},
     {ForwardOutcome::TimedOut, "timed_out"},
     {ForwardOutcome::LinksUnproven, "links_unproven"},
     {ForwardOutcome::Lost, "lost"},
     {ForwardOutcome::Paused, "paused"},
     {ForwardOutcome::Unavailable, "unavailable"},
     {ForwardOutcome::Refused, "refused"}}};

bool isLengthField(std::string_view name)
{
    return equalsIgnoringCase(name, "Content-Length")
        || equalsIgnoringCase(name, "Transfer-Encoding");
}

bool isConnectionField(std::string_view name)
{
    return isLengthField(name) || equalsIgnoringCase(name, "Connection")
        || equalsIgnoringCase(name, "Keep-Alive");
}

bool hasPrefix(std::string_view name)
{
    return name.size() > FieldPrefix.size()
        && equalsIgnoringCase(name.substr(0, FieldPrefix.size()), FieldPrefix);
}

bool isPlainId(std::string_view id)
{
    constexpr std::string_view Allowed =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._";
    return !id.empty() && id.find_first_not_of(Allowed) == std::string_view::npos;
}

} // namespace

Result<std::string> encodeForwardTarget(const ForwardTarget &target)
{
    if (!isPlainId(target.server) || !target.target.starts_with('/'))
        return Error {ErrorKind::InvalidArgument, "the request can't be forwarded",
                      "use letters, digits, '-', '.' and '_' in ids of servers"};
    return std::string(TargetPrefix) + target.server + '/' + std::to_string(target.startedAtMs)
        + target.target;
}

std::optional<ForwardTarget> decodeForwardTarget(std::string_view target)
{
    if (!target.starts_with(TargetPrefix))
        return std::nullopt;
    target.remove_prefix(TargetPrefix.size());
    const std::size_t idEnd = target.find('/');
    if (idEnd == std::string_view::npos)
        return std::nullopt;
    ForwardTarget decoded;
    decoded.server = target.substr(0, idEnd);
    target.remove_prefix(idEnd + 1);
    const auto [end, ec] =
        std::from_chars(target.data(), target.data() + target.size(), decoded.startedAtMs);
    target.remove_prefix(static_cast<std::size_t>(end - target.data()));
    if (ec != std::errc() || !target.starts_with('/') || !isPlainId(decoded.server))
        return std::nullopt;
    decoded.target = target;
    return decoded;
}

std::vector<HttpField> forwardOutcomeFields(ForwardOutcome outcome)
{
    const auto *it = std::find_if(Outcomes.begin(), Outcomes.end(),
                                  [outcome](const auto &entry) { return entry.first == outcome; });
    return {{OutcomeField, std::string(it->second)}};
}

std::vector<HttpField> forwardPauseFields(Duration left)
{
    std::vector<HttpField> fields = forwardOutcomeFields(ForwardOutcome::Paused);
    fields.push_back({PauseField, std::to_string(left / 1ms)});
    return fields;
}

std::vector<HttpField> forwardedAnswerFields(std::span<const HttpField> fields)
{
    std::vector<HttpField> forwarded = forwardOutcomeFields(ForwardOutcome::Answered);
    for (const HttpField &field : fields) {
        if (isLengthField(field.name))
            forwarded.push_back({std::string(FieldPrefix) + field.name, field.value});
        else if (!isConnectionField(field.name) && !hasPrefix(field.name))
            forwarded.push_back(field);
    }
    return forwarded;
}

ForwardOutcome decodeForwardOutcome(std::span<const HttpField> fields)
{
    const std::string_view text = findField(fields, OutcomeField);
    const auto *it = std::find_if(Outcomes.begin(), Outcomes.end(),
                                  [text](const auto &entry) { return entry.second == text; });
    return it == Outcomes.end() ? ForwardOutcome::Refused : it->first;
}

Duration decodeForwardPause(std::span<const HttpField> fields)
{
    const std::string_view text = findField(fields, PauseField);
    std::uint32_t ms = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
    const bool readable = ec == std::errc() && end == text.data() + text.size();
    return std::chrono::milliseconds(readable ? ms : 0);
}

std::vector<HttpField> restoreAnswerFields(std::span<const HttpField> fields)
{
    std::vector<HttpField> restored;
    for (const HttpField &field : fields) {
        if (!hasPrefix(field.name)) {
            if (!isConnectionField(field.name))
                restored.push_back(field);
            continue;
        }
        const std::string name = field.name.substr(FieldPrefix.size());
        if (isLengthField(name))
            restored.push_back({name, field.value});
    }
    return restored;
}

std::vector<HttpField> forwardedRequestFields(std::span<const HttpField> fields)
{
    std::vector<HttpField> forwarded(fields.begin(), fields.end());
    std::erase_if(forwarded, [](const HttpField &field) { return isConnectionField(field.name); });
    return forwarded;
}

} // namespace dogwoodvalve
