/// \file
/// A simulated caller and its session.
#pragma once

#include "edge/http_client.hpp"
#include "load/history.hpp"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace bronzeplank::load {

/// A request that is due and waits in its caller's queue.
struct scheduled_request {
    time_point arrived_at;
    request_kind kind = request_kind::lookup;
    /// Selects the host, the group and the nonce.
    std::uint64_t random_value = 0;
};

/// Sends its queued requests one at a time within one session. Changes hosts at random, retries
/// writes under their idempotency keys, and checks each read against the writes that the session
/// has acknowledged. Records every attempt in the history, which must outlive the caller.
/// Usage: `caller one(loop, "desk-0", history, groups, hosts); one.enqueue(request);`
class caller {
public:
    caller(event_loop& loop, std::string name, workspace_history& history,
           const std::vector<std::string>& groups, const std::vector<endpoint>& hosts);

    /// Queues a request. It is sent after all earlier ones have completed.
    void enqueue(const scheduled_request& request);
    bool idle() const { return !m_processing && m_queue.empty(); }
    /// Drops the requests that were not sent yet, and returns their number. One may still run.
    std::size_t drop_queued() {
        const std::size_t dropped = m_queue.size();
        m_queue.clear();
        return dropped;
    }

private:
    struct exchange {
        request_attempt attempt;
        http_reply reply;
    };

    task<void> process_queue();
    task<void> insert_booking(scheduled_request request);
    task<void> look_up_bookings(scheduled_request request);
    task<void> append_log_entry(scheduled_request request);
    task<void> run_transaction(scheduled_request request);
    task<run_outcome> write_with_retries(scheduled_request request, std::string group,
                                         std::string key, std::string body);
    task<exchange> send(scheduled_request request, std::string group, std::string path,
                        std::string body, std::map<std::string, std::string> headers);
    void check_lookup(const exchange& completed, std::uint64_t nonce,
                      std::uint64_t acknowledged_count);
    http_client& current_client();
    const std::string& choose_group(std::uint64_t random_value) const;
    void choose_host(std::uint64_t random_value);

    event_loop& m_loop;
    std::string m_name;
    workspace_history& m_history;
    const std::vector<std::string>& m_groups;
    const std::vector<endpoint>& m_hosts;
    std::map<std::size_t, std::unique_ptr<http_client>> m_clients;
    std::size_t m_host_index = 0;
    std::string m_session_token;
    std::deque<scheduled_request> m_queue;
    bool m_processing = false;
    std::uint64_t m_last_booking_number = 0;
    std::int64_t m_next_log_entry = 1;
    bool m_log_outcome_unknown = false;
    std::map<std::string, std::uint64_t> m_acknowledged_bookings;
};

} // namespace bronzeplank::load
