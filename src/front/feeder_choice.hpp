#pragma once

#include "front/types.hpp"
#include "kernel/clock.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cornelloom::front {

/// Which host of a zone reads the store's news for the others.
///
/// Load it is made for: some hundred hosts, of which a third is turned away by the store for ten
/// seconds, or half is killed at once. The hosts of a zone agree on an order, the one with the most
/// processor time first, and each asks the first one that it does not avoid. A feeder that is
/// silent is avoided, and so is the first that has no answer of the store. When a second one has
/// none either, the store itself is away: asking a third would only add one more host to those that
/// try it, so the hosts wait for these two.

using kernel::time_point;

/// A feeder that did not serve a question, and until when it is not asked.
struct avoided_feeder {
    time_point until{};
    bool out_of_touch = false; ///< It answered, but has heard nothing of the store lately.
};

using host_entries = std::map<std::string, host_entry, std::less<>>;
using avoided_feeders = std::map<std::string, avoided_feeder, std::less<>>;

/// How long a feeder is avoided.
inline constexpr milliseconds feeder_avoidance{4000};

/// The first host of the zone, in the order that all agree on, that is not avoided; nothing if that
/// is this host itself.
[[nodiscard]] std::optional<host_entry> first_of_zone(const host_entry& own,
                                                      const host_entries& peers,
                                                      const avoided_feeders& avoided,
                                                      time_point now);

/// Takes note of a feeder that did not serve a question. False if the host should rather wait: the
/// feeder is out of touch, and so was another one.
[[nodiscard]] bool avoid_feeder(avoided_feeders& avoided, std::string_view name, bool out_of_touch,
                                time_point now);

} // namespace cornelloom::front
