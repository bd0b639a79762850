#pragma once

/// The rules by which deltas change the table of members and items.

#include "coord/internal/membership_wire.hpp"
#include "coord/membership.hpp"

namespace cornelloom::coord::internal {

/// Whether what is merged is news from gossip or a copy of somebody's table.
enum class delta_source { news, table };

/// Puts a change at the head of what is told to others.
void enqueue(membership& state, delta_kind kind, item_key key);
void enqueue_member(membership& state, delta_kind kind, const kernel::host_id& host);

void merge(membership& state, const member_delta& delta, delta_source source,
           membership_effects& out, kernel::time_point now);
void merge(membership& state, const gossip_item& item, membership_effects& out,
           kernel::time_point now);

/// The probe of a member failed here, or `accuser` says that it failed there.
void accuse(membership& state, member& suspect, const kernel::host_id& accuser,
            membership_effects& out, kernel::time_point now);

/// Suspects whose time is over become dead; items and long-dead members are forgotten.
void expire(membership& state, membership_effects& out, kernel::time_point now);

/// A suspect or dead self is refuted by a higher incarnation.
void refute(membership& state, std::uint64_t accused_incarnation);

[[nodiscard]] member_delta delta_of(const member& entry, delta_kind kind);
[[nodiscard]] std::size_t live_count(const membership& state);
/// The same at hosts that know the same; suspicion is left out, since it passes.
[[nodiscard]] std::uint64_t table_hash(const membership& state, kernel::time_point now);

[[nodiscard]] constexpr bool is_live(member_state state) {
    return state == member_state::alive || state == member_state::suspect;
}

} // namespace cornelloom::coord::internal
