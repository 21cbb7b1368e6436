#include "bronzeplank/questionnaire.hpp"

#include "bronzeplank/internal/json_reader.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace bronzeplank {

namespace {

using internal::json_node;

constexpr std::size_t digest_characters = 64;

database_group read_database(const json_node& node) {
    auto object = node.object();
    database_group group;
    group.name = object.required("name").name();
    group.database = object.required("database").text();
    group.user = object.required("user").text();
    const auto connections =
        static_cast<int>(object.required("connections_per_instance").integer(1, 1'000'000));
    const json_node instances = object.required("instances");
    for (const auto& item : instances.array()) {
        auto answers = item.object();
        upstream instance;
        instance.failure_domain = answers.required("failure_domain").name();
        instance.address = answers.required("address").text();
        instance.port = static_cast<std::uint16_t>(answers.required("port").integer(1, 65535));
        instance.connections = connections;
        const std::string default_name =
            fmt::format("{}-{}", group.name, group.upstreams.size() + 1);
        instance.name = answers.text_or("name", default_name);
        answers.finish();
        group.upstreams.push_back(instance);
    }
    if (group.upstreams.size() % 2 == 0) {
        instances.fail("an odd number of instances, so that a majority survives the loss of one",
                       std::to_string(group.upstreams.size()));
    }
    object.finish();
    return group;
}

answered_key read_key(const std::string& workspace, const json_node& node) {
    const std::string digest = node.text();
    const bool valid = digest.size() == digest_characters &&
                       digest.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!valid) {
        node.fail("a key's digest, as \"bronzeplank key digest\" prints it");
    }
    return {workspace, {digest}};
}

} // namespace

questionnaire read_questionnaire(std::string_view text) {
    const rapidjson::Document document = internal::parse_json(text);
    auto object = json_node(document, "").object();
    questionnaire answers;
    configuration& generated = answers.generated;
    generated.host_seats = static_cast<int>(object.required("entry_hosts").integer(1, 10'000));
    for (const auto& node : object.required("failure_domains").array()) {
        generated.failure_domains.push_back({node.name(), service_state::active});
    }
    for (const auto& node : object.required("databases").array()) {
        generated.groups.push_back(read_database(node));
    }
    for (const auto& node : object.required("workspaces").array()) {
        auto item = node.object();
        workspace generated_workspace;
        generated_workspace.name = item.required("name").name();
        generated_workspace.rate = item.required("requests_per_second").number(0.001, 1e7);
        generated_workspace.burst = item.required("burst").number(1, 1e7);
        for (const auto& group : item.required("databases").array()) {
            generated_workspace.groups.push_back(group.name());
        }
        if (const auto keys = item.optional("key_digests")) {
            for (const auto& key : keys->array()) {
                answers.keys.push_back(read_key(generated_workspace.name, key));
            }
        }
        item.finish();
        generated.workspaces.push_back(std::move(generated_workspace));
    }
    object.finish();
    // Validates the generated configuration by the same rules as any other.
    answers.generated = read_configuration(write_configuration(generated));
    return answers;
}

} // namespace bronzeplank
