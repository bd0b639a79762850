#include "soak/internal/faults.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace cornelloom::soak {

namespace {

constexpr auto kinds = static_cast<std::size_t>(trouble::count);

constexpr std::array<std::string_view, kinds> trouble_names{
    "host_killed",           "host_paused",
    "host_asked_to_end",     "host_reloaded",
    "all_hosts_killed",      "store_way_silent",
    "store_way_there_cut",   "store_way_back_cut",
    "store_way_slow",        "store_way_reset",
    "store_way_old_silent",  "store_refuses",
    "store_silent",          "store_slow",
    "store_answers_lost",    "store_writes_late",
    "store_history_gone",    "store_watches_cut",
    "target_crashed",        "target_way_silent",
    "target_way_back_cut",   "target_way_reset",
    "target_way_old_silent", "target_slow",
    "target_refuses",        "target_answers_lost",
    "target_answers_mixed",  "target_orders_late",
    "configuration_changed", "configurations_in_a_row"};

/// Pause between two troubles, in seconds: short enough that they overlap, as troubles last up to
/// `longest_s`.
constexpr double mean_pause_s = 0.8;
constexpr double shortest_s = 0.3;
constexpr double longest_s = 4;
/// One trouble in so many comes again a moment later, as a process that fails in a loop does.
constexpr int again_one_in = 4;
constexpr double again_after_s = 0.4;

} // namespace

std::string_view to_string(trouble what) {
    return trouble_names.at(static_cast<std::size_t>(what));
}

std::vector<planned_trouble> draw_troubles(std::uint64_t seed, double length_s) {
    std::mt19937_64 random(seed);
    // Distributions of the standard library differ between its versions; these don't.
    const auto uniform = [&random] { return static_cast<double>(random() >> 11U) * 0x1.0p-53; };
    std::vector<planned_trouble> out;
    for (double at = uniform(); at < length_s; at += 2 * mean_pause_s * uniform()) {
        planned_trouble one;
        one.at_s = at;
        one.for_s = shortest_s + uniform() * (longest_s - shortest_s);
        one.what = static_cast<trouble>(random() % kinds);
        one.pick = static_cast<std::uint32_t>(random());
        out.push_back(one);
        if (random() % again_one_in == 0) {
            one.at_s += one.for_s + again_after_s;
            out.push_back(one);
        }
    }
    std::ranges::stable_sort(out, {}, &planned_trouble::at_s);
    return out;
}

} // namespace cornelloom::soak
