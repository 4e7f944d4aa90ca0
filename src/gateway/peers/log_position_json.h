#pragma once

#include <dogwoodvalve/log_position.h>

#include <nlohmann/json.hpp>

namespace dogwoodvalve {

/// A position as hosts send it to one another: an array of its era and its offset.
inline nlohmann::json encodeLogPosition(const LogPosition &position)
{
    return nlohmann::json::array({position.era, position.offset});
}

/// Throws nlohmann::json::exception if the value is no position.
inline LogPosition decodeLogPosition(const nlohmann::json &value)
{
    return {value.at(0).get<std::uint64_t>(), value.at(1).get<std::uint64_t>()};
}

} // namespace dogwoodvalve
