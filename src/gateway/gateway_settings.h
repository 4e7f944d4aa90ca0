#pragma once

#include "daemon/log.h"
#include "net/machine_size.h"

#include <dogwoodvalve/shared_retry_budget.h>

#include <string>
#include <string_view>

namespace dogwoodvalve {

/// Settings of a gateway host, read from its settings file.
struct GatewaySettings
{
    std::string name;
    std::string zone;
    std::string region;
    /// IP:PORT for callers, for look-ups of host addresses by callers, for the platform's readiness
    /// checks, for other gateway hosts (TCP and UDP), and for metrics.
    std::string listen;
    std::string lookupListen;
    std::string readinessListen;
    std::string peerListen;
    std::string metricsListen;
    /// IP:PORT of the platform's store.
    std::string store;
    /// Time from SIGTERM to SIGKILL.
    Duration grace = 8s;
    /// A revoked key must not be accepted after this time.
    Duration keyRevocation = 5s;
    /// A server that announces that it is draining must get no new requests after this time.
    Duration serverDrain = 2s;
    /// How long callers may cache the answer to a look-up.
    Duration lookupTimeToLive = 2s;
    /// Bandwidth of the host's link in Mbit/s; 0 if unknown. Hosts with fast links relay digests.
    double linkMbps = 0;
    /// Members that are zero are asked of the operating system.
    MachineSize machine;
    RetryAllowance retries;
    LogLevel logLevel = LogLevel::Info;
    /// Most lines a second of the decision log; 0 for no limit.
    int decisionLogRate = 200;

    bool operator==(const GatewaySettings &other) const = default;
};

/// Reads settings from YAML. Errors name the file, the line, the key and the remedy.
Result<GatewaySettings> readGatewaySettings(std::string_view yaml, std::string_view file);

} // namespace dogwoodvalve
