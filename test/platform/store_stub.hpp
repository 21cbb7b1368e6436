/// \file
/// A stub of the platform's object store as its documentation describes it: lists, watches,
/// conditional writes, injected failures and restorations from older copies. It runs in the event
/// loop of the test.
#pragma once

#include "bronzeplank/internal/json_reader.hpp"
#include "bronzeplank/settings.hpp"
#include "runtime/event_loop.hpp"

#include <algorithm>
#include <cstdint>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <map>
#include <string>
#include <vector>

namespace bronzeplank::model {

/// An HTTP server that answers as the platform's object store does, unless a failure is injected.
///
/// Usage: `store_stub store(loop); store.failure = store_stub::failure_mode::silent;`
class store_stub {
public:
    /// The failure that is injected into calls.
    enum class failure_mode {
        none,
        /// Calls are answered with 503 and have no effect.
        unavailable,
        /// Calls get no answer and have no effect.
        silent,
        /// Writes take effect but get no answer.
        loses_answers
    };

    // No other fixture listens on this port. Tests that listen on a port are run one at a time.
    static constexpr std::uint16_t port = 7595;

    explicit store_stub(event_loop& loop) : m_loop(loop), m_server(evhttp_new(loop.base())) {
        evhttp_set_gencb(m_server, &store_stub::on_request, this);
        evhttp_bind_socket(m_server, "127.0.0.1", port);
    }
    ~store_stub() { evhttp_free(m_server); }
    store_stub(const store_stub&) = delete;
    store_stub& operator=(const store_stub&) = delete;

    static endpoint address() { return {"127.0.0.1", port}; }

    struct object {
        std::uint64_t revision = 0;
        std::string spec;
    };
    struct change {
        std::uint64_t revision = 0;
        std::string kind;
        std::string event;
    };

    void write(const std::string& kind, const std::string& name, const std::string& spec) {
        m_objects[kind][name] = {++m_revision, spec};
        record_change(kind, name, false);
    }
    void remove(const std::string& kind, const std::string& name) {
        ++m_revision;
        m_objects[kind].erase(name);
        record_change(kind, name, true);
    }
    /// The contents at a moment, from which the store can be restored.
    class copy {
        friend class store_stub;
        std::map<std::string, std::map<std::string, object>> m_objects;
        std::vector<change> m_changes;
        std::uint64_t m_revision = 0;
    };
    copy take_copy() const {
        copy taken;
        taken.m_objects = m_objects;
        taken.m_changes = m_changes;
        taken.m_revision = m_revision;
        return taken;
    }
    /// Begins the next era with the contents of the copy. Revisions continue from the copy's.
    void restore(const copy& from) {
        end_watches();
        m_objects = from.m_objects;
        m_changes = from.m_changes;
        m_revision = from.m_revision;
        ++m_era;
    }
    /// Makes watches from an earlier revision be answered with 410.
    void discard_history() {
        m_oldest_revision = m_revision + 1;
        m_changes.clear();
    }
    /// Ends the pending watches with an error.
    void end_watches() {
        for (const auto& watch : std::exchange(m_watches, {})) {
            answer(watch.request, 503, "");
        }
    }

    /// Leaves the pending watches unanswered for good.
    void forget_watches() { m_watches.clear(); }
    /// Leaves the kind's pending watches unanswered for good, at most so many of them.
    void forget_watches(const std::string& kind, std::size_t at_most = SIZE_MAX) {
        std::erase_if(m_watches, [&](const watch& item) {
            const bool forgotten = item.kind == kind && at_most > 0;
            at_most -= forgotten ? 1 : 0;
            return forgotten;
        });
    }

    std::uint64_t revision() const { return m_revision; }

    failure_mode failure = failure_mode::none;
    /// The maximum number of objects in one answer to a list.
    std::size_t page_size = 500;
    int calls = 0;

    const std::string& spec(const std::string& kind, const std::string& name) {
        return m_objects[kind][name].spec;
    }
    bool has(const std::string& kind, const std::string& name) {
        return m_objects[kind].contains(name);
    }

private:
    struct watch {
        evhttp_request* request = nullptr;
        std::string kind;
        std::uint64_t from = 0;
        std::uint64_t number = 0;
    };

    static std::string object_json(const std::string& name, const object& stored) {
        return fmt::format(R"({{"meta":{{"Name":"{}","Revision":{}}},"spec":{}}})", name,
                           stored.revision, stored.spec);
    }

    void record_change(const std::string& kind, const std::string& name, bool deleted) {
        const object removed{m_revision, "{}"};
        const object& current = deleted ? removed : m_objects[kind][name];
        m_changes.push_back(
            {m_revision, kind,
             fmt::format(R"({{"Object":{},"Deleted":{}}})", object_json(name, current), deleted)});
        if (failure != failure_mode::none) {
            return;
        }
        for (const auto& waiting : std::exchange(m_watches, {})) {
            answer_watch(waiting);
        }
    }

    void answer(evhttp_request* request, int status, const std::string& body) const {
        evhttp_add_header(evhttp_request_get_output_headers(request), "Store-Era",
                          std::to_string(m_era).c_str());
        evbuffer* buffer = evbuffer_new();
        evbuffer_add(buffer, body.data(), body.size());
        evhttp_send_reply(request, status, nullptr, buffer);
        evbuffer_free(buffer);
    }

