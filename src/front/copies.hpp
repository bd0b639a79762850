#pragma once

#include "front/store_request.hpp"
#include "front/types.hpp"
#include "kernel/clock.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cornelloom::front {

struct host;

using kernel::time_point;

/// Where a host last read its copy of the objects of one kind.
enum class copy_source {
    none,   ///< Not read yet.
    store,  ///< From the platform's store.
    relay,  ///< From the platform's store, through a peer.
    feeder, ///< From a host of its zone that watches the store.
};

[[nodiscard]] std::string_view to_string(copy_source source);

/// The age and origin of a host's copy of the objects of one kind.
struct copy_state {
    copy_source source = copy_source::none;
    std::string feeder{};      ///< Name of the feeder, if that is the source.
    time_point source_since{}; ///< When the source last changed.
    /// The copy lacked no change that the store had accepted by then, as a time of `boot_now`;
    /// zero: never confirmed.
    time_point confirmed_at{};
    /// Not before this time does the host read the store itself because its copy is old: it has
    /// just started, or its last such read had no answer. A time of `boot_now`.
    time_point next_read_at{};
    bool overdue = false; ///< It was reported as overdue, and has not been confirmed since.
};

using copy_states = std::map<object_kind, copy_state>;

/// Records where this host reads the kind, before it applies what it has read; logs a change.
void record_source(host& self, object_kind kind, copy_source source, std::string_view feeder = {});

/// Records that this host's copy of the kind lacked no change that the store had accepted by
/// `when`, a time of `boot_now`.
void record_confirmed(host& self, object_kind kind, time_point when);

/// Upper bound of the age of this host's copy; `nullopt` if it was never confirmed.
[[nodiscard]] std::optional<milliseconds> copy_age(const host& self, object_kind kind);

/// Logs the copies that have become overdue, or were confirmed again, and sets their metrics.
void report_copies(host& self);

} // namespace cornelloom::front
