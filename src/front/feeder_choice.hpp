#pragma once

#include "front/types.hpp"
#include "kernel/clock.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::front {

/// Selection of the feeder: the host of a zone that watches the store for the others.
///
/// Designed for about a hundred hosts, of which the store rejects a third for ten seconds, or half
/// are killed at once. All hosts of a zone use the same order, most CPU time first, and each polls
/// the first host that it does not avoid. A feeder that does not respond or has no fresh data is
/// avoided for some time. A feeder without fresh data holds the request before it refuses it, so
/// while the store is down for all, a zone moves on to the next host about once a second and is
/// back at the first one when that is no longer avoided. Only a handful of hosts then call the
/// store, not all of them.

using kernel::time_point;

using host_entries = std::map<std::string, host_entry, std::less<>>;
/// Feeders that failed to serve a request, by name, and when each may be polled again.
using avoided_feeders = std::map<std::string, time_point, std::less<>>;

/// How long a feeder is avoided after it failed to serve a request.
inline constexpr milliseconds feeder_avoidance_time{4000};

/// Whether `a` comes before `b` in the common order of a zone's hosts.
[[nodiscard]] bool ranks_before(const host_entry& a, const host_entry& b);

/// The first host of the zone, in the common order, that is not avoided; `nullopt` if that is this
/// host itself.
[[nodiscard]] std::optional<host_entry> first_zone_host(const host_entry& own,
                                                        const host_entries& peers,
                                                        const avoided_feeders& avoided,
                                                        time_point now);

/// The hosts of a zone in the common order.
[[nodiscard]] std::vector<host_entry> ranked_zone_hosts(std::string_view zone,
                                                        const host_entries& peers);

/// Avoids a feeder for some time because it failed to serve a request.
void avoid_feeder(avoided_feeders& avoided, std::string_view name, time_point now);

} // namespace cornelloom::front
