#pragma once

#include "front/types.hpp"
#include "kernel/clock.hpp"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::front {

using kernel::time_point;

/// What this host knows of one target: its entry in the list, and what its own requests have met.
struct target_state {
    target_entry entry;
    int running = 0;           ///< Requests of this host that are at the target now.
    int unstarted = 0;         ///< Items of this host that are at the target and have no event yet.
    double latency_ms = 0;     ///< Moving mean of plain requests; 0: none yet.
    double pace_ms = 0;        ///< Moving mean between two events of a stream; 0: none yet.
    double steady_pace_ms = 0; ///< The same over hundreds of events, leaving out troubled times.
    int paced_events = 0;      ///< That `steady_pace_ms` has counted, up to a bound.
    double fault_share = 0;    ///< Moving share of requests that failed without an answer.
    int faults_in_a_row = 0;
    time_point avoid_until{};   ///< Chosen only when all others are avoided, too.
    time_point leaving_since{}; ///< When it was first seen as draining; zero: it isn't.
    /// Models whose load makes the target refuse their requests, and until when that is assumed.
    std::map<std::string, time_point, std::less<>> loading_until;
};

/// All targets, by id.
struct target_table {
    std::map<std::string, target_state, std::less<>> by_id;
    /// The platform's list may lack living targets until then: it was out of reach, and heartbeats
    /// lapsed meanwhile. Entries that vanish before are kept for so long.
    time_point trust_removals_from{};
    std::map<std::string, time_point, std::less<>> vanished; ///< Kept though the list lacks them.
};

/// How long after the platform's return a living target's entry may still be missing: it is back
/// within two seconds, says the platform; a quarter of a second for the way of the news.
inline constexpr milliseconds lapsed_entry_grace{2250};

/// A target whose last request failed is left alone for this long, doubled for each further failure
/// in a row: one round trip between regions at least, and a crashed process is back after seconds.
inline constexpr milliseconds first_avoidance{250};
inline constexpr milliseconds longest_avoidance{4000};
/// A target that was full is asked again once a usual plain request may have ended.
inline constexpr milliseconds full_avoidance{60};

void put_target(target_table& table, target_entry entry, time_point now);
void remove_target(target_table& table, std::string_view id, time_point now);
/// Makes the table hold just these.
void replace_targets(target_table& table, std::vector<target_entry> all, time_point now);
/// The platform is back after it was out of reach.
void note_return(target_table& table, time_point now);
/// Whether entries that vanished together have lapsed with the store out of reach, rather than been
/// taken away by their targets. `since_trouble`: since a call to the store last failed; `calm`:
/// without trouble for so long, what the list says binds at once.
///
/// Load it is made for: a service that shrinks takes several targets away within a moment, and all
/// targets vanish within a moment when their heartbeats could not be stored. To keep the first kind
/// sends work to targets that have left; not to keep the second refuses everything for seconds.
[[nodiscard]] bool have_lapsed(std::size_t vanished, milliseconds since_trouble, milliseconds calm);
/// Removes entries whose time of grace is over.
void expire_vanished(target_table& table, time_point now);

void note_answer(target_state& target, double latency_ms);
void note_fault(target_state& target, time_point now);
void note_full(target_state& target, time_point now);
void note_event_gap(target_state& target, double gap_ms);

/// What an event is expected to take at the target; 0: unknown.
///
/// Targets differ by a third for good, which a mean of ten events can't tell from chance: texts
/// would be moved to and fro. They also turn several times slower within a moment. So the steady
/// pace counts, unless the newest events are far off it.
[[nodiscard]] double likely_pace(const target_state& target);

/// Extra time that a request needs to a target, by where it is.
struct distance {
    std::uint64_t salt = 0; ///< Of this host: hosts that know the same choose different targets.
    std::string_view zone;
    const std::map<std::string, std::string, std::less<>>* region_of_zone = nullptr;
};

/// Round trips between two regions, in milliseconds.
inline constexpr double between_regions_ms = 40;
/// Round trips between two zones of a region, in milliseconds.
inline constexpr double between_zones_ms = 3;

/// Differs by host and target: 0 to this many milliseconds, less than a zone's distance.
inline constexpr double spread_ms = 2;
[[nodiscard]] double spread(const distance& from, std::string_view target_id);

[[nodiscard]] double distance_ms(const distance& from, std::string_view zone);

/// The target that is expected to answer a plain request soonest, or null.
///
/// Load it is made for: short requests of 25 to 200 ms on services with 6 slots a target. Expected
/// time = usual latency, stretched by this host's own requests there, plus the distance, plus what
/// its failures have cost of late. It prevents queues at one target while others are free, and
/// keeps a target that fails part of its requests while it looks healthy at the end of the line.
[[nodiscard]] target_state* choose_plain(target_table& table, std::string_view service,
                                         const distance& from,
                                         const std::set<std::string, std::less<>>& excluded,
                                         time_point now);

} // namespace cornelloom::front
