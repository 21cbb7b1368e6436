// Sample 3: drive a promotion, whose actions are performed by the embedding program.
#include "bronzeplank/promotion.hpp"

#include <deque>
#include <fmt/format.h>

int main() {
    using namespace bronzeplank;
    using kind = promotion_action::kind;
    const group_record agreed{4, "host-9", 4, "a"};
    promotion decisions({12, agreed}, {"a", "b", "c"}, "host-1");
    std::deque<promotion_action> waiting;
    const auto add = [&waiting](const std::vector<promotion_action>& actions) {
        waiting.insert(waiting.end(), actions.begin(), actions.end());
    };
    add(decisions.start());
    while (!waiting.empty() && !decisions.finished()) {
        const promotion_action action = waiting.front();
        waiting.pop_front();
        const bool down = action.upstream == "a";
        std::optional<detach_report> report;
        if (action.what == kind::detach && !down) {
            const std::uint64_t offset = action.upstream == "b" ? 700 : 900;
            report = detach_report{action.upstream, {4, offset}, true, false};
        }
        if (down) {
            // A real driver would retry the command; this instance never answers.
            continue;
        }
        add(decisions.on_result(action, action_result::done, report, action.version + 1));
    }
    fmt::print("term {}: primary {}\n", decisions.term(), decisions.candidate());
}
