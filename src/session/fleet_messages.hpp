/// \file
/// Conversion between the protobuf messages that session hosts exchange and internal types.
#pragma once

#include "bronzeplank/usage_report.hpp"
#include "session/fleet_directory.hpp"
#include "session/upstream_work.hpp"

#include <optional>
#include <string>

namespace bronzeplank::wire {
class upstream_work;
class upstream_answer;
class replication_report;
class replication_request;
class directory_snapshot;
class usage_update;
} // namespace bronzeplank::wire

namespace bronzeplank {

// All readers throw an input_error for a value that this version doesn't know.

void write_work(const upstream_work& work, wire::upstream_work& target);
/// \param from the sending host, which qualifies the message's transaction number
upstream_work read_work(const std::string& from, const wire::upstream_work& message);

/// Does not set the call id.
void write_answer(const statement_answer& answer, wire::upstream_answer& target);
statement_answer read_answer(const wire::upstream_answer& message);

replication_command read_command(const wire::replication_request& message);

/// Does not set the call id.
void write_report(const std::optional<replication_status>& status,
                  wire::replication_report& target);
std::optional<replication_status> read_report(const wire::replication_report& message);

void write_directory(const directory_snapshot& snapshot, wire::directory_snapshot& target);
directory_snapshot read_directory(const wire::directory_snapshot& message);

void write_usage(const usage_update& update, wire::usage_update& target);
usage_update read_usage(const wire::usage_update& message);

} // namespace bronzeplank
