#pragma once

#include "gateway/gateway_settings.h"
#include "gateway/platform_interfaces.h"

namespace dogwoodvalve {

/// Runs a gateway host until it is told to stop, and returns the exit code.
int runGatewayProcess(const GatewaySettings &settings, const GatewayPlatformFactory &platform);

} // namespace dogwoodvalve
