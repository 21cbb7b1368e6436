#include "service/caller_api.hpp"

#include "peer.pb.h"
#include "runtime/log.hpp"

#include <fmt/format.h>

namespace bronzeplank {

namespace {

const std::string transactions_path = "/v1/transactions";

struct transaction_path {
    std::string id;
    std::string action;
};

// Parses `/v1/transactions/<id>/<action>`.
std::optional<transaction_path> parse_transaction_path(const std::string& path) {
    if (!path.starts_with(transactions_path + "/")) {
        return std::nullopt;
    }
    const std::string remainder = path.substr(transactions_path.size() + 1);
    const auto slash = remainder.find('/');
    if (slash == std::string::npos) {
        return std::nullopt;
    }
    transaction_path parsed{remainder.substr(0, slash), remainder.substr(slash + 1)};
    const bool known =
        parsed.action == "query" || parsed.action == "commit" || parsed.action == "rollback";
    return known ? std::optional(parsed) : std::nullopt;
}

request_class class_of_request(const http_request& request) {
    if (request.path.starts_with(transactions_path)) {
        return request_class::transaction;
    }
    const bool write = !request.idempotency_key.empty() ||
                       request.body.find("INSERT") != std::string::npos ||
                       request.body.find("UPDATE") != std::string::npos ||
                       request.body.find("DELETE") != std::string::npos;
    return write ? request_class::write : request_class::read;
}

wire::envelope make_relay_message(std::uint64_t id, const http_request& request) {
    wire::envelope message;
    wire::relay_request& relayed = *message.mutable_request();
    relayed.set_id(id);
    relayed.set_method(request.method);
    relayed.set_path(request.path);
    relayed.set_body(request.body);
    relayed.set_authorization(request.authorization);
    relayed.set_session(request.session);
    relayed.set_idempotency_key(request.idempotency_key);
    return message;
}

} // namespace

caller_api::caller_api(kernel& services, const settings& host)
    : m_loop(services.loop()), m_host(host),
      m_directory(services.find<directory>(directory::service_name)),
      m_membership(services.find<membership>(membership::service_name)),
      m_queries(services.find<query_service>(query_service::service_name)),
      m_transactions(services.find<transaction_service>(transaction_service::service_name)),
      m_metrics(services.find<metrics>(metrics::service_name)) {
    m_membership.on_relay([this](const wire::envelope& message) { on_relay_message(message); });
}

task<http_answer> caller_api::serve(http_request request) {
    const time_point started_at = event_loop::now();
    http_answer answer;
    try {
        answer = co_await route(request);
    } catch (const request_error& error) {
        answer = to_http_answer(error);
    } catch (const std::exception& error) {
        log(log_event::request_failed, {{"path", request.path}, {"reason", error.what()}});
        answer = to_http_answer(request_error(error_kind::internal, "internal error"));
    }
    record_metrics(request, answer, event_loop::now() - started_at);
    co_return answer;
}

void caller_api::record_metrics(const http_request& request, const http_answer& answer,
                                duration latency) const {
    const std::string prefix = "Bearer ";
    const auto workspace_name =
        request.authorization.starts_with(prefix)
            ? m_directory.keys().workspace_of(request.authorization.substr(prefix.size()))
            : std::nullopt;
    const std::string outcome = answer.status < 300 ? "ok" : std::to_string(answer.status);
    m_metrics.record(workspace_name.value_or("unknown"), class_of_request(request), outcome,
                     latency);
}

task<http_answer> caller_api::route(http_request request) {
    if (!m_directory.ready()) {
        throw request_error(error_kind::platform_unavailable, "this host has no configuration yet");
    }
    if (request.method != "POST") {
        throw request_error(error_kind::not_found, "this address accepts POST requests only");
    }
    if (request.path == "/v1/query") {
        co_return co_await m_queries.run(std::move(request));
    }
    if (request.path == transactions_path) {
        if (m_draining) {
            throw request_error(error_kind::stopping,
                                "this host is shutting down; retry the request");
        }
        co_return co_await m_transactions.open(std::move(request));
    }
    const auto path = parse_transaction_path(request.path);
    if (!path) {
        throw request_error(error_kind::not_found, "no such route");
    }
    const std::string owning_host = transaction_service::owning_host(path->id);
    if (owning_host != m_host.host) {
        co_return co_await relay(std::move(request), owning_host);
    }
    co_return co_await m_transactions.run_action(std::move(request), path->id, path->action);
}

task<http_answer> caller_api::relay(http_request request, std::string host) {
    const caller_context caller = m_queries.admit(request);
    const std::uint64_t id = m_next_relay_id++;
    const oneshot<http_answer> pending_answer(m_loop);
    m_pending_relays.emplace(id, pending_relay{pending_answer});
    wire::envelope message = make_relay_message(id, request);
    message.mutable_request()->set_deadline_ms(
        to_milliseconds(caller.deadline - event_loop::now()));
    const bool sent = m_membership.send(host, message);
    if (!sent) {
        m_pending_relays.erase(id);
        throw request_error(
            error_kind::transaction_gone,
            "the host that held the transaction is gone; the transaction was rolled back");
    }
    const bool is_commit = request.path.ends_with("/commit");
    const timer deadline_timer =
        m_loop.after(caller.deadline - event_loop::now(), [pending_answer, is_commit] {
            const error_kind kind =
                is_commit ? error_kind::outcome_unknown : error_kind::transaction_gone;
            pending_answer.set(to_http_answer(request_error(
                kind, "the host that holds the transaction did not answer before the deadline")));
        });
    http_answer answer = co_await pending_answer;
    m_pending_relays.erase(id);
    co_return answer;
}

void caller_api::on_relay_message(const wire::envelope& message) {
    if (message.has_answer()) {
        const auto found = m_pending_relays.find(message.answer().id());
        if (found != m_pending_relays.end()) {
            found->second.answer.set(
                {message.answer().status(), message.answer().body(), message.answer().session()});
        }
        return;
    }
    const wire::relay_request& relayed = message.request();
    http_request request{relayed.method(),
                         relayed.path(),
                         relayed.body(),
                         relayed.authorization(),
                         relayed.session(),
                         relayed.idempotency_key(),
                         std::to_string(relayed.deadline_ms()),
                         ""};
    const auto path = parse_transaction_path(request.path);
    // A relayed request is never relayed again, which rules out loops.
    if (path && transaction_service::owning_host(path->id) == m_host.host) {
        spawn(serve_relayed(message.from(), relayed.id(), std::move(request)));
    }
}

task<void> caller_api::serve_relayed(std::string from, std::uint64_t id, http_request request) {
    const http_answer answer = co_await serve(std::move(request));
    wire::envelope message;
    message.mutable_answer()->set_id(id);
    message.mutable_answer()->set_status(answer.status);
    message.mutable_answer()->set_body(answer.body);
    message.mutable_answer()->set_session(answer.session);
    m_membership.send(from, message);
}

} // namespace bronzeplank
