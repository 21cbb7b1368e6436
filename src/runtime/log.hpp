/// \file
/// Structured log: numbered events, one JSON object per line on standard output.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace bronzeplank {

/// All events that a host can log; docs/EVENTS.md describes each.
enum class log_event {
    host_started = 1001,
    host_draining = 1002,
    host_stopped = 1003,
    configuration_in_force = 1101,
    configuration_refused = 1102,
    platform_unreachable = 1201,
    platform_reachable = 1202,
    object_unreadable = 1203,
    platform_restored = 1204,
    watch_unanswered = 1205,
    relay_mode_changed = 1206,
    watch_resumed = 1207,
    watch_unreadable = 1208,
    directory_requested = 1209,
    primary_suspected = 1301,
    promotion_started = 1302,
    promotion_finished = 1303,
    promotion_abandoned = 1304,
    primary_in_force = 1305,
    replica_attached = 1306,
    failover_waiting = 1307,
    replication_commanded = 1308,
    claim_found = 1309,
    successor_chosen = 1310,
    promotion_requested = 1311,
    acknowledged_write_missing = 1312,
    lossy_promotion = 1313,
    promotion_unanswered = 1314,
    commit_confirmed = 1315,
    contact_restored = 1316,
    key_withdrawn = 1401,
    peer_joined = 1501,
    peer_lost = 1502,
    peer_message_dropped = 1503,
    peer_message_refused = 1504,
    peer_address_refused = 1505,
    relay_started = 1511,
    relay_stopped = 1512,
    limit_reached = 1601,
    request_failed = 1701,
    write_superseded = 1702,
    operation_refused = 1703,
    operation_in_doubt = 1704,
    lines_left_out = 1705,
    write_delayed = 1706,
    upstream_reachable = 1801,
    upstream_unreachable = 1802,
    connection_refused = 1803,
    upstream_listed = 1804,
    upstream_gone = 1805,
    entry_unreadable = 1806,
    entry_outdated = 1807,
    workspaces_limited = 1901,
    usage_holder_changed = 1902,
    usage_claim_lost = 1903,
    usage_window_reported = 1904,
    usage_window_missed = 1905,
    process_suspended = 2001,
    settings_read = 2002,
    settings_refused = 2003
};

/// An event with its name and level as they are logged.
struct log_event_row {
    log_event event;
    std::string_view name;
    std::string_view level;
};

/// The catalogue of all events.
std::span<const log_event_row> log_events();

/// A key and a value of a log line.
struct log_field {
    std::string_view name;
    std::string value;
};

/// Logs an event. Values must not contain an API key or a token. It never blocks, and writes at
/// most `max_log_lines_per_second` lines of one event. Lines above that rate, and lines that a slow
/// reader leaves no room for, are dropped and counted; a later lines_left_out event reports how
/// many.
void log(log_event event, std::initializer_list<log_field> fields);

/// The limit applies to each event: more lines of it per second add no information but cost CPU
/// time.
constexpr int max_log_lines_per_second = 20;

/// Number of log lines dropped since the process started.
std::uint64_t dropped_log_lines();

} // namespace bronzeplank