    void answer_watch(const watch& waiting) {
        if (waiting.from + 1 < m_oldest_revision || waiting.from > m_revision) {
            answer(waiting.request, 410, "{}");
            return;
        }
        std::string events;
        for (const auto& change : m_changes) {
            if (change.kind == waiting.kind && change.revision > waiting.from) {
                events += (events.empty() ? "" : ",") + change.event;
            }
        }
        if (events.empty()) {
            m_watches.push_back(waiting);
            return;
        }
        answer(waiting.request, 200,
               fmt::format(R"({{"events":[{}],"AsOf":{}}})", events, m_revision));
    }

    // Answers the watch without events after its wait, unless it has been answered by then.
    void start_watch(watch started, std::chrono::milliseconds wait) {
        started.number = ++m_last_watch;
        evhttp_connection_set_closecb(evhttp_request_get_connection(started.request),
                                      &store_stub::on_close, this);
        m_loop.later(wait, [this, number = started.number] { end_wait(number); });
        answer_watch(started);
    }

    void end_wait(std::uint64_t number) {
        const auto found = std::find_if(m_watches.begin(), m_watches.end(),
                                        [&](const watch& item) { return item.number == number; });
        if (found == m_watches.end()) {
            return;
        }
        const watch ended = *found;
        m_watches.erase(found);
        if (failure == failure_mode::none) {
            answer(ended.request, 200, fmt::format(R"({{"events":[],"AsOf":{}}})", m_revision));
        }
    }

    // libevent frees the request of a connection that its peer has closed.
    static void on_close(evhttp_connection* connection, void* self) {
        std::erase_if(static_cast<store_stub*>(self)->m_watches, [&](const watch& item) {
            return evhttp_request_get_connection(item.request) == connection;
        });
    }

    void answer_list(evhttp_request* request, const std::string& kind, const std::string& after) {
        std::string items;
        std::size_t count = 0;
        bool more = false;
        for (const auto& [name, stored] : m_objects[kind]) {
            if (name <= after) {
                continue;
            }
            more = count == page_size;
            if (more) {
                break;
            }
            items += (count++ == 0 ? "" : ",") + object_json(name, stored);
        }
        answer(request, 200,
               fmt::format(R"({{"items":[{}],"More":{},"AsOf":{}}})", items, more, m_revision));
    }

    void answer_write(evhttp_request* request, const std::string& kind, std::string name,
                      const std::string& body) {
        const rapidjson::Document document = internal::parse_json(body);
        const bool creates = name.empty();
        if (creates) {
            name = document["meta"]["Name"].GetString();
        }
        const auto found = m_objects[kind].find(name);
        const bool exists = found != m_objects[kind].end();
        const bool matches = exists && document["meta"].HasMember("Revision") &&
                             document["meta"]["Revision"].GetUint64() == found->second.revision;
        if (creates ? exists : !matches) {
            answer(request, exists ? 409 : 404, exists ? object_json(name, found->second) : "{}");
            return;
        }
        write(kind, name, internal::to_text(document["spec"]));
        if (failure != failure_mode::loses_answers) {
            answer(request, 200, object_json(name, m_objects[kind][name]));
        }
    }

    static void on_request(evhttp_request* request, void* self) {
        static_cast<store_stub*>(self)->serve(request);
    }

    void serve(evhttp_request* request) {
        ++calls;
        if (failure == failure_mode::unavailable) {
            answer(request, 503, "");
            return;
        }
        if (failure == failure_mode::silent) {
            return;
        }
        evbuffer* input = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(input), '\0');
        evbuffer_copyout(input, body.data(), body.size());
        const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
        const std::string path = std::string(evhttp_uri_get_path(uri)).substr(9);
        const auto slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        if (evhttp_request_get_command(request) != EVHTTP_REQ_GET) {
            answer_write(request, kind, name, body);
        } else if (!name.empty()) {
            const bool found = m_objects[kind].contains(name);
            answer(request, found ? 200 : 404,
                   found ? object_json(name, m_objects[kind][name]) : "{}");
        } else {
            serve_kind(request, kind, evhttp_uri_get_query(uri));
        }
    }

    void serve_kind(evhttp_request* request, const std::string& kind, const char* query) {
        evkeyvalq fields{};
        evhttp_parse_query_str(query == nullptr ? "" : query, &fields);
        const auto field = [&](const char* name) {
            const char* value = evhttp_find_header(&fields, name);
            return std::string(value == nullptr ? "" : value);
        };
        if (const std::string from = field("Watch"); !from.empty()) {
            const std::string wait = field("WaitMs");
            start_watch({request, kind, std::stoull(from)},
                        std::chrono::milliseconds(wait.empty() ? 0 : std::stoi(wait)));
        } else {
            answer_list(request, kind, field("after"));
        }
        evhttp_clear_headers(&fields);
    }

    event_loop& m_loop;
    evhttp* m_server;
    std::uint64_t m_last_watch = 0;
    std::map<std::string, std::map<std::string, object>> m_objects;
    std::vector<change> m_changes;
    std::vector<watch> m_watches;
    std::uint64_t m_revision = 100;
    std::uint64_t m_era = 1;
    std::uint64_t m_oldest_revision = 0;
};

} // namespace bronzeplank::model
