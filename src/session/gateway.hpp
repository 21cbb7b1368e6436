/// \file
/// All lanes of one host.
#pragma once

#include "session/upstream_lane.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bronzeplank {

/// Runs work at any instance for this host's callers and for other hosts. The preferred gateway
/// of an instance uses most of its connections; any other host falls back on a few of its own
/// when it can reach no gateway.
template <upstream_link Link>
class gateway {
public:
    /// \param find the present entry of an instance; null when it isn't listed
    /// \param limits the limits of a lane to the instance
    /// \param is_primary whether the instance is its group's primary
    /// \param watched whether this host watches the instance although it has no work there
    struct environment {
        std::function<const upstream_instance*(const std::string&)> find;
        std::function<lane_limits(const upstream_instance&)> limits;
        std::function<bool(const std::string&)> watched;
        std::function<bool(const std::string&)> is_primary;
        primary_proof prove;
        /// An instance became reachable or not.
        std::function<void()> reach_changed;
    };

    gateway(event_loop& loop, environment around) : m_loop(loop), m_around(std::move(around)) {
        schedule();
    }

    void run(upstream_work work, answer_handler answered) {
        upstream_lane<Link>* lane = lane_of(work.instance);
        if (lane == nullptr) {
            answered({upstream_result::unsent, {}, {}, {}});
            return;
        }
        lane->run(std::move(work), std::move(answered));
    }

    void end_transaction(const std::string& instance, const transaction_key& key) {
        if (const auto found = m_lanes.find(instance); found != m_lanes.end()) {
            found->second->end_transaction(key);
        }
    }

    void order(const std::string& instance, replication_command what, std::uint64_t term,
               status_handler reported) {
        upstream_lane<Link>* lane = lane_of(instance);
        if (lane == nullptr) {
            reported(std::nullopt);
            return;
        }
        if (what == replication_command::hold) {
            lane->hold_writes(std::move(reported));
        } else {
            lane->order(what, term, std::move(reported));
        }
    }

    /// Calls `visit(lane)` for each lane.
    template <class Visitor>
    void for_each(Visitor visit) const {
        for (const auto& [id, lane] : m_lanes) {
            visit(*lane);
        }
    }

    /// Null when this host has no lane to the instance.
    const upstream_lane<Link>* find(const std::string& instance) const {
        const auto found = m_lanes.find(instance);
        return found == m_lanes.end() ? nullptr : found->second.get();
    }

    /// Opens a lane, so that the instance is probed from this host as well.
    void watch(const std::string& instance) { lane_of(instance); }

    bool busy() const {
        for (const auto& [id, lane] : m_lanes) {
            if (lane->busy()) {
                return true;
            }
        }
        return false;
    }

    std::uint64_t opened() const { return m_opened_before + opened_now(); }

private:
    // Coarse enough to cost little, fine enough for time limits of some hundred milliseconds.
    static constexpr std::chrono::milliseconds tick_period{25};
    // A lane that nothing used for this long is closed, unless it is watched.
    static constexpr std::chrono::seconds unused_lane{2};

    upstream_lane<Link>* lane_of(const std::string& id) {
        const upstream_instance* listed = m_around.find(id);
        const auto found = m_lanes.find(id);
        if (found != m_lanes.end()) {
            return listed == nullptr ? nullptr : found->second.get();
        }
        if (listed == nullptr) {
            return nullptr;
        }
        auto added = std::make_unique<upstream_lane<Link>>(
            m_loop, *listed, m_around.limits(*listed), m_around.prove);
        return m_lanes.emplace(id, std::move(added)).first->second.get();
    }

    void schedule() {
        m_tick = m_loop.after(tick_period, [this] {
            tick();
            schedule();
        });
    }

    void tick() {
        const time_point now = event_loop::now();
        bool changed = false;
        for (auto place = m_lanes.begin(); place != m_lanes.end();) {
            upstream_lane<Link>& lane = *place->second;
            const upstream_instance* listed = m_around.find(place->first);
            const bool moved = listed != nullptr && (listed->address != lane.instance().address ||
                                                     listed->born_ms != lane.instance().born_ms);
            const bool needed =
                m_around.watched(place->first) || lane.busy() || now - lane.used() < unused_lane;
            if (listed == nullptr || moved || !needed) {
                m_opened_before += lane.opened();
                lane.close();
                place = m_lanes.erase(place);
                continue;
            }
            const bool reachable = lane.reachable();
            lane.update(*listed, m_around.limits(*listed));
            if (!m_around.watched(place->first)) {
                // Another host is the gateway now and needs the connections.
                lane.close_idle();
            }
            if (!m_around.is_primary(place->first)) {
                lane.release_writes();
            }
            lane.tick(now, m_around.watched(place->first));
            changed |= reachable != lane.reachable();
            ++place;
        }
        if (changed) {
            m_around.reach_changed();
        }
    }

    std::uint64_t opened_now() const {
        std::uint64_t sum = 0;
        for (const auto& [id, lane] : m_lanes) {
            sum += lane->opened();
        }
        return sum;
    }

    event_loop& m_loop;
    environment m_around;
    std::map<std::string, std::unique_ptr<upstream_lane<Link>>, std::less<>> m_lanes;
    std::uint64_t m_opened_before = 0;
    timer m_tick;
};

} // namespace bronzeplank
