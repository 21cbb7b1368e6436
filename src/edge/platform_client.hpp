/// \file
/// The client of the platform's object API.
#pragma once

#include "edge/http_exchange.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace bronzeplank {

/// An object stored on the platform.
struct platform_object {
    std::string kind;
    std::string name;
    std::uint64_t version = 0;
    /// The value as JSON text.
    std::string value;
    bool operator==(const platform_object&) const = default;
};

/// The result of a call. After `unanswered` a change may or may not have taken effect.
enum class platform_status { ok, not_found, conflict, unanswered };

/// Objects that changed after a revision, and the revision to continue from.
struct platform_changes {
    platform_status status = platform_status::unanswered;
    std::uint64_t revision = 0;
    std::vector<platform_object> objects;
};

/// The result of reading an object.
struct platform_read {
    platform_status status = platform_status::unanswered;
    platform_object object;
};

/// The result of a write: the new version, or the current version after a conflict.
struct platform_write {
    platform_status status = platform_status::unanswered;
    std::uint64_t version = 0;
};

/// Calls the platform; each call is one HTTP request with a timeout. A platform that is down or
/// slow, or that sends a malformed answer, causes no exception but the status `unanswered`. Usage:
/// `const platform_read read = co_await platform.get("group", "main");`
class platform_client {
public:
    platform_client(event_loop& loop, endpoint platform, std::string user_agent);

    /// Reads an object.
    task<platform_read> get(std::string kind, std::string name);
    /// Writes the object if its current version is the expected one; 0 creates it.
    task<platform_write> put(std::string kind, std::string name, std::uint64_t expected_version,
                             std::string value);
    /// Waits up to `max_wait` for changes after the revision to objects of the given kinds (a list
    /// separated by commas).
    task<platform_changes> changes(std::uint64_t since, std::string kinds, duration max_wait);
    /// Updates this host's entry in the platform's list of hosts.
    task<platform_write> report_host(std::string host, std::string value);
    /// The platform's list of hosts as JSON text; empty when the call is unanswered.
    task<std::string> hosts();

    std::uint64_t calls() const { return m_calls; }

private:
    task<http_reply> call(http_method method, std::string path, std::string body, duration timeout);

    event_loop& m_loop;
    endpoint m_platform;
    std::string m_user_agent;
    std::uint64_t m_calls = 0;
};

} // namespace bronzeplank
