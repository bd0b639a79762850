#pragma once

#include "kernel/clock.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace cornelloom::front {

using kernel::time_point;
using std::chrono::milliseconds;

/// Times of the right to give orders. All points on the time line count suspended time, too: a
/// holder that was suspended must not believe that its right is as young as before.
struct lease_rules {
    /// Orders may leave for so long after a renewal was sent.
    milliseconds valid{1500};
    /// The holder renews so often.
    milliseconds renew_every{1000};
    /// A renewal that has no answer by then is sent again, by another way if there is one. Answers
    /// take 4 ms, and 200 ms on slow days.
    milliseconds answer_most{500};
    /// No sign of the holder for so long, and another host may take over.
    milliseconds silent{2500};
    /// Least pause between orders of two holders, with what a suspended holder may add.
    milliseconds turn{3300};
};

/// What one host knows of the lease.
struct lease_view {
    std::uint64_t revision = 0; ///< Of the object when last seen; 0: it doesn't exist.
    std::string holder;         ///< Empty: nobody.
    time_point seen_first{};    ///< When this revision was first seen here.
    time_point renewed{};       ///< When this host sent its last successful renewal.
    time_point orders_from{};   ///< No order before: the holder before may have given one just now.
    std::uint64_t fence = 0;    ///< Of this host's orders.
};

enum class lease_step { none, renew, take };

/// Whether this process holds the lease: after a restart the own name alone is not enough.
[[nodiscard]] bool holds(const lease_view& view, std::string_view self);

/// What the host should do about the lease now.
[[nodiscard]] lease_step next_step(const lease_view& view, const lease_rules& rules,
                                   std::string_view self, time_point now);

/// Whether this host gives the orders, or may have to within a second or two: nobody holds the
/// lease, or its holder has missed a renewal. It then gets to know what there is to order.
[[nodiscard]] bool may_have_to_order(const lease_view& view, const lease_rules& rules,
                                     std::string_view self, time_point now);

/// The object was read and has this revision.
void note_seen(lease_view& view, std::uint64_t revision, std::string_view holder, time_point now);

/// This host's conditional write succeeded; it was sent at `sent`.
void note_written(lease_view& view, const lease_rules& rules, std::uint64_t revision,
                  std::string_view self, time_point sent);

/// Whether an order may leave now.
[[nodiscard]] bool may_order(const lease_view& view, const lease_rules& rules,
                             std::string_view self, time_point now);

} // namespace cornelloom::front
