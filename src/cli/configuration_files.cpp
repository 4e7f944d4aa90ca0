#include "cli/configuration_files.h"

#include "codec/object_reader.h"
#include "codec/spec_codec.h"
#include "codec/yaml_reader.h"
#include "daemon/settings.h"

namespace dogwoodvalve {

using nlohmann::json;

namespace {

Result<ObjectDeclaration> readObject(const YamlDocument &document, const std::string &file)
{
    static const json Empty = json::object();
    ObjectReader reader(document.value, "");
    const auto atLine = [&](const Error &error, const std::string &path) {
        return errorAtLine(error, file, document.lineOf(path));
    };
    const Result<ObjectKind> kind = objectKindFromString(reader.requiredText("kind"));
    ObjectDeclaration object;
    object.id.name = reader.requiredText("name");
    if (reader.member("version"))
        object.version = static_cast<std::uint64_t>(reader.integer("version", 0, 0, INT64_MAX));
    const bool removed = reader.flag("remove", false);
    const json *spec = reader.member("spec");
    reader.rejectUnknownKeys();
    if (reader.failure())
        return atLine(*reader.failure(), reader.failedPath());
    if (!kind)
        return atLine(kind.error(), "kind");
    object.id.kind = kind.value();
    object.location = file + ':' + std::to_string(document.lineOf("kind"));
    if (removed)
        return object;
    std::string path;
    Result<ObjectSpec> read = readSpec(object.id.kind, spec ? *spec : Empty, &path);
    if (!read)
        return atLine(read.error(), path.empty() ? "spec" : "spec." + path);
    object.spec = std::move(read).value();
    return object;
}

} // namespace

Result<std::vector<ObjectDeclaration>> readConfigurationText(std::string_view text,
                                                             const std::string &file)
{
    const auto documents = readYaml(text);
    if (!documents)
        return Error {documents.error().kind, file + ": " + documents.error().message,
                      documents.error().remedy};
    std::vector<ObjectDeclaration> objects;
    for (const YamlDocument &document : documents.value()) {
        Result<ObjectDeclaration> object = readObject(document, file);
        if (!object)
            return object.error();
        objects.push_back(std::move(object).value());
    }
    return objects;
}

Result<std::vector<ObjectDeclaration>> readConfigurationFiles(std::span<const std::string> files)
{
    std::vector<ObjectDeclaration> objects;
    for (const std::string &file : files) {
        const Result<std::string> text = readFile(file);
        if (!text)
            return text.error();
        auto read = readConfigurationText(text.value(), file);
        if (!read)
            return read.error();
        for (ObjectDeclaration &object : read.value())
            objects.push_back(std::move(object));
    }
    if (objects.empty())
        return Error {ErrorKind::InvalidArgument, "the files contain no objects",
                      "pass YAML files that contain objects"};
    return objects;
}

} // namespace dogwoodvalve
