/// \file
/// Which messages of a peer still count.
#pragma once

#include "bronzeplank/delay_estimator.hpp"

#include <cstdint>
#include <optional>
#include <set>

namespace bronzeplank {

/// Remembers which starts of a peer's process are over: what a cut has held back may arrive after
/// the peer has started again. The peer's starts are told apart by numbers without an order; the
/// one heard last that is not known to be over is the present one.
class message_source {
public:
    /// How late the message is; nothing when an earlier start of the peer had sent it.
    /// \param sent on the peer's clock
    std::optional<duration> lateness(std::uint32_t incarnation, time_point sent,
                                     time_point received);

private:
    // Enough to recognize what a cut or a slow connection may still bring.
    static constexpr std::size_t remembered = 8;

    std::uint32_t m_present = 0;
    std::set<std::uint32_t> m_over;
    peer_clock m_clock;
};

} // namespace bronzeplank
