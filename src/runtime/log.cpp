#include "runtime/log.hpp"

#include "bronzeplank/internal/json_reader.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <map>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace bronzeplank {

namespace {

constexpr std::array event_catalogue{
    log_event_row{log_event::host_started, "host_started", "info"},
    log_event_row{log_event::host_draining, "host_draining", "info"},
    log_event_row{log_event::host_stopped, "host_stopped", "info"},
    log_event_row{log_event::configuration_in_force, "configuration_in_force", "info"},
    log_event_row{log_event::configuration_refused, "configuration_refused", "error"},
    log_event_row{log_event::platform_unreachable, "platform_unreachable", "warning"},
    log_event_row{log_event::platform_reachable, "platform_reachable", "info"},
    log_event_row{log_event::object_unreadable, "object_unreadable", "error"},
    log_event_row{log_event::platform_restored, "platform_restored", "warning"},
    log_event_row{log_event::watch_unanswered, "watch_unanswered", "warning"},
    log_event_row{log_event::relay_mode_changed, "relay_mode_changed", "info"},
    log_event_row{log_event::watch_resumed, "watch_resumed", "info"},
    log_event_row{log_event::watch_unreadable, "watch_unreadable", "warning"},
    log_event_row{log_event::directory_requested, "directory_requested", "info"},
    log_event_row{log_event::primary_suspected, "primary_suspected", "warning"},
    log_event_row{log_event::promotion_started, "promotion_started", "warning"},
    log_event_row{log_event::promotion_finished, "promotion_finished", "info"},
    log_event_row{log_event::promotion_abandoned, "promotion_abandoned", "warning"},
    log_event_row{log_event::primary_in_force, "primary_in_force", "info"},
    log_event_row{log_event::replica_attached, "replica_attached", "info"},
    log_event_row{log_event::failover_waiting, "failover_waiting", "warning"},
    log_event_row{log_event::replication_commanded, "replication_commanded", "info"},
    log_event_row{log_event::claim_found, "claim_found", "info"},
    log_event_row{log_event::successor_chosen, "successor_chosen", "info"},
    log_event_row{log_event::promotion_requested, "promotion_requested", "info"},
    log_event_row{log_event::acknowledged_write_missing, "acknowledged_write_missing", "warning"},
    log_event_row{log_event::lossy_promotion, "lossy_promotion", "warning"},
    log_event_row{log_event::promotion_unanswered, "promotion_unanswered", "warning"},
    log_event_row{log_event::commit_confirmed, "commit_confirmed", "info"},
    log_event_row{log_event::contact_restored, "contact_restored", "info"},
    log_event_row{log_event::key_withdrawn, "key_withdrawn", "info"},
    log_event_row{log_event::peer_joined, "peer_joined", "info"},
    log_event_row{log_event::peer_lost, "peer_lost", "warning"},
    log_event_row{log_event::peer_message_dropped, "peer_message_dropped", "info"},
    log_event_row{log_event::peer_message_refused, "peer_message_refused", "warning"},
    log_event_row{log_event::peer_address_refused, "peer_address_refused", "warning"},
    log_event_row{log_event::relay_started, "relay_started", "info"},
    log_event_row{log_event::relay_stopped, "relay_stopped", "info"},
    log_event_row{log_event::limit_reached, "limit_reached", "warning"},
    log_event_row{log_event::request_failed, "request_failed", "warning"},
    log_event_row{log_event::write_superseded, "write_superseded", "warning"},
    log_event_row{log_event::operation_refused, "operation_refused", "info"},
    log_event_row{log_event::operation_in_doubt, "operation_in_doubt", "warning"},
    log_event_row{log_event::lines_left_out, "lines_left_out", "info"},
    log_event_row{log_event::write_delayed, "write_delayed", "warning"},
    log_event_row{log_event::upstream_reachable, "upstream_reachable", "info"},
    log_event_row{log_event::upstream_unreachable, "upstream_unreachable", "warning"},
    log_event_row{log_event::connection_refused, "connection_refused", "warning"},
    log_event_row{log_event::upstream_listed, "upstream_listed", "info"},
    log_event_row{log_event::upstream_gone, "upstream_gone", "info"},
    log_event_row{log_event::entry_unreadable, "entry_unreadable", "warning"},
    log_event_row{log_event::entry_outdated, "entry_outdated", "info"},
    log_event_row{log_event::workspaces_limited, "workspaces_limited", "info"},
    log_event_row{log_event::usage_holder_changed, "usage_holder_changed", "info"},
    log_event_row{log_event::usage_claim_lost, "usage_claim_lost", "warning"},
    log_event_row{log_event::usage_window_reported, "usage_window_reported", "info"},
    log_event_row{log_event::usage_window_missed, "usage_window_missed", "warning"},
    log_event_row{log_event::process_suspended, "process_suspended", "warning"},
    log_event_row{log_event::settings_read, "settings_read", "info"},
    log_event_row{log_event::settings_refused, "settings_refused", "error"},
};

// POLLOUT on a pipe guarantees this much space (PIPE_BUF); a larger write could block.
constexpr std::size_t max_write_bytes = 4096;
// The size of the lines that a slow reader has not taken yet; further lines are dropped.
constexpr std::size_t max_buffered_bytes = 262144;

// Writes lines to standard output without blocking.
class log_writer {
public:
    void write(std::string line) {
        if (m_buffer.size() + line.size() > max_buffered_bytes) {
            count_dropped();
            return;
        }
        m_buffer += line;
        flush();
    }

