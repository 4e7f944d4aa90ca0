#pragma once

#include "gateway/gateway_settings.h"
#include "gateway/platform_interfaces.h"

namespace dogwoodvalve {

/// Reads the settings again, for a reload.
using GatewaySettingsReader = std::function<Result<GatewaySettings>()>;

/// Runs a gateway host until it is told to stop, and returns the exit code. On SIGHUP, and when the
/// file has changed without a signal, the settings are read again; if they can't be, those in force
/// stay.
int runGatewayProcess(const GatewaySettings &settings, const GatewaySettingsReader &reader,
                      const GatewayPlatformFactory &platform);

} // namespace dogwoodvalve
