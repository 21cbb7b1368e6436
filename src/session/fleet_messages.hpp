/// \file
/// What hosts tell each other, as protobuf and as the values that the services use.
#pragma once

#include "session/fleet_directory.hpp"
#include "session/upstream_work.hpp"

#include <optional>
#include <string>

namespace bronzeplank::wire {
class upstream_work;
class upstream_answer;
class replication_report;
class directory_copy;
} // namespace bronzeplank::wire

namespace bronzeplank {

void write_work(const upstream_work& work, wire::upstream_work& into);
/// \param from the host that sent it, whose numbers its transactions have
upstream_work read_work(const std::string& from, const wire::upstream_work& message);

/// The call's number is the caller's to set.
void write_answer(const statement_answer& answer, wire::upstream_answer& into);
statement_answer read_answer(const wire::upstream_answer& message);

/// The call's number is the caller's to set.
void write_report(const std::optional<replication_status>& status, wire::replication_report& into);
std::optional<replication_status> read_report(const wire::replication_report& message);

void write_directory(const directory_copy& copy, wire::directory_copy& into);
directory_copy read_directory(const wire::directory_copy& message);

} // namespace bronzeplank
