#pragma once

#include <dogwoodvalve/log_position.h>

#include <nlohmann/json.hpp>

namespace dogwoodvalve {

/// A position as hosts send it to one another: an array of its era and its offset.
inline void to_json(nlohmann::json &value, const LogPosition &position)
{
    value = nlohmann::json::array({position.era, position.offset});
}

inline void from_json(const nlohmann::json &value, LogPosition &position)
{
    position = {value.at(0).get<std::uint64_t>(), value.at(1).get<std::uint64_t>()};
}

} // namespace dogwoodvalve
