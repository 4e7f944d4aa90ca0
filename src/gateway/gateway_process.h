#pragma once

#include "gateway/gateway_settings.h"
#include "gateway/platform_interfaces.h"

namespace dogwoodvalve {

/// Reads the settings again, for a reload.
using GatewaySettingsReader = std::function<Result<GatewaySettings>()>;

/// Runs a gateway host until SIGTERM or SIGINT. Returns an exit code only if the host can't start;
/// a drained host exits the process with 0. The settings are read again on SIGHUP and when the file
/// has changed; if they are invalid, the current ones stay in effect.
int runGatewayProcess(const GatewaySettings &settings, const GatewaySettingsReader &reader,
                      const GatewayPlatformFactory &platform);

} // namespace dogwoodvalve
