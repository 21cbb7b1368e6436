#include "service/rate_service.hpp"

#include "bronzeplank/error.hpp"
#include "runtime/log.hpp"

#include <fmt/format.h>
#include <sodium.h>

namespace bronzeplank {

namespace {

constexpr std::chrono::milliseconds renew_interval{700};
constexpr std::uint32_t renew_jitter_ms = 300;
constexpr std::uint32_t retry_jitter_ms = 60;
constexpr int max_renew_attempts = 6;
constexpr std::chrono::milliseconds max_wait{500};
constexpr std::chrono::milliseconds min_wait_step{5};
// Weight of the latest interval in the exponential moving average of the demand.
constexpr double demand_smoothing_factor = 0.5;

duration jitter(std::uint32_t milliseconds) {
    return std::chrono::milliseconds(randombytes_uniform(milliseconds));
}

} // namespace

rate_service::rate_service(kernel& services, const settings& host, platform_client& platform)
    : m_loop(services.loop()), m_platform(platform),
      m_directory(services.find<directory>(directory::service_name)),
      // The suffix makes each process a separate holder: a previous process of the same host may
      // still be using its shares.
      m_holder(fmt::format("{}#{:08x}", host.host, randombytes_random()), share_policy()),
      m_last_measured(event_loop::now()) {
    services.add(std::string(service_name), *this);
}

void rate_service::start() {
    spawn(renew_periodically());
}

task<void> rate_service::renew_periodically() {
    while (!m_stopped) {
        if (m_directory.ready()) {
            measure_demand(event_loop::now());
            for (int i = 0; i < max_renew_attempts && !m_stopped; ++i) {
                const bool renewed = co_await renew();
                if (renewed) {
                    break;
                }
                co_await sleep_for(m_loop, jitter(retry_jitter_ms));
            }
        }
        co_await sleep_for(m_loop, renew_interval + jitter(renew_jitter_ms));
    }
}

task<bool> rate_service::renew() {
    const platform_read read = co_await m_platform.get("shares", "ledger");
    if (read.status == platform_status::unanswered || m_stopped) {
        co_return false;
    }
    if (!observe_ledger(read)) {
        co_return false;
    }
    apply_shares();
    share_policy policy;
    policy.host_seats = m_directory.current_configuration().host_seats;
    m_holder.set_policy(policy);
    std::map<std::string, double> demand;
    std::map<std::string, rate_limit> limits;
    for (const auto& entry : m_directory.current_configuration().workspaces) {
        demand[entry.name] = rate_of(entry).demand;
        limits[entry.name] = {entry.rate, entry.burst};
    }
    const auto proposal = m_holder.propose(demand, limits, event_loop::now());
    if (!proposal) {
        co_return false;
    }
    co_return co_await write(*proposal);
}

// A ledger that can't be read is left as it is: it may hold leases of other hosts. This host keeps
// its shares until they expire.
bool rate_service::observe_ledger(const platform_read& read) {
    try {
        const bool exists = read.status == platform_status::ok;
        m_holder.observe(exists ? read_share_ledger(read.object.value) : share_ledger(),
                         exists ? read.object.version : 0, event_loop::now());
        return true;
    } catch (const input_error& error) {
        log(log_event::object_unreadable,
            {{"kind", "shares"}, {"name", "ledger"}, {"reason", error.what()}});
        return false;
    }
}

task<bool> rate_service::write(share_proposal proposal) {
    m_holder.record_sent(proposal, event_loop::now());
    apply_shares();
    const platform_write result = co_await m_platform.put("shares", "ledger", proposal.version,
                                                          write_share_ledger(proposal.ledger));
    if (result.status != platform_status::ok) {
        co_return false;
    }
    m_holder.record_accepted(result.version, event_loop::now());
    apply_shares();
    co_return true;
}

task<void> rate_service::release_shares() {
    m_stopped = true;
    const platform_read read = co_await m_platform.get("shares", "ledger");
    if (read.status != platform_status::ok || !observe_ledger(read)) {
        co_return;
    }
    const auto proposal = m_holder.release();
    apply_shares();
    if (proposal) {
        // If this write fails, the leases expire on their own.
        co_await m_platform.put("shares", "ledger", proposal->version,
                                write_share_ledger(proposal->ledger));
    }
}

rate_service::workspace_rate& rate_service::rate_of(const workspace& entry) {
    const auto found = m_workspace_rates.find(entry.name);
    const time_point now = event_loop::now();
    if (found == m_workspace_rates.end()) {
        workspace_rate added;
        added.bucket = leased_bucket({entry.rate, entry.burst}, now);
        return m_workspace_rates.emplace(entry.name, added).first->second;
    }
    found->second.bucket.set_limit({entry.rate, entry.burst}, now);
    return found->second;
}

void rate_service::measure_demand(time_point now) {
    const double elapsed_s = std::chrono::duration<double>(now - m_last_measured).count();
    m_last_measured = now;
    for (auto& [name, rate] : m_workspace_rates) {
        const double arrival_rate = static_cast<double>(rate.arrivals) / std::max(elapsed_s, 0.001);
        rate.demand =
            demand_smoothing_factor * arrival_rate + (1 - demand_smoothing_factor) * rate.demand;
        rate.arrivals = 0;
    }
}

void rate_service::apply_shares() {
    const time_point now = event_loop::now();
    for (const share_account account : {share_account::floor, share_account::extra}) {
        const auto held = m_holder.held(account);
        for (const auto& entry : m_directory.current_configuration().workspaces) {
            const auto share = held.shares.find(entry.name);
            rate_of(entry).bucket.set_share(account, share == held.shares.end() ? 0 : share->second,
                                            held.until, now);
        }
    }
}

task<void> rate_service::take_token(workspace entry, time_point deadline) {
    const time_point wait_deadline = std::min<time_point>(deadline, event_loop::now() + max_wait);
    workspace_rate& rate = rate_of(entry);
    ++rate.arrivals;
    if (rate.waiting == 0 && rate.bucket.try_take(event_loop::now())) {
        co_return;
    }
    // The request waits only if its token, after those of the requests ahead, arrives in time.
    const auto time_to_first_token = rate.bucket.time_to_token(event_loop::now());
    const bool cannot_succeed =
        !time_to_first_token ||
        event_loop::now() + *time_to_first_token * (rate.waiting + 1) > wait_deadline;
    if (!cannot_succeed) {
        ++rate.waiting;
        while (event_loop::now() < wait_deadline) {
            const auto wait = rate.bucket.time_to_token(event_loop::now());
            co_await sleep_for(m_loop,
                               std::max<duration>(wait.value_or(min_wait_step), min_wait_step));
            if (rate.bucket.try_take(event_loop::now())) {
                --rate.waiting;
                co_return;
            }
        }
        --rate.waiting;
    }
    ++m_refused_requests;
    throw request_error(
        error_kind::rate_limited,
        fmt::format("the workspace exceeded its limit of {} requests per second", entry.rate));
}

} // namespace bronzeplank
