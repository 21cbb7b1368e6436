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

constexpr std::array rows{
    log_event_row{log_event::host_started, "host_started", "info"},
    log_event_row{log_event::host_draining, "host_draining", "info"},
    log_event_row{log_event::host_stopped, "host_stopped", "info"},
    log_event_row{log_event::configuration_in_force, "configuration_in_force", "info"},
    log_event_row{log_event::configuration_refused, "configuration_refused", "error"},
    log_event_row{log_event::platform_unreachable, "platform_unreachable", "warning"},
    log_event_row{log_event::platform_reachable, "platform_reachable", "info"},
    log_event_row{log_event::primary_suspected, "primary_suspected", "warning"},
    log_event_row{log_event::promotion_started, "promotion_started", "warning"},
    log_event_row{log_event::promotion_finished, "promotion_finished", "info"},
    log_event_row{log_event::promotion_abandoned, "promotion_abandoned", "warning"},
    log_event_row{log_event::primary_in_force, "primary_in_force", "info"},
    log_event_row{log_event::replica_attached, "replica_attached", "info"},
    log_event_row{log_event::key_withdrawn, "key_withdrawn", "info"},
    log_event_row{log_event::peer_joined, "peer_joined", "info"},
    log_event_row{log_event::peer_lost, "peer_lost", "warning"},
    log_event_row{log_event::peer_message_dropped, "peer_message_dropped", "info"},
    log_event_row{log_event::request_failed, "request_failed", "warning"},
    log_event_row{log_event::write_superseded, "write_superseded", "warning"},
    log_event_row{log_event::operation_refused, "operation_refused", "info"},
    log_event_row{log_event::operation_in_doubt, "operation_in_doubt", "warning"},
    log_event_row{log_event::lines_left_out, "lines_left_out", "info"},
    log_event_row{log_event::upstream_reachable, "upstream_reachable", "info"},
    log_event_row{log_event::upstream_unreachable, "upstream_unreachable", "warning"},
    log_event_row{log_event::connection_refused, "connection_refused", "warning"},
    log_event_row{log_event::upstream_listed, "upstream_listed", "info"},
    log_event_row{log_event::upstream_gone, "upstream_gone", "info"},
    log_event_row{log_event::entry_unreadable, "entry_unreadable", "warning"},
    log_event_row{log_event::workspaces_limited, "workspaces_limited", "info"},
    log_event_row{log_event::process_suspended, "process_suspended", "warning"},
    log_event_row{log_event::settings_read, "settings_read", "info"},
    log_event_row{log_event::settings_refused, "settings_refused", "error"},
};

// Space that a pipe promises with POLLOUT; a larger write might block.
constexpr std::size_t unblocked_bytes = 4096;
// What waits for a slow reader.
constexpr std::size_t most_waiting_bytes = 262144;

class sink {
public:
    void write(std::string line) {
        if (m_waiting.size() + line.size() > most_waiting_bytes) {
            leave_out();
            return;
        }
        m_waiting += line;
        flush();
    }

    // Whether one more line of the event fits into the present second.
    bool admit(log_event event) {
        timespec now{};
        clock_gettime(CLOCK_MONOTONIC, &now);
        if (now.tv_sec != m_second) {
            m_second = now.tv_sec;
            m_lines.clear();
            tell_left_out();
        }
        if (++m_lines[event] > log_lines_per_second) {
            leave_out();
            return false;
        }
        return true;
    }

    std::uint64_t left_out() const { return m_left_out; }

private:
    void leave_out() { ++m_left_out; }

    void tell_left_out() {
        if (m_left_out != m_told) {
            const std::uint64_t count = m_left_out - std::exchange(m_told, m_left_out);
            log(log_event::lines_left_out, {{"count", std::to_string(count)}});
        }
    }

    void flush() {
        while (!m_waiting.empty()) {
            pollfd out{STDOUT_FILENO, POLLOUT, 0};
            if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0) {
                return;
            }
            const auto written = ::write(STDOUT_FILENO, m_waiting.data(),
                                         std::min(m_waiting.size(), unblocked_bytes));
            if (written <= 0) {
                // Nobody can be told that the log itself fails; the lines wait for the next try.
                return;
            }
            m_waiting.erase(0, static_cast<std::size_t>(written));
        }
    }

    std::string m_waiting;
    std::map<log_event, int> m_lines;
    time_t m_second = 0;
    std::uint64_t m_left_out = 0;
    std::uint64_t m_told = 0;
};

sink& output() {
    static sink only;
    return only;
}

} // namespace

std::uint64_t log_lines_left_out() {
    return output().left_out();
}

std::span<const log_event_row> log_events() {
    return rows;
}

void log(log_event event, std::initializer_list<log_field> fields) {
    if (!output().admit(event)) {
        return;
    }
    const auto* row = std::find_if(rows.begin(), rows.end(),
                                   [event](const auto& item) { return item.event == event; });
    const auto now = std::chrono::system_clock::now();
    const auto fraction =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() %
        1000;
    std::string line =
        fmt::format(R"({{"time":"{:%Y-%m-%dT%H:%M:%S}.{:03}Z","level":"{}","event":{},"name":"{}")",
                    fmt::gmtime(std::chrono::system_clock::to_time_t(now)), fraction, row->level,
                    static_cast<int>(event), row->name);
    for (const auto& field : fields) {
        line += fmt::format(",{}:{}", internal::quoted(field.name), internal::quoted(field.value));
    }
    output().write(line + "}\n");
}

} // namespace bronzeplank
