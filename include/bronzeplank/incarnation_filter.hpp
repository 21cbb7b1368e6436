/// \file
/// Rejects messages from earlier incarnations of a peer.
#pragma once

#include "bronzeplank/delay_estimator.hpp"

#include <cstdint>
#include <optional>
#include <set>

namespace bronzeplank {

/// Tracks which incarnations of one peer's process have ended, because messages that a network
/// partition held back can arrive after the peer has restarted. Incarnation numbers have no order:
/// the current incarnation is the one of the last message whose incarnation had not ended.
/// Usage: `const auto delay = filter.excess_delay(incarnation, sent, received); if (!delay)
/// drop();`
class incarnation_filter {
public:
    /// The message's excess delay; nothing when it comes from an incarnation that has ended.
    /// \param sent on the peer's clock
    std::optional<duration> excess_delay(std::uint32_t incarnation, time_point sent,
                                         time_point received);

    /// Makes this the current incarnation, as known from another source than the peer's messages;
    /// false if it has ended.
    bool begin(std::uint32_t incarnation);

    bool has_ended(std::uint32_t incarnation) const { return m_ended.contains(incarnation); }

    /// The delays of the messages of the current incarnation.
    delay_estimator& delays() { return m_delay; }

private:
    // Covers the incarnations whose messages a partition or a slow connection may still deliver.
    static constexpr std::size_t max_ended_incarnations = 8;

    std::uint32_t m_current = 0;
    std::set<std::uint32_t> m_ended;
    delay_estimator m_delay;
};

} // namespace bronzeplank
