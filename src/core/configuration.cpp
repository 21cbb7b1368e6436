#include "bronzeplank/configuration.hpp"

#include "bronzeplank/internal/json_reader.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <rapidjson/prettywriter.h>
#include <rapidjson/stringbuffer.h>
#include <set>

namespace bronzeplank {

namespace {

using internal::json_node;

constexpr int max_port = 65535;
constexpr int max_host_seats = 10'000;
constexpr int min_connections_per_host = 2;
constexpr double max_rate = 10'000'000;
const std::vector<std::string> state_names = {"active", "draining"};

template <class Item>
auto find_named(const std::vector<Item>& items, std::string_view name) {
    return std::find_if(items.begin(), items.end(),
                        [name](const Item& item) { return item.name == name; });
}

template <class Item>
const Item* find_pointer(const std::vector<Item>& items, std::string_view name) {
    const auto found = find_named(items, name);
    return found == items.end() ? nullptr : &*found;
}

service_state read_state(internal::json_object& object) {
    const auto node = object.optional("state");
    return node && node->one_of(state_names) == 1 ? service_state::draining : service_state::active;
}

class configuration_reader {
public:
    configuration read(const json_node& root) {
        auto object = root.object();
        m_result.version =
            static_cast<std::uint64_t>(object.integer_or("version", 0, 0, INT64_MAX));
        m_result.host_seats =
            static_cast<int>(object.required("host_seats").integer(1, max_host_seats));
        for (const auto& node : object.required("failure_domains").array()) {
            m_result.failure_domains.push_back(read_domain(node));
        }
        for (const auto& node : object.required("groups").array()) {
            m_result.groups.push_back(read_group(node));
        }
        for (const auto& node : object.required("workspaces").array()) {
            m_result.workspaces.push_back(read_workspace(node));
        }
        object.finish();
        return m_result;
    }

private:
    static void check_unique(std::set<std::string>& seen, const json_node& node,
                             const std::string& name) {
        if (!seen.insert(name).second) {
            node.fail("a name that no other entry has");
        }
    }

    failure_domain read_domain(const json_node& node) {
        auto object = node.object();
        const json_node name = object.required("name");
        const failure_domain domain{name.name(), read_state(object)};
        check_unique(m_domain_names, name, domain.name);
        object.finish();
        return domain;
    }

    database_group read_group(const json_node& node) {
        auto object = node.object();
        const json_node name = object.required("name");
        database_group group{
            name.name(), object.required("database").text(), object.required("user").text(), {}};
        check_unique(m_group_names, name, group.name);
        const json_node list = object.required("upstreams");
        for (const auto& item : list.array()) {
            group.upstreams.push_back(read_upstream(item));
        }
        if (group.upstreams.empty()) {
            list.fail("at least one upstream");
        }
        object.finish();
        return group;
    }

    upstream read_upstream(const json_node& node) {
        auto object = node.object();
        const json_node name = object.required("name");
        const json_node domain = object.required("failure_domain");
        const json_node connections = object.required("connections");
        upstream item;
        item.name = name.name();
        item.failure_domain = domain.name();
        item.address = object.required("address").text();
        item.port = static_cast<std::uint16_t>(object.required("port").integer(1, max_port));
        item.connections = static_cast<int>(connections.integer(1, 1'000'000));
        item.state = read_state(object);
        check_unique(m_upstream_names, name, item.name);
        if (!m_domain_names.contains(item.failure_domain)) {
            domain.fail("the name of a failure domain of this configuration");
        }
        if (item.connections / m_result.host_seats < min_connections_per_host) {
            connections.fail(fmt::format("at least {} connections for each of the {} host seats",
                                         min_connections_per_host, m_result.host_seats));
        }
        object.finish();
        return item;
    }

