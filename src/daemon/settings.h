#pragma once

#include "codec/frame_authenticator.h"
#include "daemon/log.h"
#include "net/http_server.h"

#include <dogwoodvalve/key_ledger.h>
#include <dogwoodvalve/timer_service.h>

#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// Everything that an entry host learns from its settings file.
struct EntrySettings
{
    std::string name;
    std::string region;
    std::string zone;
    /// IP:PORT for callers.
    std::string listen;
    /// IP:PORT for operators and metrics.
    std::string operatorListen;
    /// IP:PORT for other entry hosts.
    std::string peerListen;
    /// Peer addresses of some other entry hosts.
    std::vector<std::string> seeds;
    /// Address of the platform's service.
    std::string platform;
    std::string operatorToken;
    std::vector<PeerSecret> peerSecrets;
    int threads = 2;
    std::string policy = "score";
    /// How queues are ordered: weighted-fair or priority.
    std::string queue = "weighted-fair";
    HttpServerLimits http;
    /// Longest time that a request waits for a free server.
    Duration queueTimeout = 5s;
    /// Longest time that a request runs.
    Duration requestTimeout = 300s;
    /// A silent connection to an engine with work on it is lost after this time.
    Duration engineSilence = 600ms;
    /// Entry hosts that share a workspace's limits.
    int homesPerWorkspace = 3;
    KeyLedgerOptions keys;
    LogLevel logLevel = LogLevel::Info;
    std::string logFile;
    int decisionLogRate = 0;
};

/// Reads settings from YAML. Errors name the file, the line, the key and the remedy.
Result<EntrySettings> readSettings(std::string_view yaml, std::string_view file);

/// Prepends file and line to an error that a key caused.
Error locateError(const Error &error, std::string_view file, int line);

} // namespace dogwoodvalve
