#pragma once

#include "codec/object_reader.h"
#include "codec/yaml_reader.h"

#include <dogwoodvalve/result.h>
#include <dogwoodvalve/timer_service.h>

#include <string>
#include <string_view>

namespace dogwoodvalve {

/// A settings file, which is one YAML document. Errors name the file, and the sample to start from.
Result<YamlDocument> readSettingsDocument(std::string_view yaml, std::string_view file,
                                          std::string_view sample);

/// A time in milliseconds, at most a day.
Duration readMillis(ObjectReader &reader, std::string_view key, Duration fallback);

/// A required IP:PORT.
std::string readAddress(ObjectReader &reader, std::string_view key);

} // namespace dogwoodvalve
