#include "daemon/claims_runner.hpp"

#include "daemon/answer.hpp"
#include "daemon/claims_codec.hpp"
#include "daemon/succession.hpp"

#include <algorithm>
#include <ranges>
#include <thread>

namespace cornelloom::daemon {

namespace {

using namespace std::chrono_literals;
using kernel::refusal;
using kernel::refusal_reason;
using kernel::run_state;

// Four hundred non-idempotent calls a second over 16 shards commit ten times a second each at most;
// more shards would mean more lease renewals, fewer would put too much on one host.
constexpr std::uint32_t shard_count = 16;
constexpr lease_terms shard_terms{};
constexpr kernel::duration come_back_soon = 1s;
constexpr kernel::duration forward_slack = 500ms;
constexpr kernel::duration lease_wait = 2s;
// How long a host that passes calls on keeps an eye on the shard's holder.
constexpr kernel::duration remember_use = 60s;
constexpr int ok = 200;
constexpr int bad_request = 400;

std::string lease_name(std::uint32_t shard) {
    return "claims." + std::to_string(shard);
}

transport::http_response to_response(const coord::claim_outcome& outcome) {
    return {outcome.status, {{"X-Run-State", "ran"}, {"X-Recorded", "true"}}, outcome.body};
}

} // namespace

claims_runner::claims_runner(context& shared, request_runner& requests, lease_runner& leases,
                             membership_runner& members, platform_runner& platform, peers& others)
    : shared_(shared), requests_(requests), leases_(leases), members_(members), platform_(platform),
      peers_(others) {}

void claims_runner::want(std::uint32_t shard) {
    if (shared_.draining) {
        return;
    }
    // A lapsed lease does not close the shard: the head object fences its writes, and while the
    // platform is down this host still answers re-sends of keys that it knows.
    leases_.want(lease_name(shard), shard_terms, [this, shard](auto change, auto fence) {
        if (change == coord::lease_change::acquired) {
            apply(shard, coord::claims_opened{fence});
        }
    });
}

void claims_runner::choose_shards() {
    const auto live = members_.live();
    for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
        // By rendezvous hash, so that the shards spread evenly and few move when a host comes or
        // goes.
        if (is_successor(lease_name(shard), live, shared_.settings.host)) {
            want(shard);
        } else if (!is_used(shard)) {
            // A host that starts knows no other and stands in line for every shard. Had it stayed
            // there, each node would read sixteen leases every four seconds for ever: 3.2 calls a
            // second and node, more than the platform takes of 370 nodes.
            leases_.stop_waiting(lease_name(shard));
        }
    }
}

void claims_runner::tick() {
    std::vector<std::uint32_t> mine;
    {
        const std::lock_guard lock(mutex_);
        for (const auto& [shard, state] : shards_) {
            if (state.phase != coord::claims_phase::closed) {
                mine.push_back(shard);
            }
        }
    }
    std::ranges::for_each(mine, [this](auto shard) { apply(shard, coord::claims_tick{}); });
}

void claims_runner::close() {
    for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
        apply(shard, coord::claims_closed{.flush = true});
    }
}

bool claims_runner::is_used(std::uint32_t shard) const {
    const std::lock_guard lock(mutex_);
    const auto it = last_use_.find(shard);
    return it != last_use_.end() && shared_.clock.now() - it->second < remember_use;
}

bool claims_runner::is_open(std::uint32_t shard) const {
    const std::lock_guard lock(mutex_);
    const auto it = shards_.find(shard);
    return it != shards_.end() && it->second.phase == coord::claims_phase::open;
}

bool claims_runner::is_closed() const {
    const std::lock_guard lock(mutex_);
    return std::ranges::all_of(shards_ | std::views::values, [](const coord::claims& one) {
        return one.phase == coord::claims_phase::closed;
    });
}

std::size_t claims_runner::records() const {
    const std::lock_guard lock(mutex_);
    std::size_t all = 0;
    for (const auto& [shard, state] : shards_) {
        all += state.records.size();
    }
    return all;
}

void claims_runner::apply(std::uint32_t shard, const coord::claims_event& event) {
    coord::claims_effects effects;
    std::vector<std::pair<std::promise<verdict>, verdict>> answers;
    {
        const std::lock_guard lock(mutex_);
        const auto [it, is_new] = shards_.try_emplace(shard, coord::make_claims({.shard = shard}));
        effects = coord::step(it->second, event, shared_.clock.now(), shared_.clock.wall_now());
        const auto take = [&](std::uint64_t request, verdict what) {
            if (auto node = waiting_.extract(request)) {
                answers.emplace_back(std::move(node.mapped()), std::move(what));
            }
        };
        for (const auto& grant : effects.grants) {
            take(grant.request, granted{});
        }
        for (const auto& answer : effects.answers) {
            std::visit([&](const auto& what) { take(answer.request, what); }, answer.answer);
        }
    }
    for (auto& [promise, what] : answers) {
        promise.set_value(std::move(what));
    }
    for (auto& call : effects.calls) {
        platform_.start(std::move(call), [this, shard](const coord::platform_answer& answer) {
            apply(shard, answer);
        });
    }
}

