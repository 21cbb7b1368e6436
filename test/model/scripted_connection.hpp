/// \file
/// A test double for an instance: it records the requests of a pool and answers on demand.
#pragma once

#include "session/upstream_pool.hpp"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace bronzeplank::model {

class scripted_connection;

/// The connections that the pools of a test have opened, in the order of opening.
struct scripted_instance {
    struct request {
        std::string text;
        answer_handler on_answer;
        status_handler on_status;
    };
    struct connection {
        std::string workspace;
        std::function<void(upstream_result)> on_opened;
        std::function<void()> on_closed;
        std::deque<request> requests;
        std::vector<std::string> log;
        bool is_closed = false;
    };

    std::vector<std::shared_ptr<connection>> connections;
    bool accepts = true;

    static scripted_instance& instance() {
        static scripted_instance shared;
        return shared;
    }

    /// Discards all connections; called at the start of each test.
    static scripted_instance& reset() {
        instance() = scripted_instance();
        return instance();
    }

    connection& at(std::size_t index) { return *connections.at(index); }

    void accept(std::size_t index) { at(index).on_opened(upstream_result::done); }

    /// Answers the oldest request on the connection.
    void answer(std::size_t index, statement_answer answer) {
        connection& on = at(index);
        request oldest = std::move(on.requests.front());
        on.requests.pop_front();
        oldest.on_answer(answer);
    }

    void complete(std::size_t index) {
        answer(index, {upstream_result::done, {"row"}, "sig", {1, 1}});
    }

    /// The instance closes the connection; outstanding requests get `unanswered`.
    void crash(std::size_t index) {
        const auto crashed = connections.at(index);
        crashed->is_closed = true;
        auto requests = std::exchange(crashed->requests, {});
        for (auto& request : requests) {
            if (request.on_answer) {
                request.on_answer({upstream_result::unanswered, {}, {}, {}});
            }
            if (request.on_status) {
                request.on_status(std::nullopt);
            }
        }
        crashed->on_closed();
    }
};

/// Models upstream_connection; a test controls it through scripted_instance.
class scripted_connection {
public:
    scripted_connection(event_loop&, const upstream_instance&, const std::string& workspace,
                        std::function<void(upstream_result)> opened, std::function<void()> closed)
        : m_connection(std::make_shared<scripted_instance::connection>()) {
        m_connection->workspace = workspace;
        m_connection->on_opened = std::move(opened);
        m_connection->on_closed = std::move(closed);
        scripted_instance::instance().connections.push_back(m_connection);
    }

    ~scripted_connection() {
        m_connection->requests.clear();
        m_connection->on_opened = nullptr;
        m_connection->on_closed = [] {};
        m_connection->is_closed = true;
    }
    scripted_connection(const scripted_connection&) = delete;
    scripted_connection& operator=(const scripted_connection&) = delete;

    void clear_session() { m_connection->log.emplace_back("clear"); }
    void set_value(const std::string& name, const std::string& value) {
        m_connection->log.push_back("set " + name + "=" + value);
    }
    void prepare(const std::string& name, const statement_shape& shape) {
        m_connection->log.push_back("prepare " + name + " " + shape.text);
    }
    void begin(bool read_only, const std::optional<log_position>& min_position,
               answer_handler on_answer) {
        std::string text = read_only ? "begin read" : "begin";
        if (min_position) {
            text += " after " + std::to_string(min_position->offset);
        }
        record_request(text, std::move(on_answer));
    }
    void rollback() { m_connection->log.emplace_back("rollback"); }
    void run(const statement& to_run, const std::string& prepared_name,
             const std::optional<log_position>& min_position, answer_handler on_answer) {
        std::string text = to_run.text;
        if (!prepared_name.empty()) {
            text += " as " + prepared_name;
        }
        if (min_position) {
            text += " after " + std::to_string(min_position->offset);
        }
        record_request(text, std::move(on_answer));
    }
    void send_command(replication_command command, std::uint64_t, status_handler on_status) {
        m_connection->log.push_back("command " + std::to_string(static_cast<int>(command)));
        m_connection->requests.push_back({"command", nullptr, std::move(on_status)});
    }
    void close() {
        if (!m_connection->is_closed) {
            m_connection->is_closed = true;
            m_connection->log.emplace_back("close");
            auto requests = std::exchange(m_connection->requests, {});
            for (auto& request : requests) {
                if (request.on_answer) {
                    request.on_answer({upstream_result::unanswered, {}, {}, {}});
                }
                if (request.on_status) {
                    request.on_status(std::nullopt);
                }
            }
            m_connection->on_closed();
        }
    }

private:
    void record_request(const std::string& text, answer_handler on_answer) {
        m_connection->log.push_back(text);
        m_connection->requests.push_back({text, std::move(on_answer), nullptr});
    }

    std::shared_ptr<scripted_instance::connection> m_connection;
};

} // namespace bronzeplank::model
