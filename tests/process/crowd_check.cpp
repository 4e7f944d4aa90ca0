#include "process/crowd_check.h"

#include "net/endpoint.h"
#include "process/broken_answers.h"

#include <boost/asio/ip/tcp.hpp>
#include <cppunit/TestAssert.h>

#include <algorithm>

namespace dogwoodvalve::process {

namespace {

constexpr std::size_t Megabyte = 1U << 20;
/// What may stay above the calm memory after a crowd: a quarter of the machine.
constexpr std::size_t RestBytes = MachineMegabytes / 4 * Megabyte;
/// Connections of the process's own that come and go.
constexpr int RestDescriptors = 16;
/// What each client of an endless crowd sends at most.
constexpr std::size_t EndlessBytes = 16 * Megabyte;
constexpr std::size_t MaxSentBytes = 64 * Megabyte;
constexpr std::size_t PieceBytes = 64 * 1024;

const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";

std::string lengthField(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

CrowdScript repeated(std::string beginning, std::string piece, std::size_t bytes)
{
    const std::size_t n = bytes / piece.size();
    return {std::move(beginning), std::move(piece), n, {}};
}

std::string chunk(std::size_t bytes)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx", bytes);
    return std::string(size) + "\r\n" + std::string(bytes, 'b') + "\r\n";
}

std::string megabytes(std::size_t bytes)
{
    return std::to_string(bytes / Megabyte) + " MB";
}

void assertServed(CrowdTarget &target, const std::string &when)
{
    CPPUNIT_ASSERT_MESSAGE("the process has ended " + when, !target.process().ended());
    const std::string answer = target.ask();
    CPPUNIT_ASSERT_MESSAGE("an ordinary request " + when + ": " + answer.substr(0, 400),
                           startsWith(answer, "HTTP/1.1 200 "));
}

} // namespace

std::string machineSettings()
{
    return "memoryMb: " + std::to_string(MachineMegabytes)
        + "\ndescriptors: " + std::to_string(MachineDescriptors) + "\n";
}

void assertWithstands(CrowdTarget &target, const std::string &address, int clients,
                      const CrowdScript &script)
{
    std::vector<int> ports;
    for (const std::string &door : target.doors())
        ports.push_back(parseEndpoint(door).value().port());
    ProcessMeter meter(target.process().pid(), std::move(ports));
    assertServed(target, "before the crowd");
    const std::size_t calmBytes = meter.bytes();
    const int calmDescriptors = meter.descriptors();

    Crowd crowd(address, clients, script);
    crowd.send([&meter] { meter.sample(); });
    assertServed(target, "beside the crowd");
    meter.sample();
    CPPUNIT_ASSERT_MESSAGE("memory at its peak: " + megabytes(meter.peakBytes()),
                           meter.peakBytes() <= MachineMegabytes * Megabyte);
    CPPUNIT_ASSERT_MESSAGE("open descriptors: " + std::to_string(meter.peakDescriptors()),
                           meter.peakDescriptors() < MachineDescriptors);

    crowd.leave();
    Fleet::eventually("descriptors come back",
                      [&] { return meter.descriptors() <= calmDescriptors + RestDescriptors; });
    Fleet::eventually("memory comes back", [&] { return meter.bytes() <= calmBytes + RestBytes; });
    assertServed(target, "after the crowd");
}

CrowdScript endlessTrailers(const std::string &request)
{
    return repeated(request + Chunked + "5\r\nhello\r\n0\r\n",
                    "X-Trailer: " + std::string(1000, 't') + "\r\n", EndlessBytes);
}

CrowdScript endlessChunkExtension(const std::string &request)
{
    return repeated(request + Chunked + "5;x=", std::string(PieceBytes, 'e'), EndlessBytes);
}

CrowdScript endlessChunkSize(const std::string &request)
{
    return repeated(request + Chunked, std::string(PieceBytes, '0'), EndlessBytes);
}

CrowdScript endlessChunks(const std::string &request)
{
    return repeated(request + Chunked, chunk(PieceBytes), 2 * LargeBodyBytes);
}

CrowdScript bodyThatStopsShort(const std::string &request, std::size_t bytes)
{
    const std::size_t sent = std::min(bytes, MaxSentBytes) - 1;
    return {request + lengthField(bytes), std::string(PieceBytes, 'b'), sent / PieceBytes,
            std::string(sent % PieceBytes, 'b')};
}

CrowdScript chunkedBodyThatStopsShort(const std::string &request, std::size_t bytes)
{
    CrowdScript script = repeated(request + Chunked, chunk(PieceBytes), bytes);
    script.end = "1\r\n";
    return script;
}

CrowdScript wholeBody(const std::string &request, std::size_t bytes)
{
    CrowdScript script = bodyThatStopsShort(request, bytes);
    script.end += 'b';
    return script;
}

CrowdScript manyFields(const std::string &request, std::size_t bytes)
{
    CrowdScript script = repeated(request, "a:\r\n", bytes);
    script.end = lengthField(100);
    return script;
}

} // namespace dogwoodvalve::process
