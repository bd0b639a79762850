#pragma once

#include "front/types.hpp"
#include "kernel/clock.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::front {

/// Which host of a zone reads the store's news for the others.
///
/// Load it is made for: some hundred hosts, of which a third is turned away by the store for ten
/// seconds, or half is killed at once. The hosts of a zone agree on an order, the one with the most
/// processor time first, and each asks the first one that it does not avoid. A feeder that is
/// silent, or has no fresh news, is avoided for a while. One that has none holds the question
/// before it says so; so while the store is away for all, a zone turns to the next host once a
/// second and is back at the first one after the avoidance: a handful of hosts try the store, not
/// all of them.

using kernel::time_point;

using host_entries = std::map<std::string, host_entry, std::less<>>;
/// Feeders that did not serve a question, and until when they are not asked.
using avoided_feeders = std::map<std::string, time_point, std::less<>>;

/// How long a feeder is avoided.
inline constexpr milliseconds feeder_avoidance{4000};

/// The first host of the zone, in the order that all agree on, that is not avoided; nothing if that
/// is this host itself.
[[nodiscard]] std::optional<host_entry> first_of_zone(const host_entry& own,
                                                      const host_entries& peers,
                                                      const avoided_feeders& avoided,
                                                      time_point now);

/// The hosts of a zone in that order.
[[nodiscard]] std::vector<host_entry> order_of_zone(std::string_view zone,
                                                    const host_entries& peers);

/// Takes note of a feeder that did not serve a question.
void avoid_feeder(avoided_feeders& avoided, std::string_view name, time_point now);

} // namespace cornelloom::front
