#pragma once

#include "front/types.hpp"

#include <cstddef>
#include <cstdint>

namespace cornelloom::front {

/// An adaptive limit for the number of targets that load weights at once.
///
/// Designed for many targets that fetch new weights from one source. The capacity of the source is
/// unknown and independent of the number of targets. Beyond it, all loads slow each other down, and
/// a hundred at once leave every step without targets that have the new weights. The limit starts
/// low and doubles as long as loads take no longer than a single one does. Once they take longer,
/// it drops to the capacity seen and then grows slowly, so that a source that was slow for a while
/// can be used fully again.
struct load_limit {
    double max_loads = 2;   ///< Loads that may run at once.
    double shortest_ms = 0; ///< Duration of a load that runs alone; 0: no load has been seen.
    double slowdown = 1;    ///< Moving mean of the slowdown: duration / shortest duration.
    /// The same for loads that started since the limit was last lowered. Older loads still show the
    /// effect of the former limit; with them, a single overload would lower the limit repeatedly.
    double current_slowdown = 1;
    std::uint64_t times_lowered = 0; ///< How often the limit has been lowered.
};

/// The number of loads that may run at once now.
[[nodiscard]] std::size_t max_concurrent_loads(const load_limit& limit);

/// The expected duration of a load at present.
[[nodiscard]] milliseconds expected_load_duration(const load_limit& limit);

/// A finished load whose start and end were observed.
struct observed_load {
    milliseconds duration{};
    std::size_t concurrent = 1;          ///< Loads running when it finished, including itself.
    std::uint64_t lowered = 0;           ///< `load_limit::times_lowered` when it started.
    std::uint64_t represented_loads = 1; ///< Number of loads that this one is a sample of.
};

/// Updates the limit with a finished load.
void record_load(load_limit& limit, const observed_load& load);

} // namespace cornelloom::front
