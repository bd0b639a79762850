#include "front/slot_claims.hpp"

#include "decide/slot_shares.hpp"
#include "kernel/hash.hpp"

#include <algorithm>
#include <functional>
#include <numeric>
#include <ranges>
#include <vector>

namespace cornelloom::front {

namespace {

bool serves(const target_state& target, std::string_view model, int oldest_version) {
    const auto loaded = target.entry.versions.find(model);
    return !target.entry.draining && loaded != target.entry.versions.end() &&
           loaded->second >= oldest_version;
}

/// The items of one host for each target that can serve them, by model.
using demand_by_model = std::map<std::string_view, double>;

/// One host's announcement with what is needed to weigh it at a target.
struct weighed_claim {
    const slot_announcement* announcement = nullptr;
    std::uint64_t holder = 0;
    demand_by_model demand{}; ///< Items of a model, divided by the targets that serve it.
};

/// A host with few items gets this part of the largest demand, so that it gets some slots beside
/// hosts with very many.
constexpr double min_claim_share = 1.0 / 16;

int items_of(const slot_announcement& announcement) {
    return std::transform_reduce(announcement.models.begin(), announcement.models.end(), 0,
                                 std::plus{}, [](const auto& each) { return each.second.items; });
}

weighed_claim weigh(const target_table& table, const slot_announcement& announcement,
                    double largest_claim) {
    weighed_claim claim{&announcement, kernel::hash64(announcement.host)};
    const double items = std::max(items_of(announcement), 1);
    const double raise = std::max(1.0, largest_claim * min_claim_share / items);
    for (const auto& [model, wanted] : announcement.models) {
        const auto targets = std::ranges::count_if(table.by_id, [&](const auto& each) {
            return serves(each.second, model, wanted.oldest_version);
        });
        if (targets > 0) {
            claim.demand[model] = raise * wanted.items / static_cast<double>(targets);
        }
    }
    return claim;
}

double weight_at(const weighed_claim& claim, const target_state& target) {
    double weight = 0;
    for (const auto& [model, demand] : claim.demand) {
        const auto& wanted = claim.announcement->models.find(model)->second;
        weight += serves(target, model, wanted.oldest_version) ? demand : 0;
    }
    return weight;
}

int runs_at(const slot_announcement& announcement, std::string_view target) {
    const auto found = announcement.running.find(target);
    return found == announcement.running.end() ? 0 : found->second;
}

/// Ends the reservation of slots that stay unused.
void limit_reservation(target_state& target, decide::slot_use& use, time_point now) {
    const bool taken_up = use.running_others > target.running_elsewhere;
    if (use.reserved_others == 0 || taken_up || target.reserved_since == time_point{}) {
        target.reserved_since = now;
    }
    if (now - target.reserved_since > reservation_lifetime) {
        use.reserved_others = 0;
    }
}

/// `claims` begins with this host's own. Slots are divided between the hosts with waiting items;
/// the others keep what they run.
void apply_to(target_state& target, std::span<const weighed_claim> claims, time_point now) {
    decide::slot_use use;
    use.slots = std::max(target.entry.slots, 1);
    std::vector<decide::slot_claim> at_target{
        {claims.front().holder, weight_at(claims.front(), target)}};
    int divided = use.slots;
    for (const auto& claim : claims | std::views::drop(1)) {
        const int running = runs_at(*claim.announcement, target.entry.id);
        const bool waiting = claim.announcement->waiting;
        at_target.push_back({claim.holder, waiting ? weight_at(claim, target) : 0});
        divided -= waiting ? 0 : running;
        use.running_others += running;
    }
    const auto assigned =
        decide::assign_slots(at_target, kernel::hash64(target.entry.id), std::max(divided, 0));
    use.assigned = assigned.front();
    for (std::size_t index = 1; index < claims.size(); ++index) {
        const int running = runs_at(*claims[index].announcement, target.entry.id);
        use.reserved_others += std::max(assigned[index] - running, 0);
    }
    limit_reservation(target, use, now);
    target.running_elsewhere = use.running_others;
    target.slot_limit = decide::usable_slots(use);
}

/// A host without items of its own leaves to others what they run, so that its next items do not
/// meet full targets.
void leave_to_others(target_state& target, const slot_claims& claims) {
    target.running_elsewhere =
        std::transform_reduce(claims.begin(), claims.end(), 0, std::plus{}, [&](const auto& each) {
            return runs_at(each.second.announcement, target.entry.id);
        });
    target.reserved_since = {};
    target.slot_limit.reset();
    if (target.running_elsewhere > 0) {
        target.slot_limit = std::max(std::max(target.entry.slots, 1) - target.running_elsewhere, 0);
    }
}

/// Items or runs that a host may claim; sums of them fit into an `int`.
constexpr int max_items = 1'000'000;
constexpr int max_version = 1'000'000'000;

/// A number of another host; none is below zero.
int bounded(const nlohmann::json& number, int most) {
    if (number.is_number_unsigned()) {
        return static_cast<int>(std::min<std::uint64_t>(number.get<std::uint64_t>(), most));
    }
    return static_cast<int>(std::clamp<std::int64_t>(number.get<std::int64_t>(), 0, most));
}

} // namespace

nlohmann::json encode_announcement(const slot_announcement& announcement) {
    auto models = nlohmann::json::object();
    for (const auto& [model, claim] : announcement.models) {
        models[model] = {claim.items, claim.oldest_version};
    }
    return {{"host", announcement.host},         {"process", announcement.process},
            {"sequence", announcement.sequence}, {"waiting", announcement.waiting},
            {"models", std::move(models)},       {"running", announcement.running}};
}

kernel::result<slot_announcement> decode_announcement(const nlohmann::json& value) {
    const auto invalid = [](std::string detail) {
        return kernel::error{kernel::error_code::invalid_input, std::move(detail)};
    };
    if (!value.is_object() || !value.contains("host") || !value["host"].is_string()) {
        return invalid("announcement without a host");
    }
    slot_announcement out;
    out.host = value["host"].get<std::string>();
    const auto part = [&value](const char* name) {
        const auto found = value.find(name);
        return found == value.end() ? nlohmann::json::object() : *found;
    };
    const auto number = [&part](const char* name) {
        const auto value_of = part(name);
        return value_of.is_number_unsigned() ? value_of.get<std::uint64_t>() : 0;
    };
    out.process = number("process");
    out.sequence = number("sequence");
    const auto waiting = part("waiting");
    out.waiting = waiting.is_boolean() && waiting.get<bool>();
    const auto models = part("models");
    for (const auto& [model, claim] : models.items()) {
        const bool sound = claim.is_array() && claim.size() == 2 && claim[0].is_number_integer() &&
                           claim[1].is_number_integer();
        if (!sound) {
            return invalid("models/" + model + " is no pair of numbers");
        }
        out.models[model] = {bounded(claim[0], max_items), bounded(claim[1], max_version)};
    }
    const auto running = part("running");
    for (const auto& [target, runs] : running.items()) {
        if (!runs.is_number_integer()) {
            return invalid("running/" + target + " is no number");
        }
        out.running[target] = bounded(runs, max_items);
    }
    return out;
}

bool claims_same(const slot_announcement& a, const slot_announcement& b) {
    return a.models == b.models && a.waiting == b.waiting && a.running == b.running;
}

void take_announcement(slot_claims& claims, slot_announcement announcement, time_point now) {
    const auto found = claims.find(announcement.host);
    if (found != claims.end()) {
        const auto& known = found->second.announcement;
        if (std::pair(announcement.process, announcement.sequence) <
            std::pair(known.process, known.sequence)) {
            return; // it was overtaken
        }
    }
    if (announcement.models.empty()) {
        if (found != claims.end()) {
            claims.erase(found);
        }
        return;
    }
    auto& claim = claims[announcement.host];
    claim = {std::move(announcement), now};
}

bool expire_claims(slot_claims& claims, time_point now) {
    return std::erase_if(claims, [now](const auto& each) {
               return now - each.second.received > claim_lifetime;
           }) > 0;
}

void apply_claims(target_table& table, const slot_claims& claims, const slot_announcement& own,
                  time_point now) {
    std::vector<weighed_claim> weighed;
    if (!claims.empty() && !own.models.empty()) {
        double largest = items_of(own);
        for (const auto& [host, each] : claims) {
            largest = std::max<double>(largest, items_of(each.announcement));
        }
        weighed.push_back(weigh(table, own, largest));
        for (const auto& [host, each] : claims) {
            weighed.push_back(weigh(table, each.announcement, largest));
        }
    }
    for (auto& [id, target] : table.by_id) {
        const bool shared = !weighed.empty() && weight_at(weighed.front(), target) > 0;
        if (shared) {
            apply_to(target, weighed, now);
        } else {
            leave_to_others(target, claims);
        }
    }
}

} // namespace cornelloom::front
