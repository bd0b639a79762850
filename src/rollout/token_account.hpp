#pragma once

#include "kernel/finding.hpp"
#include "rollout/types.hpp"

#include <array>
#include <string_view>

namespace cornelloom::rollout {

/// Why tokens that were paid for never reached a trainer.
enum class waste_cause {
    stale,     ///< Older than the pool's staleness bound.
    lost,      ///< Arrived for an attempt that nobody waits for, or second answer of a slot.
    hedged,    ///< The losing copy of a slot that ran twice.
    cancelled, ///< The trainer or the deadline ended the step.
    crashed,   ///< The engine or the owner of the step died and the tokens could not be carried on.
    unusable,  ///< No certain version for each token, or refused by the scoring service.
};

inline constexpr std::size_t waste_cause_count =
    static_cast<std::size_t>(waste_cause::unusable) + 1;

[[nodiscard]] std::string_view to_string(waste_cause cause);

/// Where the paid tokens of a step are. At every moment
/// `paid == delivered + wasted + in_flight + held`.
struct token_account {
    token_count paid = 0;
    token_count in_flight = 0; ///< Generated for slots that are not finished.
    token_count held = 0;      ///< In finished samples that the trainer has not acknowledged.
    token_count delivered = 0; ///< In samples that the trainer has acknowledged.
    std::array<token_count, waste_cause_count> wasted{};

    bool operator==(const token_account&) const = default;
};

[[nodiscard]] token_count total_wasted(const token_account& account);

void pay(token_account& account, token_count tokens);
void waste_in_flight(token_account& account, token_count tokens, waste_cause cause);
void waste_held(token_account& account, token_count tokens, waste_cause cause);
void finish(token_account& account, token_count tokens);
void deliver(token_account& account, token_count tokens);

/// The trainer no longer has a sample that it once acknowledged.
void take_back(token_account& account, token_count tokens);

/// A finding when the account does not balance.
[[nodiscard]] kernel::findings check(const token_account& account, std::string_view place);

} // namespace cornelloom::rollout
