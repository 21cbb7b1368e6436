/// \file
/// A host's part of a workspace's rate, which follows where the demand is.
#pragma once

#include "bronzeplank/time.hpp"

#include <cstddef>

namespace bronzeplank {

/// Counts one workspace's operations on one host, and admits them within the host's part of the
/// workspace's rate and burst. The part is this host's share of the demand of all hosts, of which
/// `even` is divided evenly, so that a host at which demand begins has something to spend before
/// the others know. Hosts that are not heard may spend their part, so that those that hear each
/// other divide only theirs: the parts of all hosts add up to one while their views agree, also
/// when they are cut off from each other.
/// Usage: `share.set_view(others, heard, known); if (share.admit(now, rate, burst)) ...`
class demand_share {
public:
    /// \param others_demand operations a second at the other hosts that are heard
    /// \param heard the hosts that are heard, this one included
    /// \param known all hosts that may be spending parts of the rate
    void set_view(double others_demand, std::size_t heard, std::size_t known);

    /// Takes one operation out of the host's part; false when there is none left.
    bool admit(time_point now, double rate_per_second, double burst);

    /// This host's demand, admitted or not, in operations a second.
    double demand(time_point now) const;

    /// This host's part of the whole, 0 to 1.
    double part(time_point now) const;

private:
    double m_others = 0;
    double m_heard = 1;
    double m_known = 1;
    double m_demand = 0;
    double m_tokens = -1;
    time_point m_counted{};
    time_point m_filled{};
};

} // namespace bronzeplank
