#pragma once

/// Leases kept in one platform object each, with fencing numbers. The guarantee: at most one
/// holder at a time believes that it holds the lease, as long as no clock runs faster or slower
/// than another by more than `margin` over one `term`. The fencing number grows with each change of
/// holder and protects targets that check it even when clocks misbehave.

#include "coord/platform.hpp"
#include "kernel/clock.hpp"
#include "kernel/identifiers.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cornelloom::coord {

/// Terms suit a platform that answers in milliseconds and is throttled at times: several renewals
/// fit into a term, so that one lost answer does not cost the lease.
struct lease_settings {
    object_key key;
    kernel::host_id self;
    std::string session; ///< Differs in each start of a process, so that a restart is a new holder.
    kernel::duration term = std::chrono::seconds{12};
    kernel::duration margin = std::chrono::seconds{2}; ///< Clock drift and scheduling, both sides.
    kernel::duration renew_every = std::chrono::seconds{4};
    kernel::duration poll_every = std::chrono::seconds{4}; ///< How often a waiting host looks.
    backoff_settings retry{};
};

/// The value of the platform object. Readable by operators.
struct lease_record {
    kernel::host_id holder;
    std::string session;
    std::uint64_t fence = 0;
    std::uint64_t beat =
        0; ///< Grows with each renewal: shows a waiting host that the holder lives.
    std::int64_t term_ms = 0;
    bool released = false;
    bool operator==(const lease_record&) const = default;
};

[[nodiscard]] std::string encode(const lease_record& record);
/// Nothing when the text is not a lease record.
[[nodiscard]] std::optional<lease_record> decode_lease(std::string_view text);

enum class lease_role {
    idle,    ///< Does not want the lease.
    waiting, ///< Wants it; another host may hold it.
    held,
    leaving, ///< Gives it back.
};

/// The call that the machine waits for; at most one at a time.
struct lease_pending {
    std::uint64_t token = 0;
    bool write = false;
    kernel::time_point sent{};
    lease_record written{};
    std::uint64_t expected = 0;
};

/// What this host last read, and when it first saw that content.
struct lease_sighting {
    lease_record record;
    std::uint64_t version = 0;
    kernel::time_point first_seen{};
};

/// The state of one lease at one host.
struct lease {
    lease_settings settings;
    lease_role role = lease_role::idle;
    std::uint64_t fence = 0;          ///< While held.
    kernel::time_point valid_until{}; ///< While held: no orders at or after this time.
    std::uint64_t version = 0;        ///< Of the platform object, as last known.
    lease_record mine{};              ///< As last written by this host.
    std::optional<lease_sighting> seen;
    std::optional<lease_pending> pending;
    /// A write whose answer was lost; it may still take effect.
    std::optional<lease_pending> in_doubt;
    kernel::time_point next_action{};
    unsigned failures = 0;
    std::uint64_t next_token = 1;
};

/// The host wants the lease.
struct lease_wanted {};

/// The host gives the lease back, for instance on shutdown. It must have stopped its orders.
struct lease_given_back {};

/// Time passed; to be sent at `lease_effects::next` or earlier.
struct lease_tick {};

using lease_event = std::variant<lease_wanted, lease_given_back, lease_tick, platform_answer>;

enum class lease_change { none, acquired, lost, released };

struct lease_effects {
    std::vector<platform_call> calls;
    lease_change change = lease_change::none;
    kernel::time_point next{}; ///< When to tick at the latest.
};

[[nodiscard]] lease make_lease(lease_settings settings);

[[nodiscard]] lease_effects step(lease& state, const lease_event& event, kernel::time_point now);

/// Whether an order may be sent now: held, and the term counted from before the last confirmed
/// renewal was sent, less the margin, has not passed. Call it directly before each order; a
/// paused holder that wakes finds its term over before it finds anything else out.
[[nodiscard]] bool may_order(const lease& state, kernel::time_point now);

/// Whether an order that runs for at most `work` still ends inside the term.
[[nodiscard]] bool may_order_for(const lease& state, kernel::duration work, kernel::time_point now);

/// How long a new holder waits before its first order to a target that ignores fencing numbers:
/// the old holder's last order was sent inside its term and has a deadline of its own.
[[nodiscard]] kernel::duration settle_time(const lease_settings& settings,
                                           kernel::duration order_deadline);

/// The check of a target: refuses what an older holder sends.
[[nodiscard]] constexpr bool accepts_fence(std::uint64_t highest_seen, std::uint64_t fence) {
    return fence >= highest_seen;
}

} // namespace cornelloom::coord
