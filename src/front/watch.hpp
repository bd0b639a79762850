#pragma once

#include "front/host.hpp"

#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>

namespace cornelloom::front {

/// Keeps this host's copy of one kind of objects up to date: a list first, then changes, read from
/// a feeder or from the store.

/// A kind of objects to watch, with its callbacks and the state of its watch.
struct watched_kind {
    object_kind kind;
    /// Returns the delay between receiving changes and requesting more.
    std::function<loop::milliseconds()> delay;
    /// Called with all objects after each list.
    std::function<void(std::span<const stored_object>)> on_list;
    std::function<void(std::span<const object_change>)> on_changes;
    /// Whether this host needs the kind now; such a kind is read only from the store. If empty, the
    /// kind is always needed and comes from a feeder if there is one.
    std::function<bool()> is_needed{};
    std::set<std::string, std::less<>> known_names{}; ///< Names of the objects known to this host.
    /// Store revision from which changes are requested; 0: the kind must be listed first. An answer
    /// without changes does not move it: a store whose watches hear nothing for a while states a
    /// revision beyond the changes that it did not report.
    std::uint64_t at = 0;
    bool store_lost = false; ///< The last call to the store got no response from it.
    /// The feeder that last received this host's counts, and the change number of those counts.
    std::string counts_sent_to{};
    std::uint64_t counts_sent = 0;
};

/// Reports an object of a kind that this host can't use. It is passed on as it is: a host of
/// another version may be able to.
void report_unusable(host& self, object_kind kind, const stored_object& object,
                     std::string_view problem);

/// Limits of one object in a list or watch.
[[nodiscard]] kernel::json_limits object_limits(object_kind kind);

/// Delay for kinds whose changes must all be received immediately.
[[nodiscard]] inline loop::milliseconds no_delay() {
    return loop::milliseconds{0};
}

/// Defers the removal of targets because the platform's store is back: it may lack those whose
/// entries expired meanwhile. The deferral ends before the drain bound holds again, one stable
/// window after the last call that had no answer.
void defer_removals(host& self);

/// Keeps the kind up to date until the event loop ends.
void start_watch(const std::shared_ptr<host>& self, watched_kind watched);

/// Lists the kind once. With `may_be_stale`, a replica of the store may serve the list, which may
/// then be seconds old but costs a tenth. Gives up after one call's time: the watch lists again.
loop::task<void> list_once(std::shared_ptr<host> self, watched_kind watched, bool may_be_stale);

} // namespace cornelloom::front
