#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace dogwoodvalve {

/// Records by server id, each of which belongs to one start of the server.
template <class Record>
using StartRecords = std::map<std::string, Record, std::less<>>;

/// Returns the record of this start of a server, creating or resetting it as needed. Returns
/// nullptr if a later start is known, or if there is no record and `create` is false.
template <class Record>
Record *recordOfStart(StartRecords<Record> &records, std::string_view id, std::int64_t startedAtMs,
                      bool create)
{
    auto it = records.find(id);
    if (it == records.end()) {
        if (!create)
            return nullptr;
        it = records.emplace(std::string(id), Record {}).first;
        it->second.startedAtMs = startedAtMs;
    }
    if (startedAtMs < it->second.startedAtMs)
        return nullptr;
    if (startedAtMs > it->second.startedAtMs) {
        it->second = Record {};
        it->second.startedAtMs = startedAtMs;
    }
    return &it->second;
}

} // namespace dogwoodvalve