    // Whether the rate limit allows one more line of the event in the current second.
    bool admit(log_event event) {
        timespec now{};
        clock_gettime(CLOCK_MONOTONIC, &now);
        if (now.tv_sec != m_second) {
            m_second = now.tv_sec;
            m_lines_this_second.clear();
            report_dropped();
        }
        if (++m_lines_this_second[event] > max_log_lines_per_second) {
            count_dropped();
            return false;
        }
        return true;
    }

    std::uint64_t dropped_lines() const { return m_dropped_lines; }

private:
    void count_dropped() { ++m_dropped_lines; }

    void report_dropped() {
        if (m_dropped_lines != m_reported_lines) {
            const std::uint64_t count =
                m_dropped_lines - std::exchange(m_reported_lines, m_dropped_lines);
            log(log_event::lines_left_out, {{"count", std::to_string(count)}});
        }
    }

    void flush() {
        while (!m_buffer.empty()) {
            pollfd stdout_poll{STDOUT_FILENO, POLLOUT, 0};
            if (poll(&stdout_poll, 1, 0) != 1 || (stdout_poll.revents & POLLOUT) == 0) {
                return;
            }
            const auto written =
                ::write(STDOUT_FILENO, m_buffer.data(), std::min(m_buffer.size(), max_write_bytes));
            if (written <= 0) {
                // A failure of the log cannot be logged; the lines stay buffered until the next
                // write.
                return;
            }
            m_buffer.erase(0, static_cast<std::size_t>(written));
        }
    }

    std::string m_buffer;
    std::map<log_event, int> m_lines_this_second;
    time_t m_second = 0;
    std::uint64_t m_dropped_lines = 0;
    std::uint64_t m_reported_lines = 0;
};

log_writer& writer() {
    static log_writer instance;
    return instance;
}

} // namespace

std::uint64_t dropped_log_lines() {
    return writer().dropped_lines();
}

std::span<const log_event_row> log_events() {
    return event_catalogue;
}

void log(log_event event, std::initializer_list<log_field> fields) {
    if (!writer().admit(event)) {
        return;
    }
    const auto* row = std::find_if(event_catalogue.begin(), event_catalogue.end(),
                                   [event](const auto& item) { return item.event == event; });
    const auto now = std::chrono::system_clock::now();
    const auto milliseconds_of_second =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() %
        1000;
    std::string line =
        fmt::format(R"({{"time":"{:%Y-%m-%dT%H:%M:%S}.{:03}Z","level":"{}","event":{},"name":"{}")",
                    fmt::gmtime(std::chrono::system_clock::to_time_t(now)), milliseconds_of_second,
                    row->level, static_cast<int>(event), row->name);
    for (const auto& field : fields) {
        line += fmt::format(",{}:{}", internal::quoted(field.name), internal::quoted(field.value));
    }
    writer().write(line + "}\n");
}

} // namespace bronzeplank
