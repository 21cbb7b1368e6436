#include "bronzeplank/leased_bucket.hpp"

#include <algorithm>

namespace bronzeplank {

namespace {

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

double to_fraction(share_ppm share) {
    return static_cast<double>(share) / whole_share;
}

} // namespace

share_ppm leased_bucket::share_at(time_point at) const {
    share_ppm total = 0;
    for (const auto& item : m_leases) {
        total += at < item.until ? item.share : 0;
    }
    return total;
}

share_ppm leased_bucket::share(time_point now) const {
    return share_at(now);
}

// Adds the tokens of the time up to `until`; no lease may end in between.
void leased_bucket::accrue(time_point until) {
    const double fraction = to_fraction(share_at(m_updated));
    const double capacity = fraction * m_limit.burst;
    const double added = fraction * m_limit.rate * seconds(until - m_updated);
    m_level = std::min(std::min(m_level, capacity) + added, capacity);
    m_updated = until;
}

void leased_bucket::advance(time_point now) {
    if (now <= m_updated) {
        return;
    }
    std::array<time_point, 2> ends{m_leases[0].until, m_leases[1].until};
    std::sort(ends.begin(), ends.end());
    for (const time_point end : ends) {
        if (end > m_updated && end < now) {
            accrue(end);
        }
    }
    accrue(now);
    // A lease that ends at `now` loses its tokens.
    m_level = std::min(m_level, to_fraction(share_at(now)) * m_limit.burst);
}

void leased_bucket::set_limit(rate_limit limit, time_point now) {
    advance(now);
    m_limit = limit;
    m_level = std::min(m_level, to_fraction(share_at(m_updated)) * m_limit.burst);
}

void leased_bucket::set_share(share_account account, share_ppm share, time_point until,
                              time_point now) {
    advance(now);
    m_leases[static_cast<std::size_t>(account)] = {share, until};
    // A larger share adds no tokens: its previous holder may have spent them already.
    m_level = std::min(m_level, to_fraction(share_at(m_updated)) * m_limit.burst);
}

bool leased_bucket::try_take(time_point now) {
    advance(now);
    if (m_level < 1.0) {
        return false;
    }
    m_level -= 1.0;
    return true;
}

std::optional<duration> leased_bucket::time_to_token(time_point now) {
    advance(now);
    const double fraction = to_fraction(share_at(now));
    if (fraction * m_limit.burst < 1.0) {
        return std::nullopt;
    }
    const double wait = std::max(0.0, 1.0 - m_level) / (fraction * m_limit.rate);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait)) + duration(1);
}

} // namespace bronzeplank
