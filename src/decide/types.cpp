#include "decide/types.hpp"

#include <array>

namespace cornelloom::decide {

std::string_view to_string(priority_class priority) {
    constexpr std::array<std::string_view, priority_class_count> names{"interactive", "rollout",
                                                                       "background"};
    return names.at(index_of(priority));
}

std::string_view to_string(dispatch_kind kind) {
    constexpr std::array<std::string_view, 4> names{"first", "retry", "resume", "hedge"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string_view to_string(retry_reason reason) {
    constexpr std::array<std::string_view, 9> names{"none",   "not_sent",  "overloaded",
                                                    "broken", "crashed",   "timed_out",
                                                    "stale",  "straggler", "interrupted"};
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace cornelloom::decide
