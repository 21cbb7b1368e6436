#include "bronzeplank/acknowledged_writes.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bronzeplank {

// The limit is by term: the commits of a new term must not displace those that it may lack.
void acknowledged_writes::record(acknowledged_write write) {
    auto& writes = m_terms[write.position.term];
    writes.push_back(std::move(write));
    if (writes.size() > kept_per_term) {
        writes.pop_front();
    }
    if (m_terms.size() > kept_terms) {
        m_terms.erase(m_terms.begin());
    }
}

std::vector<acknowledged_write> acknowledged_writes::missing_from(const term_beginning& beginning,
                                                                  time_point now) const {
    std::vector<acknowledged_write> missing;
    const auto end = m_terms.lower_bound(beginning.primary.term);
    for (auto writes = m_terms.begin(); writes != end; ++writes) {
        std::copy_if(writes->second.begin(), writes->second.end(), std::back_inserter(missing),
                     [&](const acknowledged_write& write) {
                         return write.position > beginning.first_position &&
                                now - write.acknowledged_at <= retention;
                     });
    }
    return missing;
}

} // namespace bronzeplank
