#pragma once

#include "kernel/clock.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace cornelloom::front {

using kernel::time_point;
using std::chrono::milliseconds;

/// Timing of the lease. All times are on a clock that includes suspended time, so that a holder
/// that was suspended sees its lease expire.
struct lease_rules {
    /// Orders may be sent for this long after a renewal was sent.
    milliseconds validity{1500};
    /// Interval between renewals.
    milliseconds renew_interval{1000};
    /// A renewal without an answer by then is sent again, by another path if there is one. Answers
    /// usually take 4 ms, at worst 200 ms.
    milliseconds renewal_timeout{500};
    /// Another host may take over when the holder has not renewed for this long.
    milliseconds takeover_timeout{2500};
    /// Minimum delay between orders of two holders, including a margin for a holder that is
    /// suspended while it sends one.
    milliseconds handover_delay{3300};
};

/// The lease as one host sees it.
struct lease_view {
    std::uint64_t revision = 0; ///< Of the stored object when last read; 0: it doesn't exist.
    std::string holder;         ///< Empty: no holder.
    time_point first_seen{};    ///< When this host first read this revision.
    time_point last_renewal{};  ///< When this host sent its last successful renewal.
    time_point
        orders_allowed_from{}; ///< No orders before: the previous holder's last one may be recent.
    std::uint64_t fence = 0;   ///< Fencing token of this host's orders.
};

/// What a host should do about the lease.
enum class lease_action { none, renew, acquire };

/// Whether this process holds the lease. After a restart the host's name in the record is not
/// enough.
[[nodiscard]] bool is_holder(const lease_view& view, std::string_view self);

/// The action that is due at `now`.
[[nodiscard]] lease_action next_lease_action(const lease_view& view, const lease_rules& rules,
                                             std::string_view self, time_point now);

/// Whether this host sends the orders or may have to within a second or two, because there is no
/// holder or the holder has missed a renewal. It then needs the published versions.
[[nodiscard]] bool may_schedule_soon(const lease_view& view, const lease_rules& rules,
                                     std::string_view self, time_point now);

/// Records a read of the stored object. Older revisions are ignored.
void record_lease_read(lease_view& view, std::uint64_t revision, std::string_view holder,
                       time_point now);

/// Records a successful conditional write of this host, sent at `sent`.
void record_lease_write(lease_view& view, const lease_rules& rules, std::uint64_t revision,
                        std::string_view self, time_point sent);

/// Whether orders may be sent at `now`.
[[nodiscard]] bool may_send_orders(const lease_view& view, const lease_rules& rules,
                                   std::string_view self, time_point now);

} // namespace cornelloom::front
