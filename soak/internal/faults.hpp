#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace cornelloom::soak {

/// The troubles that a day may bring, each from outside the real programs.
enum class trouble {
    host_killed,
    host_paused,
    host_asked_to_end,
    host_reloaded,
    all_hosts_killed,
    store_way_silent,
    store_way_there_cut,
    store_way_back_cut,
    store_way_slow,
    store_way_reset,
    store_way_old_silent,
    store_refuses,
    store_silent,
    store_slow,
    store_answers_lost,
    store_writes_late,
    store_history_gone,
    store_watches_cut,
    target_crashed,
    target_way_silent,
    target_way_back_cut,
    target_way_reset,
    target_way_old_silent,
    target_slow,
    target_refuses,
    target_answers_lost,
    target_answers_mixed,
    target_orders_late,
    configuration_changed,
    configurations_in_a_row,
    count, ///< Not a trouble: how many there are.
};

[[nodiscard]] std::string_view to_string(trouble what);

struct planned_trouble {
    double at_s = 0; ///< Seconds after the start of the troubles.
    double for_s = 0;
    trouble what = trouble::host_killed;
    std::uint32_t pick = 0; ///< Chooses what it hits.
};

/// The same troubles for the same seed, in the order of time. They come in series and overlap.
[[nodiscard]] std::vector<planned_trouble> draw_troubles(std::uint64_t seed, double length_s);

} // namespace cornelloom::soak
