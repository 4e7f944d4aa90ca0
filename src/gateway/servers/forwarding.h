#pragma once

#include "net/http_server.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What hosts say to one another when one forwards a request to a server for another one: in the
/// request target which server is meant, in header fields of the answer what became of the request.

namespace dogwoodvalve {

/// A request target that names the server to which a request is to be forwarded.
struct ForwardTarget
{
    std::string server;
    /// Start of the server that is meant, Unix time in ms.
    std::int64_t startedAtMs = 0;
    /// The request target for the server.
    std::string target;
};

/// Errors: InvalidArgument for a server's id or a target that can't be part of a request target.
Result<std::string> encodeForwardTarget(const ForwardTarget &target);
/// Returns nothing if the target does not name a server.
std::optional<ForwardTarget> decodeForwardTarget(std::string_view target);

/// What became of a request that was to be forwarded.
enum class ForwardOutcome {
    /// The server has answered; the answer follows.
    Answered,
    /// The server refuses connections, or does not accept them in time, though the host connects to
    /// others.
    Unreachable,
    TimedOut,
    /// The host could not connect to the server, and perhaps to no other one.
    LinksUnproven,
    /// The server's connection was lost before its answer; the request may have run.
    Lost,
    /// The server wants no request from the host for a while. Nothing was sent.
    Paused,
    /// The host does not use this server: it is leaving, or not known there yet. Nothing was sent.
    Unavailable,
    /// The host does not forward this request. Nothing was sent.
    Refused,
};

/// The header fields of an answer that does not come from the server.
std::vector<HttpField> forwardOutcomeFields(ForwardOutcome outcome);
/// The fields of the outcome Paused, with the rest of the server's pause.
std::vector<HttpField> forwardPauseFields(Duration left);
/// The header fields of an answer that forwards the server's, whose framing is replaced by that of
/// the connection between the hosts.
std::vector<HttpField> forwardedAnswerFields(std::span<const HttpField> fields);

/// An answer without an outcome is not one to a forwarded request, so that counts as refused.
ForwardOutcome decodeForwardOutcome(std::span<const HttpField> fields);
/// The rest of the server's pause, or zero if the answer does not tell it.
Duration decodeForwardPause(std::span<const HttpField> fields);
/// The header fields as the server sent them.
std::vector<HttpField> restoreAnswerFields(std::span<const HttpField> fields);

/// Fields of a request that are forwarded: all but those about one connection.
std::vector<HttpField> forwardedRequestFields(std::span<const HttpField> fields);

} // namespace dogwoodvalve
