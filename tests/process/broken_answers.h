#pragma once

#include "relay.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Answers of servers byte for byte, broken ones and early ones, and a caller that sees each byte
/// of what becomes of them.

namespace dogwoodvalve::process {

/// The end of a body in chunks.
inline constexpr const char *LastChunk = "\r\n0\r\n\r\n";
/// More than the buffers of a connection hold, and less than the stand-ins accept.
inline constexpr std::size_t UploadBytes = 8'000'000;

/// The names of answers that are broken in the head.
std::vector<std::string> brokenHeads();
/// The names of whole answers that are sent before the request was read.
std::vector<std::string> earlyAnswers();

/// The answer to a request whose id begins with the answer's name and a dot. It bears the fields of
/// a server's answer. Besides those above: "reset" is a success without length that is reset within
/// its body, "events" the same of a stream after two whole events.
std::optional<testtool::RelayAnswer> namedAnswer(const std::string &requestId);

/// Sends a request with the given request line and fields on a connection of its own, and returns
/// all bytes that come back until the connection ends.
std::string rawAnswer(const std::string &address, const std::string &head, std::size_t uploadBytes);

bool startsWith(const std::string &text, const std::string &beginning);
bool contains(const std::string &text, const std::string &part);
/// The value of a field in a request's head, or nothing.
std::string fieldIn(std::string_view head, std::string_view name);

} // namespace dogwoodvalve::process
