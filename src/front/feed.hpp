#pragma once

#include "front/host.hpp"
#include "loop/listener.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cornelloom::front {

/// Distributes updates from the platform's store to the hosts of a zone.
///
/// With sixty or more hosts, a store watch per host would be the largest daily cost, because the
/// store charges for every call, long polls included. So one host of each zone, the feeder, watches
/// the store, and the others poll it over connections inside the zone. The feeder is the host
/// with the largest CPU share; among equals, the first by name. It is no single point of failure:
/// when it does not respond, or its own copy is too old, the next host in this order starts to
/// watch on the first request, and the others switch to it.

/// Timeout of a request for the full list. A feeder needs up to this long to send a thousand or
/// more targets to dozens of hosts, and hosts that time out midway would all request it again.
inline constexpr milliseconds feed_list_timeout{4000};

/// How long a feeder holds a poll that has no updates yet. A suspended feeder is detected when a
/// poll times out, which is after this time and a margin.
inline constexpr milliseconds feed_poll_wait{900};

/// The feeder to poll now; `nullopt` if this host has to watch the store itself.
[[nodiscard]] std::optional<host_entry> choose_feeder(host& self, object_kind kind);

/// Whether this host watches the store itself for at least one kind of objects.
[[nodiscard]] bool watches_store(const host& self);

/// Records whether this host watches the store for the kind. What it cached when it watched before
/// is older than its copy, which feeders have confirmed since, so it is not served again.
void set_watching(feed_cache& cache, bool watching);

/// Replaces the cached objects of one kind by a full list, read at revision `as_of`. Hosts that are
/// at an earlier revision get what the list changed.
void cache_list(host& self, object_kind kind, const std::vector<stored_object>& all,
                std::uint64_t as_of);
/// Applies changes up to revision `as_of` to the cached objects of one kind.
void cache_changes(host& self, object_kind kind, const std::vector<object_change>& changes,
                   std::uint64_t as_of);

/// Response status of a feeder whose own data may be stale.
inline constexpr int status_stale = 503;

/// URL path of feed requests.
inline constexpr std::string_view feed_path = "/feed";

/// A feeder answers a poll without changes at once when its copy is newer than that of the host
/// that asks by more than this: the time that the request was under way also makes it newer.
inline constexpr milliseconds min_age_gain{100};

/// Builds a request for the changes after revision `since`; 0 requests the full list. `age`: of
/// this host's copy.
[[nodiscard]] transport::http_request make_feed_request(object_kind kind, std::uint64_t since,
                                                        std::optional<milliseconds> age = {});

/// Attaches this process's request counts. Feeders hold the counts of their zone, so the counts of
/// a killed process are not lost and need no separate call.
void attach_counts(host& self, transport::http_request& poll_request);

/// Response of a feeder: the full list if that was requested, otherwise changes.
struct feed_response {
    std::uint64_t at = 0; ///< Store revision up to which the response is complete.
    std::vector<object_change> changes;
    /// Names of all existing objects; any other object is deleted. If absent, `changes` contains
    /// the deletions.
    std::optional<std::vector<std::string>> names{};
    bool partial = false;    ///< More changes follow, from `at` on.
    std::size_t unnamed = 0; ///< Changes that can't be read.
};

/// States in a response from when the data are, as the time since the request arrived; negative:
/// from before it arrived.
void state_as_of(transport::http_response& response, milliseconds since_arrival);
/// What a response states; `nullopt` if the feeder does not know it. The time since the request was
/// sent is at least as long, so both hosts need no common clock.
[[nodiscard]] std::optional<milliseconds>
stated_as_of(const std::vector<transport::http_header>& headers);

/// The updates for a host that is current up to revision `since`. A large update is split: the host
/// requests the rest from the `at` of the response.
[[nodiscard]] feed_response updates_since(const feed_cache& cache, std::uint64_t since);

/// Returns the encoded updates after `since`, encoded once for all hosts at that revision: many
/// hosts start, or lose their feeder, at the same time. The reference is valid until the cache
/// changes or updates for another revision are encoded.
[[nodiscard]] const std::string& encode_updates_once(feed_cache& cache, std::uint64_t since);

/// The changes that make the known objects those that were listed.
[[nodiscard]] std::vector<object_change>
find_differences(const std::map<std::string, stored_object, std::less<>>& known,
                 const std::map<std::string, stored_object, std::less<>>& listed);

/// Deletions for all known objects that are not among `names`.
[[nodiscard]] std::vector<object_change>
find_deletions(const std::set<std::string, std::less<>>& known,
               const std::vector<std::string>& names);

[[nodiscard]] std::string encode_feed_response(const feed_response& response);
/// An object beyond the limits, or that can't be read, costs no other object.
[[nodiscard]] kernel::result<feed_response>
decode_feed_response(std::string_view body, const kernel::json_limits& limits = {});

/// Handles a feed request; holds it for up to `feed_poll_wait` while there are no updates.
loop::task<void> serve_feed(std::shared_ptr<host> self, loop::served_request& request);

} // namespace cornelloom::front
