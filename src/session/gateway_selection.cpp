#include "session/gateway_selection.hpp"

#include "bronzeplank/gateway_order.hpp"

namespace bronzeplank {

gateway_selection::gateway_selection(std::string host, std::string failure_domain)
    : m_host(std::move(host)), m_failure_domain(std::move(failure_domain)) {}

void gateway_selection::connect(const fleet& peers, own_pool_status own_status) {
    m_fleet = &peers;
    m_own_status = std::move(own_status);
}

// Cached: called several times per statement, while hosts rarely join or leave.
std::string gateway_selection::gateway_of(const upstream_instance& instance) const {
    if (m_gateway_cache_view != m_fleet->view_version()) {
        m_gateway_cache_view = m_fleet->view_version();
        m_gateway_cache.clear();
    }
    const auto own = m_own_status(instance.id);
    const bool unreachable_here = own && !own->reachable;
    cached_gateway& cached = m_gateway_cache[instance.id];
    if (cached.host.empty() || cached.leaving != m_leaving ||
        cached.unreachable_here != unreachable_here) {
        cached = {find_gateway(instance, unreachable_here), m_leaving, unreachable_here};
    }
    return cached.host;
}

std::string gateway_selection::find_gateway(const upstream_instance& instance,
                                            bool unreachable_here) const {
    std::vector<gateway_candidate> candidates;
    for (const fleet_peer* peer : m_fleet->live_peers(event_loop::now())) {
        if (!peer->leaving) {
            const auto pool = peer->pools.find(instance.id);
            const bool unreachable = pool != peer->pools.end() && !pool->second.reachable;
            candidates.push_back({peer->host, peer->failure_domain, unreachable, peer->resources});
        }
    }
    if (!m_leaving || candidates.empty()) {
        candidates.push_back(
            {m_host, m_failure_domain, unreachable_here, m_fleet->own_resources()});
    }
    return order_gateways(instance.id, instance.failure_domain, candidates).front();
}

pool_status gateway_selection::status_of(const upstream_instance& instance) const {
    const std::string host = gateway_of(instance);
    if (host == m_host) {
        return m_own_status(instance.id).value_or(pool_status{});
    }
    const fleet_peer* peer = m_fleet->find_live(host);
    if (peer == nullptr) {
        return {};
    }
    const auto found = peer->pools.find(instance.id);
    return found == peer->pools.end() ? pool_status{} : found->second;
}

reachability_votes gateway_selection::reachability_of(const std::string& instance) const {
    reachability_votes votes;
    const auto own = m_own_status(instance);
    votes.unreachable_here = own && !own->reachable;
    votes.unreachable_from =
        m_fleet->unreachable_count(instance) + (votes.unreachable_here ? 1 : 0);
    // Counting hosts is skipped when none reports it unreachable; this is called for every instance
    // many times a second.
    votes.presumed_hosts = votes.unreachable_from == 0
                               ? 0
                               : static_cast<int>(m_fleet->presumed_host_count(event_loop::now()));
    return votes;
}

} // namespace bronzeplank
