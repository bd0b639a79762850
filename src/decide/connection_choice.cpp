#include "decide/connection_choice.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <limits>

namespace cornelloom::decide {

std::size_t choose_connection(std::span<const connection_candidate> candidates,
                              const connection_policy& policy) {
    const auto best =
        std::ranges::min_element(candidates, std::less{}, &connection_candidate::expected_ms);
    if (best == candidates.end()) {
        return candidates.size();
    }
    const auto open_ms = [](const connection_candidate& each) {
        return each.has_idle_connection ? each.expected_ms
                                        : std::numeric_limits<double>::infinity();
    };
    const auto open = std::ranges::min_element(candidates, std::less{}, open_ms);
    const double tolerated = best->expected_ms * (1 + policy.tolerated_share) + policy.tolerated_ms;
    const auto chosen = open_ms(*open) <= tolerated ? open : best;
    return static_cast<std::size_t>(std::distance(candidates.begin(), chosen));
}

} // namespace cornelloom::decide
