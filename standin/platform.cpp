#include "platform.hpp"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <list>
#include <map>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <set>

namespace standin {

namespace {

using bronzeplank::event_loop;
using bronzeplank::time_point;

constexpr std::size_t max_value_bytes = 1U << 20U;
// A written host entry appears in the list of hosts only after this time.
constexpr std::chrono::milliseconds host_visibility_delay{1500};
// An entry that is not refreshed for this time is removed.
constexpr std::chrono::seconds host_entry_lifetime{10};

// `version` counts the writes of the object, `revision` is the platform-wide count at the last one.
struct object {
    std::uint64_t version = 0;
    std::uint64_t revision = 0;
    std::string value;
};

struct object_key {
    std::string kind;
    std::string name;
    auto operator<=>(const object_key&) const = default;
};

struct host_entry {
    std::string value;
    std::string visible_value;
    time_point refreshed_at;
};

// A long-polling request that is answered at the next change or at the deadline.
struct pending_watch {
    evhttp_request* request;
    std::uint64_t since;
    std::string kinds;
    time_point deadline;
};

// The faults that are set with POST /control, under the names of the members.
struct fault_switches {
    bool down = false;
    bool lose_answers = false;
    /// New polls for changes get no answer, and their connections stay open.
    bool lose_polls = false;
    int delay_ms = 0;
    std::set<std::string> cut_domains;
};

std::string json_string(const std::string& text) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.String(text.data(), text.size());
    return {buffer.GetString(), buffer.GetSize()};
}

std::uint64_t number_parameter(const evkeyvalq& query, const char* name, std::uint64_t fallback) {
    const char* text = evhttp_find_header(&query, name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

std::string request_body(evhttp_request* request) {
    evbuffer* input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, body.data(), body.size());
    return body;
}

// The failure domain of the caller, which is the last part of its User-Agent header.
std::string caller_domain(evhttp_request* request) {
    const char* agent = evhttp_find_header(evhttp_request_get_input_headers(request), "User-Agent");
    const std::string text = agent == nullptr ? "" : agent;
    const auto slash = text.rfind('/');
    return slash == std::string::npos ? "" : text.substr(slash + 1);
}

// The HTTP server with the objects and hosts in memory. An object is written only if the request
// names its current version. Usage: construct it on a loop and run the loop.
class platform_server {
public:
    platform_server(event_loop& loop, const platform_options& options)
        : m_loop(loop), m_http(evhttp_new(loop.base())) {
        evhttp_set_max_body_size(m_http, max_value_bytes + 1024);
        evhttp_set_gencb(m_http, &platform_server::on_request, this);
        evhttp_set_timeout(m_http, 60);
        if (evhttp_bind_socket(m_http, options.address.c_str(), options.port) != 0) {
            throw std::runtime_error(
                fmt::format("cannot listen on {}:{}", options.address, options.port));
        }
        run_periodic_tasks();
    }
    ~platform_server() { evhttp_free(m_http); }
    platform_server(const platform_server&) = delete;
    platform_server& operator=(const platform_server&) = delete;

private:
    static void on_request(evhttp_request* request, void* argument) {
        static_cast<platform_server*>(argument)->handle_request(request);
    }

    static void on_close(evhttp_connection* connection, void* argument) {
        auto* self = static_cast<platform_server*>(argument);
        self->m_watches.remove_if([connection](const pending_watch& watch) {
            return evhttp_request_get_connection(watch.request) == connection;
        });
    }

    void handle_request(evhttp_request* request) {
        ++m_calls;
        const std::string path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
        if (path == "/control") {
            handle_control(request);
            return;
        }
        if (m_faults.down || m_faults.cut_domains.contains(caller_domain(request))) {
            close_without_response(request);
            return;
        }
        if (m_faults.delay_ms > 0) {
            // If the connection closes during the delay, libevent frees the request: it must not be
            // dispatched.
            const auto connection_open = std::make_shared<bool>(true);
            evhttp_connection_set_closecb(
                evhttp_request_get_connection(request),
                [](evhttp_connection*, void* flag) {
                    const std::unique_ptr<std::shared_ptr<bool>> owned(
                        static_cast<std::shared_ptr<bool>*>(flag));
                    **owned = false;
                },
                new std::shared_ptr<bool>(connection_open));
            m_loop.later(std::chrono::milliseconds(m_faults.delay_ms),
                         [this, request, path, connection_open] {
                             if (*connection_open) {
                                 dispatch(request, path);
                             }
                         });
            return;
        }
        dispatch(request, path);
    }

    void dispatch(evhttp_request* request, const std::string& path) {
        evkeyvalq query{};
        const char* raw = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
        evhttp_parse_query_str(raw == nullptr ? "" : raw, &query);
        const bool put = evhttp_request_get_command(request) == EVHTTP_REQ_PUT;
        const std::string objects = "/v1/objects";
        const std::string hosts = "/v1/hosts";
        if (path == objects && !put) {
            const char* kinds = evhttp_find_header(&query, "kinds");
            list_objects(request, number_parameter(query, "since", 0),
                         kinds == nullptr ? "" : kinds, number_parameter(query, "wait_ms", 0));
        } else if (path.starts_with(objects + "/")) {
            handle_object(request, path.substr(objects.size() + 1), put,
                          number_parameter(query, "version", 0));
        } else if (path == hosts && !put) {
            list_hosts(request);
        } else if (path.starts_with(hosts + "/") && put) {
            m_hosts[path.substr(hosts.size() + 1)].value = request_body(request);
            m_hosts[path.substr(hosts.size() + 1)].refreshed_at = event_loop::now();
            reply(request, 200, "{}");
        } else {
            reply(request, 404, R"({"error":"no such resource"})");
        }
        evhttp_clear_headers(&query);
    }

    void handle_object(evhttp_request* request, const std::string& path, bool put,
                       std::uint64_t expected_version) {
        const auto slash = path.find('/');
        if (slash == std::string::npos) {
            reply(request, 404, R"({"error":"the path of an object is KIND/NAME"})");
            return;
        }
        const object_key key{path.substr(0, slash), path.substr(slash + 1)};
        const auto found = m_objects.find(key);
        if (!put) {
            if (found == m_objects.end()) {
                reply(request, 404, R"({"error":"no such object"})");
                return;
            }
            reply(request, 200, format_object(found->first, found->second));
            return;
        }
        const std::uint64_t current = found == m_objects.end() ? 0 : found->second.version;
        if (current != expected_version) {
            reply(request, 409, fmt::format(R"({{"version":{}}})", current));
            return;
        }
        object& target = m_objects[key];
        target = object{current + 1, ++m_revision, request_body(request)};
        if (m_faults.lose_answers) {
            close_without_response(request);
        } else {
            reply(request, 200, fmt::format(R"({{"version":{}}})", target.version));
        }
        notify_watches();
    }

    // `kinds` is a comma-separated list; an empty one matches every kind.
    static bool matches_kinds(const std::string& kind, const std::string& kinds) {
        return kinds.empty() || ("," + kinds + ",").find("," + kind + ",") != std::string::npos;
    }

    bool changed_since(std::uint64_t since, const std::string& kinds) const {
        return std::any_of(m_objects.begin(), m_objects.end(), [&](const auto& item) {
            return item.second.revision > since && matches_kinds(item.first.kind, kinds);
        });
    }

    void list_objects(evhttp_request* request, std::uint64_t since, const std::string& kinds,
                      std::uint64_t wait_ms) {
        // The revision restarts at 0 with the platform. A caller with a higher one gets all
        // objects.
        if (since > m_revision) {
            since = 0;
        }
        if (wait_ms == 0 || changed_since(since, kinds)) {
            reply(request, 200, changes_since(since, kinds));
            return;
        }
        if (m_faults.lose_polls) {
            return;
        }
        evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                      &platform_server::on_close, this);
        m_watches.push_back(
            {request, since, kinds, event_loop::now() + std::chrono::milliseconds(wait_ms)});
    }

    void list_hosts(evhttp_request* request) {
        std::string body = R"({"hosts":[)";
        for (const auto& [name, entry] : m_hosts) {
            if (!entry.visible_value.empty()) {
                body += (body.back() == '[' ? "" : ",") + entry.visible_value;
            }
        }
        reply(request, 200, body + "]}");
    }

    std::string format_object(const object_key& key, const object& value) const {
        return fmt::format(R"({{"kind":{},"name":{},"version":{},"value":{}}})",
                           json_string(key.kind), json_string(key.name), value.version,
                           value.value);
    }

    std::string changes_since(std::uint64_t since, const std::string& kinds) const {
        std::string body = fmt::format(R"({{"revision":{},"objects":[)", m_revision);
        for (const auto& [key, value] : m_objects) {
            if (value.revision > since && matches_kinds(key.kind, kinds)) {
                body += (body.back() == '[' ? "" : ",") + format_object(key, value);
            }
        }
        return body + "]}";
    }

    void notify_watches() {
        std::list<pending_watch> watches;
        watches.swap(m_watches);
        for (const auto& watch : watches) {
            if (changed_since(watch.since, watch.kinds)) {
                reply(watch.request, 200, changes_since(watch.since, watch.kinds));
            } else {
                m_watches.push_back(watch);
            }
        }
    }

    void run_periodic_tasks() {
        const auto now = event_loop::now();
        for (auto watch = m_watches.begin(); watch != m_watches.end();) {
            if (now < watch->deadline) {
                ++watch;
                continue;
            }
            const pending_watch ended = *watch;
            watch = m_watches.erase(watch);
            reply(ended.request, 200, changes_since(ended.since, ended.kinds));
        }
        std::erase_if(m_hosts, [now](const auto& item) {
            return now - item.second.refreshed_at > host_entry_lifetime;
        });
        for (auto& [name, entry] : m_hosts) {
            if (entry.visible_value != entry.value &&
                now - entry.refreshed_at > host_visibility_delay) {
                entry.visible_value = entry.value;
            }
        }
        m_loop.later(std::chrono::milliseconds(50), [this] { run_periodic_tasks(); });
    }

    void handle_control(evhttp_request* request) {
        rapidjson::Document document;
        document.Parse(request_body(request).c_str());
        if (document.IsObject()) {
            for (const auto& member : document.GetObject()) {
                set_switch(member.name.GetString(), member.value);
            }
        }
        reply(request, 200, fmt::format(R"({{"calls":{},"revision":{}}})", m_calls, m_revision));
    }

    void set_switch(const std::string& name, const rapidjson::Value& value) {
        if (name == "down") {
            m_faults.down = value.GetBool();
            close_watches(m_faults.down);
        } else if (name == "lose_answers") {
            m_faults.lose_answers = value.GetBool();
        } else if (name == "lose_polls") {
            m_faults.lose_polls = value.GetBool();
        } else if (name == "delay_ms") {
            m_faults.delay_ms = value.GetInt();
        } else if (name == "cut_domains") {
            m_faults.cut_domains.clear();
            for (const auto& domain : value.GetArray()) {
                m_faults.cut_domains.insert(domain.GetString());
            }
            close_watches(true);
        }
    }

    void close_watches(bool should_close) {
        std::list<pending_watch> open;
        if (should_close) {
            open.swap(m_watches);
        }
        for (const auto& watch : open) {
            close_without_response(watch.request);
        }
    }

    static void reply(evhttp_request* request, int code, const std::string& body) {
        evhttp_connection* connection = evhttp_request_get_connection(request);
        if (connection != nullptr) {
            evhttp_connection_set_closecb(connection, nullptr, nullptr);
        }
        evbuffer* buffer = evbuffer_new();
        evbuffer_add(buffer, body.data(), body.size());
        evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                          "application/json");
        evhttp_send_reply(request, code, nullptr, buffer);
        evbuffer_free(buffer);
    }

    static void close_without_response(evhttp_request* request) {
        evhttp_connection* connection = evhttp_request_get_connection(request);
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        evhttp_connection_free(connection);
    }

    event_loop& m_loop;
    evhttp* m_http;
    std::map<object_key, object> m_objects;
    std::map<std::string, host_entry> m_hosts;
    std::list<pending_watch> m_watches;
    fault_switches m_faults;
    std::uint64_t m_revision = 0;
    std::uint64_t m_calls = 0;
};

} // namespace

void run_platform(event_loop& loop, const platform_options& options) {
    platform_server server(loop, options);
    loop.run();
}

} // namespace standin
