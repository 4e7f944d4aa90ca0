#pragma once

#include "net/http_server.h"

#include <dogwoodvalve/result.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// The value of the field with this name, ignoring case, or an empty view.
std::string_view findField(std::span<const HttpField> fields, std::string_view name);

/// Whether two header names or tokens are equal, ignoring case.
bool equalsIgnoringCase(std::string_view a, std::string_view b);

/// The end-to-end fields, without the length and the host, which are set again for each hop.
std::vector<HttpField> endToEndFields(std::span<const HttpField> fields);

void appendStatusLine(std::string &out, int status);
void appendFields(std::string &out, std::span<const HttpField> fields);
void appendChunk(std::string &out, std::string_view part);

/// An error body in the format of the chat-completions API. The outcome is not_run or unknown.
std::string errorBody(const Error &error, std::string_view outcome);

/// The value of a parameter in a request target's query, or an empty view.
std::string_view queryParameter(std::string_view target, std::string_view name);

/// The request target without its query.
std::string_view pathOf(std::string_view target);

} // namespace dogwoodvalve
