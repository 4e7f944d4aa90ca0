#pragma once

#include "process/crowd.h"
#include "process/fleet.h"

#include <string>
#include <vector>

/// The crowds of the tests of misbehaving clients, and what a process must hold against them.

namespace dogwoodvalve::process {

/// The small machine on which the process is to run.
inline constexpr std::size_t MachineMegabytes = 64;
inline constexpr int MachineDescriptors = 300;
inline constexpr int MoreThanDescriptors = 400;
/// The largest body that a gateway takes, and one that many clients send.
inline constexpr std::size_t LargeBodyBytes = 16U << 20;
inline constexpr std::size_t SmallerBodyBytes = 1U << 20;

/// A process under test.
class CrowdTarget
{
public:
    virtual ~CrowdTarget() = default;
    virtual ChildProcess &process() = 0;
    /// The addresses at which it accepts clients.
    virtual std::vector<std::string> doors() const = 0;
    /// Sends an ordinary small request and returns the answer.
    virtual std::string ask() = 0;
};

/// The lines of a gateway's settings that describe the machine.
std::string machineSettings();

/// Lets the crowd send at the address, and checks that the process lives and stays within the
/// machine's memory and descriptors, that it answers an ordinary request while the crowd keeps its
/// connections, and that memory and descriptors come back when it leaves.
void assertWithstands(CrowdTarget &target, const std::string &address, int clients,
                      const CrowdScript &script);

/// Scripts of one request each, which `request` begins: its request line and fields, without the
/// empty line.
CrowdScript endlessTrailers(const std::string &request);
CrowdScript endlessChunkExtension(const std::string &request);
CrowdScript endlessChunkSize(const std::string &request);
CrowdScript endlessChunks(const std::string &request);
/// The body's last byte is never sent. Of a body over 64 MB, only so much is sent.
CrowdScript bodyThatStopsShort(const std::string &request, std::size_t bytes);
CrowdScript chunkedBodyThatStopsShort(const std::string &request, std::size_t bytes);
CrowdScript wholeBody(const std::string &request, std::size_t bytes);
/// A head of so many bytes, of the shortest fields, and no body behind it.
CrowdScript manyFields(const std::string &request, std::size_t bytes);

} // namespace dogwoodvalve::process
