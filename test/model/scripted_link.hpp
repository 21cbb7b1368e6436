/// \file
/// An instance that a test plays: it records what a lane sends and answers when told to.
#pragma once

#include "session/upstream_lane.hpp"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace bronzeplank::model {

/// All connections that lanes have opened in a test, in their order.
class scripted_link;

struct scripted_instance {
    struct request {
        std::string text;
        answer_handler answered;
        status_handler reported;
    };
    struct connection {
        std::string workspace;
        std::function<void(upstream_result)> opened;
        std::function<void()> closed;
        std::deque<request> requests;
        std::vector<std::string> log;
        bool gone = false;
    };

    std::vector<std::shared_ptr<connection>> connections;
    bool accepts = true;

    static scripted_instance& only() {
        static scripted_instance instance;
        return instance;
    }

    /// Forgets everything; called at the start of each test.
    static scripted_instance& fresh() {
        only() = scripted_instance();
        return only();
    }

    connection& at(std::size_t index) { return *connections.at(index); }

    void accept(std::size_t index) { at(index).opened(upstream_result::done); }

    /// Answers the oldest request on the connection.
    void answer(std::size_t index, statement_answer answer) {
        connection& on = at(index);
        request oldest = std::move(on.requests.front());
        on.requests.pop_front();
        oldest.answered(answer);
    }

    void done(std::size_t index) { answer(index, {upstream_result::done, {"row"}, "sig", {1, 1}}); }

    /// The far end closes: what is unanswered stays so.
    void crash(std::size_t index) {
        const auto kept = connections.at(index);
        kept->gone = true;
        auto requests = std::exchange(kept->requests, {});
        for (auto& request : requests) {
            if (request.answered) {
                request.answered({upstream_result::unanswered, {}, {}, {}});
            }
            if (request.reported) {
                request.reported(std::nullopt);
            }
        }
        kept->closed();
    }
};

/// A model of upstream_link on the scripted instance.
class scripted_link {
public:
    scripted_link(event_loop&, const upstream_instance&, const std::string& workspace,
                  std::function<void(upstream_result)> opened, std::function<void()> closed)
        : m_state(std::make_shared<scripted_instance::connection>()) {
        m_state->workspace = workspace;
        m_state->opened = std::move(opened);
        m_state->closed = std::move(closed);
        scripted_instance::only().connections.push_back(m_state);
    }

    ~scripted_link() {
        m_state->requests.clear();
        m_state->opened = nullptr;
        m_state->closed = [] {};
        m_state->gone = true;
    }
    scripted_link(const scripted_link&) = delete;
    scripted_link& operator=(const scripted_link&) = delete;

    void clear_session() { m_state->log.emplace_back("clear"); }
    void set_value(const std::string& name, const std::string& value) {
        m_state->log.push_back("set " + name + "=" + value);
    }
    void prepare(const std::string& name, const statement_shape& shape) {
        m_state->log.push_back("prepare " + name + " " + shape.text);
    }
    void begin(bool read_only, const std::optional<log_position>& at_least,
               answer_handler answered) {
        std::string text = read_only ? "begin read" : "begin";
        if (at_least) {
            text += " after " + std::to_string(at_least->offset);
        }
        ask(text, std::move(answered));
    }
    void rollback() { m_state->log.emplace_back("rollback"); }
    void run(const statement& what, const std::string& prepared_name,
             const std::optional<log_position>& at_least, answer_handler answered) {
        std::string text = what.text;
        if (!prepared_name.empty()) {
            text += " as " + prepared_name;
        }
        if (at_least) {
            text += " after " + std::to_string(at_least->offset);
        }
        ask(text, std::move(answered));
    }
    void order(replication_command what, std::uint64_t, status_handler reported) {
        m_state->log.push_back("order " + std::to_string(static_cast<int>(what)));
        m_state->requests.push_back({"order", nullptr, std::move(reported)});
    }
    void close() {
        if (!m_state->gone) {
            m_state->gone = true;
            m_state->log.emplace_back("close");
            auto requests = std::exchange(m_state->requests, {});
            for (auto& request : requests) {
                if (request.answered) {
                    request.answered({upstream_result::unanswered, {}, {}, {}});
                }
                if (request.reported) {
                    request.reported(std::nullopt);
                }
            }
            m_state->closed();
        }
    }

private:
    void ask(const std::string& text, answer_handler answered) {
        m_state->log.push_back(text);
        m_state->requests.push_back({text, std::move(answered), nullptr});
    }

    std::shared_ptr<scripted_instance::connection> m_state;
};

} // namespace bronzeplank::model
