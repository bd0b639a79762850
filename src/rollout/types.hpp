#pragma once

#include "kernel/identifiers.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace cornelloom::rollout {

using step_id = kernel::identifier<struct step_tag>;

/// Position of a sample in its step, counted over all groups from 0.
using slot_index = std::uint32_t;
using group_index = std::uint32_t;

/// Number of a set of weights. Newer weights have larger numbers; staleness bounds are differences
/// of these numbers.
using weight_version = std::uint64_t;

/// Fencing number of a step's ownership lease. Grows with each new owner.
using owner_epoch = std::uint64_t;

using token_count = std::uint64_t;

/// A step is named by its trainer and the identifier that the trainer chose.
struct step_key {
    kernel::trainer_id trainer;
    step_id id;
    auto operator<=>(const step_key&) const = default;
};

/// One submission of a slot to an engine. Unique over all owners of a step, because each owner has
/// its own epoch.
struct attempt_id {
    owner_epoch epoch = 0;
    std::uint64_t number = 0;
    auto operator<=>(const attempt_id&) const = default;
};

/// An attempt together with the slot that it runs for.
struct attempt_ref {
    slot_index slot = 0;
    attempt_id attempt;
    auto operator<=>(const attempt_ref&) const = default;
};

/// `TRAINER/STEP/SLOT/EPOCH.NUMBER`: the request identifier that an engine is given.
[[nodiscard]] std::string to_string(const step_key& key);
[[nodiscard]] std::string to_string(const attempt_id& attempt);
[[nodiscard]] std::string engine_request_id(const step_key& key, const attempt_ref& ref);

/// Reads `EPOCH.NUMBER`; nothing when the text has another form.
[[nodiscard]] std::optional<attempt_id> parse_attempt(std::string_view text);

} // namespace cornelloom::rollout
