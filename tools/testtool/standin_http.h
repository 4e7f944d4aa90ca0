#pragma once

#include "net/http_server.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string_view>

namespace dogwoodvalve::testtool {

/// Answers with a JSON body.
void respondJson(const std::shared_ptr<HttpExchange> &exchange, int status,
                 const nlohmann::json &body);

/// Reads a whole JSON body and passes it on; answers 400 itself if it is none.
void withJsonBody(const std::shared_ptr<HttpExchange> &exchange,
                  std::function<void(const nlohmann::json &)> done);

} // namespace dogwoodvalve::testtool
