#include "service/rate_service.hpp"

#include "bronzeplank/error.hpp"
#include "runtime/log.hpp"

#include <fmt/format.h>
#include <sodium.h>

namespace bronzeplank {

namespace {

constexpr std::chrono::milliseconds renew_period{700};
constexpr std::uint32_t renew_jitter_ms = 300;
constexpr std::uint32_t retry_jitter_ms = 60;
constexpr int renew_attempts = 6;
constexpr std::chrono::milliseconds longest_wait{500};
constexpr std::chrono::milliseconds wait_step{5};
// The weight of the latest period in the demand.
constexpr double demand_weight = 0.5;

duration jitter(std::uint32_t milliseconds) {
    return std::chrono::milliseconds(randombytes_uniform(milliseconds));
}

} // namespace

rate_service::rate_service(kernel& services, const settings& host, platform_client& platform)
    : m_loop(services.loop()), m_platform(platform),
      m_directory(services.find<directory>(directory::service_name)),
      // Each process is a holder of its own: an earlier one under the same name may still spend.
      m_holder(fmt::format("{}#{:08x}", host.host, randombytes_random()), share_policy()),
      m_measured(event_loop::now()) {
    services.add(std::string(service_name), *this);
}

void rate_service::start() {
    spawn(renew_regularly());
}

task<void> rate_service::renew_regularly() {
    while (!m_stopped) {
        if (m_directory.ready()) {
            measure_demand(event_loop::now());
            for (int i = 0; i < renew_attempts && !m_stopped; ++i) {
                const bool renewed = co_await renew();
                if (renewed) {
                    break;
                }
                co_await sleep_for(m_loop, jitter(retry_jitter_ms));
            }
        }
        co_await sleep_for(m_loop, renew_period + jitter(renew_jitter_ms));
    }
}

task<bool> rate_service::renew() {
    const platform_read read = co_await m_platform.get("shares", "ledger");
    if (read.status == platform_status::unanswered || m_stopped) {
        co_return false;
    }
    share_ledger ledger;
    std::uint64_t version = 0;
    if (read.status == platform_status::ok) {
        ledger = read_share_ledger(read.object.value);
        version = read.object.version;
    }
    m_holder.observe(ledger, version, event_loop::now());
    apply_shares();
    share_policy policy;
    policy.host_seats = m_directory.current_configuration().host_seats;
    m_holder.set_policy(policy);
    std::map<std::string, double> demand;
    std::map<std::string, rate_limit> limits;
    for (const auto& tenant : m_directory.current_configuration().workspaces) {
        demand[tenant.name] = rate_of(tenant).demand;
        limits[tenant.name] = {tenant.rate, tenant.burst};
    }
    const auto proposal = m_holder.propose(demand, limits, event_loop::now());
    if (!proposal) {
        co_return false;
    }
    co_return co_await write(*proposal);
}

task<bool> rate_service::write(share_proposal proposal) {
    m_holder.record_sent(proposal, event_loop::now());
    apply_shares();
    const platform_write written = co_await m_platform.put("shares", "ledger", proposal.version,
                                                           write_share_ledger(proposal.ledger));
    if (written.status != platform_status::ok) {
        co_return false;
    }
    m_holder.record_accepted(written.version, event_loop::now());
    apply_shares();
    co_return true;
}

task<void> rate_service::leave() {
    m_stopped = true;
    const platform_read read = co_await m_platform.get("shares", "ledger");
    if (read.status != platform_status::ok) {
        co_return;
    }
    m_holder.observe(read_share_ledger(read.object.value), read.object.version, event_loop::now());
    const auto proposal = m_holder.release();
    apply_shares();
    if (proposal) {
        // Refused or unanswered, the leases lapse by themselves.
        co_await m_platform.put("shares", "ledger", proposal->version,
                                write_share_ledger(proposal->ledger));
    }
}

rate_service::tenant_rate& rate_service::rate_of(const workspace& tenant) {
    const auto found = m_tenants.find(tenant.name);
    const time_point now = event_loop::now();
    if (found == m_tenants.end()) {
        tenant_rate fresh;
        fresh.bucket = leased_bucket({tenant.rate, tenant.burst}, now);
        return m_tenants.emplace(tenant.name, fresh).first->second;
    }
    found->second.bucket.set_limit({tenant.rate, tenant.burst}, now);
    return found->second;
}

void rate_service::measure_demand(time_point now) {
    const double elapsed = std::chrono::duration<double>(now - m_measured).count();
    m_measured = now;
    for (auto& [name, tenant] : m_tenants) {
        const double latest = static_cast<double>(tenant.arrivals) / std::max(elapsed, 0.001);
        tenant.demand = demand_weight * latest + (1 - demand_weight) * tenant.demand;
        tenant.arrivals = 0;
    }
}

void rate_service::apply_shares() {
    const time_point now = event_loop::now();
    for (const share_account account : {share_account::floor, share_account::extra}) {
        const auto held = m_holder.held(account);
        for (const auto& tenant : m_directory.current_configuration().workspaces) {
            const auto share = held.shares.find(tenant.name);
            rate_of(tenant).bucket.set_share(
                account, share == held.shares.end() ? 0 : share->second, held.until, now);
        }
    }
}

task<void> rate_service::take(workspace tenant, time_point deadline) {
    const time_point limit = std::min<time_point>(deadline, event_loop::now() + longest_wait);
    tenant_rate& rate = rate_of(tenant);
    ++rate.arrivals;
    if (rate.waiting == 0 && rate.bucket.try_take(event_loop::now())) {
        co_return;
    }
    // A wait only makes sense for a request whose turn comes in time.
    const auto first = rate.bucket.time_to_token(event_loop::now());
    const bool hopeless = !first || event_loop::now() + *first * (rate.waiting + 1) > limit;
    if (!hopeless) {
        ++rate.waiting;
        while (event_loop::now() < limit) {
            const auto wait = rate.bucket.time_to_token(event_loop::now());
            co_await sleep_for(m_loop, std::max<duration>(wait.value_or(wait_step), wait_step));
            if (rate.bucket.try_take(event_loop::now())) {
                --rate.waiting;
                co_return;
            }
        }
        --rate.waiting;
    }
    ++m_refused;
    throw request_error(
        error_kind::rate_limited,
        fmt::format("the workspace's rate of {} requests a second is used up", tenant.rate));
}

} // namespace bronzeplank
