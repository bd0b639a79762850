#pragma once

#include "rollout/step.hpp"

#include <cstddef>

namespace cornelloom::rollout {

/// A sample as it passes between hosts. Not `whole`: the text so far of a running attempt, which
/// the new owner resumes from.
struct held_sample {
    slot_index slot = 0;
    sample_ptr body;
    std::optional<double> score;
    bool whole = true;
};

/// From a step's owner to a replica host: keep this until it is released or expires.
struct hold_request {
    step_key key;
    owner_epoch epoch = 0;
    kernel::wall_time expires;
    token_account account; ///< Of the owner, at the time of sending.
    held_sample sample;
};

enum class hold_outcome {
    held,
    full,    ///< No memory left; ask another host.
    deposed, ///< A newer owner has asked this host: the sender must stop.
};

struct hold_answer {
    hold_outcome outcome = hold_outcome::held;
    owner_epoch epoch = 0; ///< Largest epoch that this host has seen for the step.
};

/// The trainer has these slots, or the step has ended (`all`).
struct release_request {
    step_key key;
    owner_epoch epoch = 0;
    std::vector<slot_index> slots;
    bool all = false;
};

/// From a new owner: which samples of the step do you hold?
struct collect_request {
    step_key key;
    owner_epoch epoch = 0;
    slot_index from_slot = 0;    ///< Where an earlier answer left off.
    kernel::wall_time expires{}; ///< Of the fence, when the host holds nothing yet.
};

/// Text of an answer to a collection; the rest is asked for with the next one. Half of what the
/// transport takes as one body.
inline constexpr std::size_t max_collect_bytes = 2U << 20U;

struct collect_answer {
    step_key key;
    owner_epoch account_epoch = 0; ///< Of the owner whose account this is; 0: none known.
    token_account account;
    std::vector<held_sample> samples;
    std::optional<slot_index> next_slot; ///< There is more: ask again from this slot.
};

/// What a host holds for one step that it does not own.
struct replica_step {
    owner_epoch epoch = 0;
    owner_epoch account_epoch = 0;
    token_account account;
    kernel::wall_time expires;
    std::map<slot_index, held_sample> samples;
};

/// Everything that a host holds for others. Memory only: a restarted host has nothing.
struct replica_store {
    std::size_t max_bytes = 64U << 20U; ///< A quarter of a node's 256 MB.
    std::size_t bytes = 0;
    std::map<step_key, replica_step> steps;
};

[[nodiscard]] hold_answer hold(replica_store& store, const hold_request& request);
void release(replica_store& store, const release_request& request);

/// Fences the step, also at a host that holds nothing of it yet: holds of older epochs are refused
/// from now on, so that a deposed owner learns of its end by its next copy.
[[nodiscard]] collect_answer collect(replica_store& store, const collect_request& request);

/// Drops steps whose trainer has not come back in time.
void expire(replica_store& store, kernel::wall_time now);

/// At the owner: another host has confirmed its copy.
void on_held(step& open, slot_index slot, const attempt_id& origin, const kernel::host_id& host);

/// At the owner: no copy was made. With no other host reachable the sample is marked `single` and
/// is delivered all the same; a copy is asked for again later.
void on_hold_failed(step& open, slot_index slot, const attempt_id& origin, bool any_host_reachable,
                    kernel::time_point now);

/// Another host owns the step now: stops it, and gives all that this owner has, text of running
/// attempts included, as hold requests for this host's own store, where the new owner's collection
/// finds them. Called when a collection for an owned step arrives, before it is answered. Empty
/// when `newer` is not above this owner's epoch.
[[nodiscard]] std::vector<hold_request> surrender(step& open, owner_epoch newer,
                                                  kernel::time_point now);

/// What this owner has for its step, partial text included, for a new owner or at shutdown.
[[nodiscard]] collect_answer hand_over(const step& open, slot_index from_slot = 0);

} // namespace cornelloom::rollout
