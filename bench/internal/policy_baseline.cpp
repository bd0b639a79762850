#include "bench/internal/policy_baseline.hpp"

#include <algorithm>

namespace cornelloom::policy_bench {

namespace {

constexpr std::uint32_t most_attempts = 3;

bool serves(const baseline_target& target, const decide::request& work) {
    return !target.leaving && !target.loading &&
           std::ranges::find(target.config.serves, work.destination) != target.config.serves.end();
}

std::vector<std::size_t> candidates(const baseline& all, const decide::request& work) {
    std::vector<std::size_t> near;
    std::vector<std::size_t> far;
    for (std::size_t i = 0; i < all.targets.size(); ++i) {
        if (serves(all.targets[i], work)) {
            (all.targets[i].config.zone == all.self.zone ? near : far).push_back(i);
        }
    }
    return near.empty() ? far : near;
}

std::optional<std::size_t> pick(baseline& all, const decide::request& work) {
    const auto from = candidates(all, work);
    if (from.empty()) {
        return std::nullopt;
    }
    const auto turn = all.next++;
    if (all.kind == baseline_kind::round_robin) {
        return from[turn % from.size()];
    }
    // Equal reports are broken by turn, or the first target would get everything.
    const auto least = std::ranges::min(from, {}, [&](auto index) {
        return std::pair{all.targets[index].reported, (index + turn) % from.size()};
    });
    return least;
}

void refuse(baseline& all, const kernel::request_id& id, kernel::refusal_reason reason,
            decide::actions& out) {
    const auto& request = all.requests.at(id);
    const bool sent = request.maybe_sent || request.in_flight;
    const auto state = sent ? kernel::run_state::unknown : kernel::run_state::not_run;
    out.refusals.push_back({id, {reason, state, std::chrono::seconds{1}, ""}});
    if (request.in_flight) {
        out.cancellations.push_back(
            {id, all.targets[request.target].config.id, request.attempts, 0});
    }
    std::erase(all.unsent, id);
    all.requests.erase(kernel::request_id(id));
}

void send(baseline& all, baseline_request& request, std::size_t target, decide::actions& out) {
    ++request.attempts;
    request.target = target;
    request.in_flight = true;
    out.dispatches.push_back({.request = request.work.id,
                              .target = all.targets[target].config.id,
                              .attempt = request.attempts,
                              .kind = request.attempts == 1 ? decide::dispatch_kind::first
                                                            : decide::dispatch_kind::retry,
                              .deadline = request.work.deadline});
}

baseline_request* running(baseline& all, const kernel::request_id& id, std::uint32_t attempt) {
    const auto it = all.requests.find(id);
    const bool is_it =
        it != all.requests.end() && it->second.in_flight && it->second.attempts == attempt;
    return is_it ? &it->second : nullptr;
}

baseline_target* find_target(baseline& all, const kernel::target_id& id) {
    const auto it =
        std::ranges::find(all.targets, id, [](const auto& each) { return each.config.id; });
    return it == all.targets.end() ? nullptr : &*it;
}

} // namespace

void set_targets(baseline& all, std::span<const decide::target> targets,
                 std::span<const decide::host> /*hosts*/, kernel::time_point /*now*/) {
    all.targets.clear();
    for (const auto& config : targets) {
        all.targets.push_back({.config = config, .version = config.version});
    }
}

decide::admission submit(baseline& all, decide::request work, kernel::time_point /*now*/) {
    const auto id = work.id;
    all.requests[id].work = std::move(work);
    all.unsent.push_back(id);
    return decide::admitted{};
}

decide::actions next_dispatches(baseline& all, kernel::time_point /*now*/) {
    decide::actions out;
    for (auto left = all.unsent.size(); left > 0; --left) {
        const auto id = all.unsent.front();
        all.unsent.pop_front();
        auto& request = all.requests.at(id);
        if (const auto target = pick(all, request.work)) {
            send(all, request, *target, out);
        } else {
            all.unsent.push_back(id);
        }
    }
    return out;
}

decide::actions tick(baseline& all, kernel::time_point now) {
    auto out = next_dispatches(all, now);
    std::vector<kernel::request_id> late;
    for (const auto& [id, request] : all.requests) {
        if (request.work.deadline <= now) {
            late.push_back(id);
        }
    }
    std::ranges::sort(late);
    for (const auto& id : late) {
        refuse(all, id, kernel::refusal_reason::deadline_passed, out);
    }
    return out;
}

void on_progress(baseline& /*all*/, const kernel::request_id& /*request*/,
                 std::uint32_t /*attempt*/, std::uint32_t /*tokens*/,
                 std::uint64_t /*oldest_version*/, kernel::time_point /*now*/) {}

decide::completion_result on_complete(baseline& all, const kernel::request_id& request,
                                      std::uint32_t attempt, const decide::completion& /*answer*/,
                                      kernel::time_point /*now*/) {
    decide::completion_result result;
    if (running(all, request, attempt) == nullptr) {
        result.decision = decide::verdict::discard_duplicate;
        return result;
    }
    all.requests.erase(kernel::request_id(request));
    return result;
}

decide::actions on_failure(baseline& all, const kernel::request_id& request, std::uint32_t attempt,
                           const decide::failure& what, kernel::time_point /*now*/) {
    decide::actions out;
    auto* failed = running(all, request, attempt);
    if (failed == nullptr) {
        return out;
    }
    failed->in_flight = false;
    failed->maybe_sent = failed->maybe_sent || what.kind != decide::failure_kind::not_sent;
    const bool may_repeat = failed->work.idempotent || !failed->maybe_sent;
    const bool free = what.kind == decide::failure_kind::interrupted;
    if (!may_repeat || (failed->attempts >= most_attempts && !free)) {
        refuse(all, request, kernel::refusal_reason::target_failed, out);
        return out;
    }
    all.unsent.push_back(request);
    return out;
}

void on_load_report(baseline& all, const decide::load_report& report, kernel::time_point /*now*/) {
    if (auto* target = find_target(all, report.target)) {
        target->reported = report.running + report.queued;
        target->version = report.version;
        target->loading = report.loading;
    }
}

void on_cache_event(baseline& /*all*/, const decide::cache_event& /*event*/,
                    kernel::time_point /*now*/) {}

void on_leaving(baseline& all, const kernel::target_id& target, kernel::time_point /*now*/) {
    if (auto* found = find_target(all, target)) {
        found->leaving = true;
    }
}

void on_swap_planned(baseline& /*all*/, const decide::swap_plan& /*plan*/,
                     kernel::time_point /*now*/) {}

void on_new_version(baseline& /*all*/, std::string_view /*pool*/, std::uint64_t /*version*/,
                    kernel::time_point /*now*/) {}

void on_quarantine(baseline& /*all*/, const decide::quarantine_notice& /*notice*/,
                   kernel::time_point /*now*/) {}

} // namespace cornelloom::policy_bench
