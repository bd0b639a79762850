#pragma once

#include "front/targets.hpp"
#include "kernel/result.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <string_view>

namespace cornelloom::front {

/// Claims of the hosts on the slots of targets; see `decide/slot_shares.hpp`.

/// The unfinished items of one model on one host.
struct model_claim {
    int items = 0;
    int oldest_version = 0; ///< Oldest version of the weights that any of them accepts.
    bool operator==(const model_claim&) const = default;
};

/// What a host announces to the others.
struct slot_announcement {
    std::string host;
    std::uint64_t process = 0;  ///< Start of the host's process, Unix milliseconds.
    std::uint64_t sequence = 0; ///< Number of the announcement in that process.
    std::map<std::string, model_claim, std::less<>> models;
    bool waiting = false; ///< Some of the items could start if there were slots.
    std::map<std::string, int, std::less<>> running; ///< Runs of the host, by target.
};

/// Whether two announcements claim the same.
[[nodiscard]] bool claims_same(const slot_announcement& a, const slot_announcement& b);

struct received_announcement {
    slot_announcement announcement;
    time_point received{};
};

/// The latest announcements of other hosts, by host.
using slot_claims = std::map<std::string, received_announcement, std::less<>>;

/// A claim ends this long after its last announcement: time for a few lost ones.
inline constexpr milliseconds claim_lifetime{1500};

/// Slots that another host does not use are no longer reserved for it after this time: its waiting
/// items may be held back, or it may not reach the target.
inline constexpr milliseconds reservation_lifetime{1000};

[[nodiscard]] nlohmann::json encode_announcement(const slot_announcement& announcement);
[[nodiscard]] kernel::result<slot_announcement> decode_announcement(const nlohmann::json& value);

/// Takes an announcement unless a later one is known; one without items ends the host's claim.
void take_announcement(slot_claims& claims, slot_announcement announcement, time_point now);

/// Ends the claims whose last announcement is too old. Returns whether there were any.
bool expire_claims(slot_claims& claims, time_point now);

/// Updates the limit and the foreign runs of each target. Without claims of other hosts there are
/// no limits.
void apply_claims(target_table& table, const slot_claims& claims, const slot_announcement& own,
                  time_point now);

} // namespace cornelloom::front