transport::http_response claims_runner::refuse(const kernel::request_id& id,
                                               const refusal& why) const {
    count_refusal(shared_, id, why);
    auto answer = answer_refusal(why);
    answer.headers.push_back({"X-Request-Id", id.str()});
    return answer;
}

transport::http_response claims_runner::run(const claimed_call& call) {
    const auto shard = coord::shard_of(call.key, shard_count);
    const auto name = lease_name(shard);
    {
        const std::lock_guard lock(mutex_);
        last_use_[shard] = shared_.clock.now();
    }
    const auto until = shared_.clock.now() + std::min(lease_wait, call.call.deadline);
    while (true) {
        if (leases_.held_fence(name)) {
            return run_here(call, shard);
        }
        const auto holder = leases_.holder(name);
        const bool other = holder && !holder->released && holder->host != shared_.settings.host &&
                           peers_.is_live(holder->host);
        if (other && !call.forwarded) {
            return forward(call, holder->host);
        }
        if (!other && is_open(shard)) {
            return run_here(call, shard);
        }
        if (shared_.clock.now() >= until) {
            return refuse(make_request_id(shared_),
                          {refusal_reason::claim_unavailable, run_state::not_run, come_back_soon,
                           "no host holds the claims of this key"});
        }
        // Reads the lease, and stands in line for it should its holder die.
        want(shard);
        std::this_thread::sleep_for(10ms);
    }
}

transport::http_response claims_runner::run_here(const claimed_call& call, std::uint32_t shard) {
    std::future<verdict> answer;
    std::uint64_t request = 0;
    {
        const std::lock_guard lock(mutex_);
        request = next_request_++;
        answer = waiting_[request].get_future();
    }
    const auto deadline = shared_.clock.now() + call.call.deadline;
    apply(shard, coord::claim_asked{request, call.key, call.issued, deadline});
    const auto what = answer.get();
    if (const auto* recorded = std::get_if<coord::claim_outcome>(&what)) {
        return to_response(*recorded);
    }
    if (const auto* why = std::get_if<refusal>(&what)) {
        return refuse(make_request_id(shared_), *why);
    }
    auto granted_call = call.call;
    granted_call.idempotent = false;
    granted_call.deadline = deadline - shared_.clock.now();
    const auto outcome = run_service_call(shared_, requests_, granted_call);
    if (!outcome.refused) {
        apply(shard, coord::claim_ran{call.key, {outcome.response.status, outcome.response.body}});
        auto response = outcome.response;
        response.headers.push_back({"X-Run-State", "ran"});
        response.headers.push_back({"X-Request-Id", outcome.id.str()});
        return response;
    }
    if (outcome.refused->state == run_state::not_run) {
        apply(shard, coord::claim_unsent{call.key});
    }
    auto refused = answer_refusal(*outcome.refused);
    refused.headers.push_back({"X-Request-Id", outcome.id.str()});
    return refused;
}

transport::http_response claims_runner::forward(const claimed_call& call,
                                                const kernel::host_id& to) const {
    const auto reply = peers_.call(to, peer_path, encode(call), call.call.deadline + forward_slack);
    if (reply && reply.value().status == ok) {
        if (auto response = decode_response(reply.value().body)) {
            return response.value();
        }
    }
    const auto id = make_request_id(shared_);
    // Only a holder that was never reached cannot have run it.
    const bool unsent = !reply && reply.error().code == kernel::error_code::unavailable;
    if (unsent) {
        return refuse(id, {refusal_reason::claim_unavailable, run_state::not_run, come_back_soon,
                           "the holder of the claims cannot be reached"});
    }
    return refuse(id, {refusal_reason::outcome_unknown, run_state::unknown, come_back_soon,
                       "the holder of the claims did not answer; ask again with the same key"});
}

peer_reply claims_runner::handle(const std::string& body) {
    const auto call = decode_claimed_call(body);
    if (!call) {
        return {bad_request, call.error().detail};
    }
    return {ok, encode(run(call.value()))};
}

} // namespace cornelloom::daemon
