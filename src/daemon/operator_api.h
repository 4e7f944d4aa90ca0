#pragma once

#include "daemon/control_plane.h"
#include "net/http_server.h"

#include <dogwoodvalve/routing.h>

#include <functional>
#include <memory>
#include <string>

namespace dogwoodvalve {

/// The HTTP API for operators and monitoring. It runs on the control thread.
class OperatorApi : public HttpHandler
{
public:
    OperatorApi(ControlPlane &control, std::function<void()> drain);

    void handle(const std::shared_ptr<HttpExchange> &exchange) override;

private:
    using Exchange = std::shared_ptr<HttpExchange>;

    bool authorised(const HttpExchange &exchange) const;
    void respondObjects(const Exchange &exchange) const;
    void respondOutcome(const Exchange &exchange) const;
    void respondStatus(const Exchange &exchange) const;
    void respondExplanation(const Exchange &exchange);
    void receiveChange(const Exchange &exchange);
    void publish(const Exchange &exchange, const std::string &body, bool allowUnmatched);
    void updateLogSettings(const Exchange &exchange);

    ControlPlane &m_control;
    std::function<void()> m_drain;
    Router m_router;
};

} // namespace dogwoodvalve
