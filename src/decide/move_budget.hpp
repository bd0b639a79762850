#pragma once

#include "kernel/clock.hpp"

namespace cornelloom::decide {

/// Limits how many runs leave their targets for faster ones.
///
/// Designed for a fifth of all targets that turn slow at once: if every run on them moves, the
/// other targets are slowed down too, and further runs move. A move ends a connection and generates
/// a part of a text twice, so a host may spend only a share of its starts on moves.
struct move_policy {
    int moves_per_item = 2;       ///< Moves of one item to a faster target.
    double share_of_starts = 0.1; ///< Moves earned by each start of an item.
    double burst = 8;             ///< Moves that can be saved up.
    /// Time that a further move of an item must save, as a multiple of the first one's.
    double repeated_gain_factor = 2;
};

struct move_budget {
    double available = 8; ///< Moves that may be made now.
};

/// Records the start of an item, which earns a part of a move.
void earn_move(move_budget& budget, const move_policy& policy = {});

/// Takes a move from the budget; false if there is none left or the item has been moved too often.
[[nodiscard]] bool take_move(move_budget& budget, int moves_of_item,
                             const move_policy& policy = {});

/// The time in milliseconds that a move must save after `moves_of_item` earlier ones.
[[nodiscard]] double required_gain_ms(double first_gain_ms, int moves_of_item,
                                      const move_policy& policy = {});

} // namespace cornelloom::decide
