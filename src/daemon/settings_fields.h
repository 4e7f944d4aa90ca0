#pragma once

#include "codec/object_reader.h"
#include "codec/yaml_reader.h"
#include "net/machine_size.h"

#include <dogwoodvalve/result.h>
#include <dogwoodvalve/timer_service.h>

#include <string>
#include <string_view>

namespace dogwoodvalve {

/// Parses a settings file, which must hold exactly one YAML document. Errors name the file; their
/// remedy names `sample`, a file to start from.
Result<YamlDocument> readSettingsDocument(std::string_view yaml, std::string_view file,
                                          std::string_view sample);

/// Reads a time in milliseconds, from 1 ms to one day; `fallback` if the key is absent.
Duration readMillis(ObjectReader &reader, std::string_view key, Duration fallback);

/// Reads `memoryMb` (of 1,048,576 bytes, 32 or more) and `descriptors` (100 or more); zero if
/// absent.
MachineSize readMachineSize(ObjectReader &reader);

/// Reads a required IP:PORT.
std::string readAddress(ObjectReader &reader, std::string_view key);

} // namespace dogwoodvalve
