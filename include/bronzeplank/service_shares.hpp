/// \file
/// The service that competing flows have received, for fair queueing.
#pragma once

#include <algorithm>
#include <map>

namespace bronzeplank {

/// The service of each flow, divided by its weight, as in start-time fair queueing (Goyal, Vin and
/// Cheng, 1996). A flow that had nothing to run starts at the level of the least served flow that
/// competes, so that it neither saves up service nor pays for what it used without competition.
/// Usage: `shares.raise_floor(least); shares.charge(flow, cost / weight);`
template <class Flow>
class service_shares {
public:
    double served(const Flow& flow) const {
        const auto found = m_ahead.find(flow);
        return found == m_ahead.end() ? m_floor : found->second;
    }

    void charge(const Flow& flow, double normalized_cost) {
        m_ahead[flow] = served(flow) + normalized_cost;
    }

    /// Sets the level of the least served flow that competes.
    void raise_floor(double least) {
        m_floor = std::max(m_floor, least);
        std::erase_if(m_ahead, [this](const auto& entry) { return entry.second <= m_floor; });
    }

    /// Forgets all service; called when no flow competes any more.
    void clear() { m_ahead.clear(); }

private:
    // Flows that have received more than the floor.
    std::map<Flow, double> m_ahead;
    double m_floor = 0;
};

} // namespace bronzeplank
