#include "codec/yaml_reader.h"

#include <yaml-cpp/yaml.h>

#include <charconv>
#include <fstream>
#include <sstream>

namespace dogwoodvalve {

using nlohmann::json;

namespace {

json scalarToJson(const YAML::Node &node)
{
    const std::string &text = node.Scalar();
    // yaml-cpp marks quoted scalars with the tag "!".
    if (node.Tag() == "!")
        return text;
    if (text == "true" || text == "false")
        return text == "true";
    const char *end = text.data() + text.size();
    std::int64_t integer = 0;
    auto parsed = std::from_chars(text.data(), end, integer);
    if (parsed.ec == std::errc() && parsed.ptr == end)
        return integer;
    double number = 0;
    parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec == std::errc() && parsed.ptr == end)
        return number;
    return text;
}

json nodeToJson(const YAML::Node &node, const std::string &path, YamlDocument &document)
{
    document.lines.emplace(path, node.Mark().line + 1);
    if (node.IsScalar())
        return scalarToJson(node);
    if (node.IsSequence()) {
        json list = json::array();
        for (const YAML::Node &it : node) {
            std::string itemPath = path;
            itemPath += '[';
            itemPath += std::to_string(list.size());
            itemPath += ']';
            list.push_back(nodeToJson(it, itemPath, document));
        }
        return list;
    }
    if (!node.IsMap())
        return nullptr;
    json object = json::object();
    for (const auto &it : node) {
        const std::string key = it.first.Scalar();
        std::string keyPath = path;
        if (!path.empty())
            keyPath += '.';
        keyPath += key;
        document.lines.emplace(keyPath, it.first.Mark().line + 1);
        object[key] = nodeToJson(it.second, keyPath, document);
    }
    return object;
}

} // namespace

int YamlDocument::lineOf(std::string path) const
{
    while (true) {
        const auto it = lines.find(path);
        if (it != lines.end())
            return it->second;
        const std::size_t separator = path.find_last_of(".[");
        if (separator == std::string::npos)
            return 1;
        path.resize(separator);
    }
}

Result<std::vector<YamlDocument>> readYaml(std::string_view text)
{
    try {
        std::vector<YamlDocument> documents;
        for (const YAML::Node &node : YAML::LoadAll(std::string(text))) {
            if (node.IsNull())
                continue;
            YamlDocument document;
            document.value = nodeToJson(node, "", document);
            documents.push_back(std::move(document));
        }
        return documents;
    } catch (const YAML::Exception &e) {
        return Error {ErrorKind::Malformed,
                      "line " + std::to_string(e.mark.line + 1) + ": " + e.msg,
                      "correct the YAML syntax there"};
    }
}

Result<std::string> readFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return Error {ErrorKind::NotFound, "cannot read '" + path + "'", "give a readable file"};
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace dogwoodvalve