    workspace read_workspace(const json_node& node) {
        auto object = node.object();
        const json_node name = object.required("name");
        workspace item{name.name(),
                       object.required("rate").number(0.001, max_rate),
                       object.required("burst").number(1, max_rate),
                       {}};
        check_unique(m_workspace_names, name, item.name);
        for (const auto& group : object.required("groups").array()) {
            if (!m_group_names.contains(group.name())) {
                group.fail("the name of a group of this configuration");
            }
            item.groups.push_back(group.name());
        }
        object.finish();
        return item;
    }

    configuration m_result;
    std::set<std::string> m_domain_names;
    std::set<std::string> m_group_names;
    std::set<std::string> m_upstream_names;
    std::set<std::string> m_workspace_names;
};

using json_writer = rapidjson::PrettyWriter<rapidjson::StringBuffer>;

void write_text(json_writer& writer, const char* key, const std::string& value) {
    writer.Key(key);
    writer.String(value.c_str());
}

void write_state(json_writer& writer, service_state state) {
    write_text(writer, "state", state_names[state == service_state::draining ? 1 : 0]);
}

void write_group(json_writer& writer, const database_group& group) {
    writer.StartObject();
    write_text(writer, "name", group.name);
    write_text(writer, "database", group.database);
    write_text(writer, "user", group.user);
    writer.Key("upstreams");
    writer.StartArray();
    for (const auto& item : group.upstreams) {
        writer.StartObject();
        write_text(writer, "name", item.name);
        write_text(writer, "failure_domain", item.failure_domain);
        write_text(writer, "address", item.address);
        writer.Key("port");
        writer.Uint(item.port);
        writer.Key("connections");
        writer.Int(item.connections);
        write_state(writer, item.state);
        writer.EndObject();
    }
    writer.EndArray();
    writer.EndObject();
}

void write_workspace(json_writer& writer, const workspace& item) {
    writer.StartObject();
    write_text(writer, "name", item.name);
    writer.Key("rate");
    writer.Double(item.rate);
    writer.Key("burst");
    writer.Double(item.burst);
    writer.Key("groups");
    writer.StartArray();
    for (const auto& group : item.groups) {
        writer.String(group.c_str());
    }
    writer.EndArray();
    writer.EndObject();
}

} // namespace

const upstream* database_group::find_upstream(std::string_view upstream_name) const {
    return find_pointer(upstreams, upstream_name);
}

bool workspace::may_use(std::string_view group) const {
    return std::find(groups.begin(), groups.end(), group) != groups.end();
}

const database_group* configuration::find_group(std::string_view name) const {
    return find_pointer(groups, name);
}

const workspace* configuration::find_workspace(std::string_view name) const {
    return find_pointer(workspaces, name);
}

bool configuration::is_domain_active(std::string_view domain) const {
    const auto found = find_named(failure_domains, domain);
    return found != failure_domains.end() && found->state == service_state::active;
}

bool configuration::takes_new_work(const upstream& target) const {
    return target.state == service_state::active && is_domain_active(target.failure_domain);
}

configuration read_configuration(std::string_view text) {
    const rapidjson::Document document = internal::parse_json(text);
    return configuration_reader().read(json_node(document, ""));
}

std::string write_configuration(const configuration& value) {
    rapidjson::StringBuffer buffer;
    json_writer writer(buffer);
    writer.SetIndent(' ', 2);
    writer.StartObject();
    writer.Key("version");
    writer.Uint64(value.version);
    writer.Key("host_seats");
    writer.Int(value.host_seats);
    writer.Key("failure_domains");
    writer.StartArray();
    for (const auto& domain : value.failure_domains) {
        writer.StartObject();
        write_text(writer, "name", domain.name);
        write_state(writer, domain.state);
        writer.EndObject();
    }
    writer.EndArray();
    writer.Key("groups");
    writer.StartArray();
    for (const auto& group : value.groups) {
        write_group(writer, group);
    }
    writer.EndArray();
    writer.Key("workspaces");
    writer.StartArray();
    for (const auto& item : value.workspaces) {
        write_workspace(writer, item);
    }
    writer.EndArray();
    writer.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

} // namespace bronzeplank
