#include "front/slot_claims.hpp"

#include "decide/slot_shares.hpp"
#include "kernel/hash.hpp"

#include <algorithm>
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

weighed_claim weigh(const target_table& table, const slot_announcement& announcement) {
    weighed_claim claim{&announcement, kernel::hash64(announcement.host)};
    for (const auto& [model, wanted] : announcement.models) {
        const auto targets = std::ranges::count_if(table.by_id, [&](const auto& each) {
            return serves(each.second, model, wanted.oldest_version);
        });
        if (targets > 0) {
            claim.demand[model] = wanted.items / static_cast<double>(targets);
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

/// `claims` begins with this host's own.
void apply_to(target_state& target, std::span<const weighed_claim> claims) {
    std::vector<decide::slot_claim> at_target;
    at_target.reserve(claims.size());
    for (const auto& claim : claims) {
        at_target.push_back({claim.holder, weight_at(claim, target)});
    }
    decide::slot_use use;
    use.slots = std::max(target.entry.slots, 1);
    const auto assigned =
        decide::assign_slots(at_target, kernel::hash64(target.entry.id), use.slots);
    use.assigned = assigned.front();
    for (std::size_t index = 1; index < claims.size(); ++index) {
        const auto& other = *claims[index].announcement;
        const int running = runs_at(other, target.entry.id);
        use.running_others += running;
        use.reserved_others += other.waiting ? std::max(assigned[index] - running, 0) : 0;
    }
    target.running_elsewhere = use.running_others;
    target.slot_limit = decide::usable_slots(use);
}

} // namespace

nlohmann::json encode_announcement(const slot_announcement& announcement) {
    auto models = nlohmann::json::object();
    for (const auto& [model, claim] : announcement.models) {
        models[model] = {claim.items, claim.oldest_version};
    }
    return {{"host", announcement.host},
            {"waiting", announcement.waiting},
            {"models", std::move(models)},
            {"running", announcement.running}};
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
    const auto waiting = part("waiting");
    out.waiting = waiting.is_boolean() && waiting.get<bool>();
    const auto models = part("models");
    for (const auto& [model, claim] : models.items()) {
        const bool sound = claim.is_array() && claim.size() == 2 && claim[0].is_number_integer() &&
                           claim[1].is_number_integer();
        if (!sound) {
            return invalid("models/" + model + " is no pair of numbers");
        }
        out.models[model] = {claim[0].get<int>(), claim[1].get<int>()};
    }
    const auto running = part("running");
    for (const auto& [target, runs] : running.items()) {
        if (!runs.is_number_integer()) {
            return invalid("running/" + target + " is no number");
        }
        out.running[target] = std::max(runs.get<int>(), 0);
    }
    return out;
}

void take_announcement(slot_claims& claims, slot_announcement announcement, time_point now) {
    if (announcement.models.empty()) {
        const auto found = claims.find(announcement.host);
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

void apply_claims(target_table& table, const slot_claims& claims, const slot_announcement& own) {
    std::vector<weighed_claim> weighed;
    if (!claims.empty() && !own.models.empty()) {
        weighed.push_back(weigh(table, own));
        for (const auto& [host, each] : claims) {
            weighed.push_back(weigh(table, each.announcement));
        }
    }
    for (auto& [id, target] : table.by_id) {
        const bool shared = !weighed.empty() && weight_at(weighed.front(), target) > 0;
        if (shared) {
            apply_to(target, weighed);
        } else {
            target.running_elsewhere = 0;
            target.slot_limit.reset();
        }
    }
}

} // namespace cornelloom::front
