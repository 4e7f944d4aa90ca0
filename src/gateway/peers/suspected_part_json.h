#pragma once

#include <dogwoodvalve/crash_report.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <string>

namespace dogwoodvalve {

/// Suspected parts as hosts send and archive them, by id: the standing, the position, whether an
/// answer with the part was undelivered, and whether it was tried there.
inline nlohmann::json encodeSuspectedParts(const std::map<std::string, SuspectedPart> &parts)
{
    nlohmann::json value = nlohmann::json::object();
    for (const auto &[id, part] : parts)
        value[id] = {static_cast<int>(part.standing), part.position, part.undelivered, part.tried};
    return value;
}

/// Throws nlohmann::json::exception if the value does not have this form.
inline std::map<std::string, SuspectedPart> decodeSuspectedParts(const nlohmann::json &value)
{
    std::map<std::string, SuspectedPart> parts;
    for (const auto &[id, part] : value.items()) {
        const int standing =
            std::clamp(part.at(0).get<int>(), 0, static_cast<int>(PartStanding::Cleared));
        // Hosts of earlier versions do not send the last one.
        const bool tried = part.size() > 3 && part.at(3).get<bool>();
        parts[id] = {static_cast<PartStanding>(standing), part.at(1), part.at(2), tried};
    }
    return parts;
}

} // namespace dogwoodvalve
