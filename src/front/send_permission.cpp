#include "front/send_permission.hpp"

#include "front/crash_exchange.hpp"
#include "front/quarantine_store.hpp"

#include <algorithm>
#include <iterator>

namespace cornelloom::front {

namespace {

/// How long a request waits for the result of a trial run elsewhere before it is refused. The
/// result comes with the regular exchange of hosts at the latest.
constexpr milliseconds max_result_wait{2000};
/// Until a refused request may be sent again while the store is unavailable.
constexpr milliseconds store_unavailable_delay{1000};

send_decision refuse_for(const host& self, std::uint64_t digest, kernel::duration delay) {
    const auto found = self.crashes.ledger.digests.find(digest);
    const bool known = found != self.crashes.ledger.digests.end();
    return {quarantine_verdict{std::chrono::ceil<milliseconds>(delay),
                               known ? found->second.crashes.size() : 0},
            false};
}

/// How long this host waits before it starts a trial run that the store doesn't grant; unset: it
/// leaves trial runs to the hosts that are told of others at once. Their order begins with one of
/// each zone, so that a zone that is cut off serves on.
std::optional<kernel::duration> wait_before_unclaimed_trial(const host& self,
                                                            std::uint64_t digest) {
    const auto own = host_entry_of(self);
    const auto before = static_cast<std::size_t>(std::ranges::count_if(
        ranked_zone_hosts(self.settings.zone, self.peers),
        [&own](const host_entry& other) { return ranks_before(other, own); }));
    if (before >= zone_hosts_told) {
        return std::nullopt;
    }
    const auto& zones = self.settings.region_of_zone;
    const auto zone = std::distance(zones.begin(), zones.find(self.settings.zone));
    const auto position = before * zones.size() + static_cast<std::size_t>(zone);
    return decide::wait_before_unclaimed_trial(self.crashes.ledger, self.crashes.rules, digest,
                                               position);
}

/// Waits until that time; returns whether a trial run was due all the while.
loop::task<bool> stays_due(std::shared_ptr<host> self, std::uint64_t digest, time_point until) {
    while (is_trial_due(*self, digest) && self->now() < until) {
        co_await self->crashes.evidence_changed.wait(to_deadline(*self, until));
    }
    co_return is_trial_due(*self, digest);
}

} // namespace

loop::task<send_decision> request_permission(std::shared_ptr<host> self, std::uint64_t digest,
                                             run_source source, time_point deadline) {
    const auto give_up_at = std::min(deadline, self->now() + max_result_wait);
    for (;;) {
        co_await wait_for_checks(self, digest, deadline);
        const auto verdict = judge_request(*self, digest, source);
        if (verdict.permission == decide::send_permission::granted) {
            co_return send_decision{};
        }
        const bool waits = verdict.permission != decide::send_permission::refused;
        if (!waits || self->now() >= give_up_at) {
            const bool due = verdict.delay == kernel::duration{};
            co_return refuse_for(*self, digest, due ? store_unavailable_delay : verdict.delay);
        }
        if (verdict.permission == decide::send_permission::pending) {
            co_await self->crashes.evidence_changed.wait(
                to_deadline(*self, std::min(give_up_at, self->now() + verdict.delay)));
            continue;
        }
        if (source == run_source::batch) {
            begin_try(*self, digest);
            co_return send_decision{std::nullopt, true};
        }
        const auto claim = co_await claim_trial(self, digest);
        if (claim == trial_claim::granted) {
            co_return send_decision{std::nullopt, true};
        }
        if (claim == trial_claim::not_due || !is_trial_due(*self, digest)) {
            continue;
        }
        const auto wait = wait_before_unclaimed_trial(*self, digest);
        if (!wait) {
            co_return refuse_for(*self, digest, store_unavailable_delay);
        }
        const auto start_at = self->now() + *wait;
        if (!co_await stays_due(self, digest, std::min(start_at, give_up_at)) ||
            self->now() < start_at) {
            continue;
        }
        start_trial(*self, digest);
        co_return send_decision{std::nullopt, true};
    }
}

} // namespace cornelloom::front
