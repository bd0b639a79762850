#pragma once

#include "front/types.hpp"

#include <cstddef>
#include <cstdint>

namespace cornelloom::front {

/// How many targets may load weights at once.
///
/// Load it is made for: many targets that fetch new weights from one source. What the source
/// carries is not known, and has nothing to do with the number of targets; beyond it all loads slow
/// each other down, and a hundred at once leave every step without fresh targets. The limit starts
/// low, doubles while loads end as soon as a single one does, and falls to what the source carried
/// once they take longer; from then on it creeps up, so that a source that was slow for a while is
/// not held for slow for ever.
struct load_limit {
    double allowed = 2;     ///< Loads that may run at once.
    double shortest_ms = 0; ///< A load that runs alone takes so long; 0: none has been seen.
    double stretch = 1;     ///< Moving mean of how much longer loads take.
    /// The same of loads that began under the present limit: those from before still show what the
    /// limit before has done, and one overload would lower it again and again.
    double stretch_now = 1;
    std::uint64_t lowered = 0; ///< How often the limit has been lowered.
};

/// Loads that may run at once now.
[[nodiscard]] std::size_t loads_at_once(const load_limit& limit);

/// How long a load takes now.
[[nodiscard]] milliseconds usual_load(const load_limit& limit);

/// A load that was seen from its beginning to its end.
struct seen_load {
    milliseconds took{};
    std::size_t together = 1;     ///< Running when it ended, itself included.
    std::uint64_t lowered = 0;    ///< `load_limit::lowered` when it began.
    std::uint64_t stands_for = 1; ///< Loads, of which only this one was seen.
};

void note_load(load_limit& limit, const seen_load& load);

} // namespace cornelloom::front
