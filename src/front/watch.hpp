#pragma once

#include "front/host.hpp"

#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>

namespace cornelloom::front {

/// Keeping up with one kind of objects: a list, then changes, from a feeder or from the store.

/// One kind of objects and what its changes mean.
struct followed {
    object_kind kind;
    /// After changes, before more of them are asked for.
    std::function<loop::milliseconds()> pause;
    std::function<void(std::span<const stored_object>)> replace;
    std::function<void(std::span<const object_change>)> change;
    /// Whether this host needs the kind now; such a kind is read from the store itself. Empty: it
    /// always does, and asks a feeder if there is one.
    std::function<bool()> wanted{};
    std::set<std::string, std::less<>> names{}; ///< Of the objects that this host knows.
    std::uint64_t at = 0; ///< Changes from this revision on are still to come; 0: list first.
    bool out_of_touch = false;
    /// The feeder that was told this host's counts, and how many changes these had had.
    std::string told_to{};
    std::uint64_t told = 0;
};

/// For kinds whose every change matters at once.
[[nodiscard]] inline loop::milliseconds no_pause() {
    return loop::milliseconds{0};
}

/// How long a waiting call for changes of this kind waits at the store.
///
/// Failure it is made for: the answer of a waiting call is lost, and its connection stays open and
/// says nothing more. Probes of the connection succeed, and no other call need fail, so this host
/// goes on with what it knew: it refuses new routes and sends work to targets that have left. Such
/// a call must be over, and the kind listed anew, before the time bounds hold again after the
/// trouble that lost the answer. Where keys are taken away strictly, what is known of the
/// configuration must also be proved anew, at every host, well within that bound.
[[nodiscard]] loop::milliseconds watch_wait(object_kind kind, const host_settings& settings);

/// Follows the kind until the loop ends.
void start_watch(const std::shared_ptr<host>& self, followed one);

/// Reads the list once. As some copy of the store has it, it may be seconds old, and costs a tenth.
loop::task<void> look_once(std::shared_ptr<host> self, followed one, bool may_be_stale);

} // namespace cornelloom::front
