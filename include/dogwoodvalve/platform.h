#pragma once

#include <dogwoodvalve/configuration_state.h>
#include <dogwoodvalve/result.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// Names of the log streams that the system uses.
constexpr std::string_view ConfigurationStream = "configuration";
constexpr std::string_view SnapshotStream = "snapshots";
constexpr std::string_view OrderStream = "orders";

/// Part of a log stream.
struct LogPage
{
    /// The first offset that the stream still keeps.
    LogOffset firstKept = 0;
    /// The offset of the first record of this page.
    LogOffset from = 0;
    /// The offset that the next appended record will get.
    LogOffset end = 0;
    std::vector<std::string> records;
};

/// A host in the platform's host list, which may be out of date.
struct HostStatus
{
    /// IP:PORT of the process on the host.
    std::string address;
    bool leaving = false;
};

/// The platform's services. Each call invokes its callback once, later, on the thread of the
/// caller. After Timeout or Unavailable from append, the record may or may not have been appended.
class Platform
{
public:
    virtual ~Platform() = default;

    virtual void append(std::string_view stream, std::string record,
                        std::function<void(Result<LogOffset>)> done) = 0;
    /// Reads at most maxRecords records. If the offset is below firstKept, the page has no records
    /// and the reader needs a snapshot.
    virtual void read(std::string_view stream, LogOffset from, std::size_t maxRecords,
                      std::function<void(Result<LogPage>)> done) = 0;
    virtual void listHosts(std::function<void(Result<std::vector<HostStatus>>)> done) = 0;
};

} // namespace dogwoodvalve
