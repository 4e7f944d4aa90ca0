#pragma once

#include "codec/frame_authenticator.h"
#include "daemon/log.h"
#include "net/http_server.h"
#include "net/machine_size.h"

#include <dogwoodvalve/key_ledger.h>
#include <dogwoodvalve/timer_service.h>

#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// The settings of an entry host, as read from its settings file.
struct EntrySettings
{
    std::string name;
    std::string region;
    std::string zone;
    /// IP:PORT that callers connect to.
    std::string listen;
    /// IP:PORT that serves operators and metrics.
    std::string operatorListen;
    /// IP:PORT that other entry hosts connect to.
    std::string peerListen;
    /// Peer addresses of some other entry hosts, through which this host finds the rest.
    std::vector<std::string> seeds;
    /// IP:PORT of the platform's service.
    std::string platform;
    std::string operatorToken;
    std::vector<PeerSecret> peerSecrets;
    int threads = 2;
    std::string policy = "score";
    /// How queues are ordered: weighted-fair or priority.
    std::string queue = "weighted-fair";
    HttpServerLimits http;
    /// Members that are zero are asked of the operating system.
    MachineSize machine;
    /// Longest time that a request waits for a free server.
    Duration queueTimeout = 5s;
    /// Longest time that a request may run.
    Duration requestTimeout = 300s;
    /// A connection to an engine that has work in progress and receives nothing for this long is
    /// considered lost.
    Duration engineSilenceTimeout = 600ms;
    /// Number of entry hosts that a workspace's limits are divided among.
    int homesPerWorkspace = 3;
    KeyLedgerOptions keys;
    LogLevel logLevel = LogLevel::Info;
    std::string logFile;
    /// Most decision lines in the log per second; 0 means no limit.
    int decisionLogRate = 0;
};

/// Reads settings from YAML. Errors name the file, the line, the key and the remedy.
Result<EntrySettings> readSettings(std::string_view yaml, std::string_view file);

/// Prepends FILE:LINE to the message of an error that a key caused.
Error errorAtLine(const Error &error, std::string_view file, int line);

} // namespace dogwoodvalve
