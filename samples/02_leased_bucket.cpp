// Sample 2: divide a fleet-wide rate among hosts by leased shares.
#include "bronzeplank/share_ledger.hpp"

#include <fmt/format.h>

int main() {
    using namespace bronzeplank;
    const time_point start{std::chrono::hours(1)};
    const std::map<std::string, rate_limit> limits{{"desk", {100, 50}}};
    share_holder holder("host-1", share_policy());
    holder.observe({}, 0, start);
    // The ledger that this host proposes; a program would write it by conditional update.
    const auto proposal = holder.propose({{"desk", 20.0}}, limits, start);
    holder.record_sent(*proposal, start);
    holder.record_accepted(1, start);
    leased_bucket bucket(limits.at("desk"), start);
    const auto held = holder.held(share_account::extra);
    bucket.set_share(share_account::extra, held.shares.at("desk"), held.until, start);
    const time_point later = start + std::chrono::seconds(1);
    int spent = 0;
    while (bucket.try_take(later)) {
        ++spent;
    }
    fmt::print("{} requests after one second under {} ppm of 100 a second\n", spent,
               held.shares.at("desk"));
}
