#include "daemon/settings_fields.h"

#include "net/endpoint.h"

namespace dogwoodvalve {

namespace {

constexpr std::int64_t MaxMillis = 24LL * 3600 * 1000;
constexpr std::int64_t MinMemoryMb = 32;
constexpr std::int64_t MaxMemoryMb = 1LL << 24;
constexpr std::int64_t MinDescriptors = 100;
constexpr std::int64_t MaxDescriptors = 1LL << 30;

} // namespace

Result<YamlDocument> readSettingsDocument(std::string_view yaml, std::string_view file,
                                          std::string_view sample)
{
    auto documents = readYaml(yaml);
    if (!documents)
        return Error {documents.error().kind, std::string(file) + ": " + documents.error().message,
                      documents.error().remedy};
    if (documents.value().size() != 1)
        return Error {ErrorKind::Malformed,
                      std::string(file) + ": settings must be exactly one YAML document",
                      "start from " + std::string(sample)};
    return std::move(documents.value().front());
}

Duration readMillis(ObjectReader &reader, std::string_view key, Duration fallback)
{
    const std::int64_t millis = reader.integer(key, fallback.count() / 1000, 1, MaxMillis);
    return std::chrono::milliseconds(millis);
}

MachineSize readMachineSize(ObjectReader &reader)
{
    const std::int64_t memoryMb = reader.integer("memoryMb", 0, MinMemoryMb, MaxMemoryMb);
    const std::int64_t descriptors =
        reader.integer("descriptors", 0, MinDescriptors, MaxDescriptors);
    return {static_cast<std::size_t>(memoryMb) << 20, static_cast<std::size_t>(descriptors)};
}

std::string readAddress(ObjectReader &reader, std::string_view key)
{
    std::string address = reader.requiredText(key);
    const auto endpoint = parseEndpoint(address);
    if (!address.empty() && !endpoint)
        reader.fail(key, endpoint.error().message, endpoint.error().remedy);
    return address;
}

} // namespace dogwoodvalve
