#include "runtime/log.hpp"

#include "bronzeplank/internal/json_reader.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <fmt/chrono.h>
#include <fmt/format.h>

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
    log_event_row{log_event::workspaces_limited, "workspaces_limited", "info"},
    log_event_row{log_event::process_suspended, "process_suspended", "warning"},
};

} // namespace

std::span<const log_event_row> log_events() {
    return rows;
}

void log(log_event event, std::initializer_list<log_field> fields) {
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
    fmt::print(stderr, "{}}}\n", line);
}

} // namespace bronzeplank
