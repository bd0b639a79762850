#include "front/crash_watch.hpp"

#include "front/host.hpp"
#include "kernel/hash.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <ranges>
#include <sstream>
#include <utility>
#include <vector>

namespace cornelloom::front {

namespace {

/// Time in which a target that is alive accepts a connection: a round trip between regions takes
/// 40 ms.
constexpr loop::milliseconds check_timeout{250};
/// How long a target that accepts a connection is watched for a later start. A crashed target is
/// back in the list some seconds after its end.
constexpr milliseconds replacement_time{10000};
constexpr milliseconds replacement_check_interval{250};
constexpr std::uint32_t crash_threshold = 3;
/// Digests in one log line; more than a few requests on a target tell little.
constexpr std::size_t max_listed = 8;
/// Until hosts that name different requests for one crash know of each other.
constexpr milliseconds confirmation_delay{500};

/// All runs of one request at a target.
struct active_request {
    kernel::duration longest_run{};
    run_source source = run_source::batch; ///< `caller` if any run is.
};

/// A target whose connection broke, and what ran there.
struct broken_target {
    std::string id;
    transport::endpoint address;
    std::uint64_t hash = 0; ///< Differs after each start of the target.
    kernel::time_point broke_at{};
    std::map<std::uint64_t, active_request> in_flight; ///< By digest.
};

std::uint64_t hash_of(const target_entry& target) {
    return kernel::hash64(target.id, static_cast<std::uint64_t>(target.started_unix_ms));
}

std::map<std::uint64_t, active_request> requests_at(const host& self, std::string_view target_id) {
    std::map<std::uint64_t, active_request> out;
    for (const auto& [number, run] : self.crashes.runs) {
        if (run.target == target_id) {
            auto& request = out[run.digest];
            request.longest_run = std::max(request.longest_run, self.now() - run.sent);
            request.source = std::min(request.source, run.source);
        }
    }
    return out;
}

std::vector<decide::crash_suspect> suspects_among(const host& self, const broken_target& target) {
    std::vector<decide::crash_suspect> out;
    for (const auto& [digest, request] : target.in_flight) {
        const bool unproven =
            is_crash_suspect(self, digest) &&
            request.longest_run <= decide::proof_time(self.crashes.ledger, digest);
        out.push_back({digest, request.longest_run, unproven});
    }
    return out;
}

/// The digests of a few of the requests, for the log.
std::string digest_list(const broken_target& target) {
    std::string out;
    for (const auto digest : target.in_flight | std::views::keys | std::views::take(max_listed)) {
        out += (out.empty() ? "" : ",") + digest_text(digest);
    }
    return out;
}

/// Other hosts are told of a request once it has crashed targets repeatedly, or at once if its
/// caller may send it to them.
void add_news(host& self, const broken_target& target) {
    auto& watch = self.crashes;
    for (const auto& [digest, request] : target.in_flight) {
        const auto found = watch.ledger.digests.find(digest);
        if (found != watch.ledger.digests.end() &&
            (request.source == run_source::caller ||
             decide::is_repeated(found->second, self.now()))) {
            watch.news.insert(digest);
        }
    }
    watch.changed.open();
}

void record_target_crash(host& self, const broken_target& target) {
    auto& watch = self.crashes;
    const auto culprit = decide::attribute_crash(watch.ledger, watch.rules, target.hash,
                                                 suspects_among(self, target), target.broke_at);
    log_event(self, target_crashed, {{"target", target.id}, {"digests", digest_list(target)}});
    if (culprit != 0) {
        report_quarantine(self, culprit, self.settings.host, quarantine_basis::own_crash);
        watch.store_at = self.now() + watch.rules.confirmation_delay;
    }
    add_news(self, target);
}

void clear_request(host& self, std::uint64_t digest) {
    auto& watch = self.crashes;
    const bool known_elsewhere = decide::is_repeated(watch.ledger.digests.at(digest), self.now());
    if (find_quarantine(self, digest)) {
        watch.store_at = self.now();
    }
    decide::clear_suspicion(watch.ledger, digest, self.now());
    if (known_elsewhere) {
        watch.news.insert(digest);
        watch.changed.open();
    }
}

/// Whether the list names a later start of the target, or another target at its address.
bool is_replaced(const host& self, const broken_target& target) {
    return std::ranges::any_of(self.targets.by_id, [&](const auto& listed) {
        const auto& entry = listed.second.entry;
        return hash_of(entry) != target.hash &&
               (entry.id == target.id || entry.address == target.address);
    });
}

/// Watches the list for a later start of a target that accepted a connection.
loop::task<void> watch_for_replacement(std::shared_ptr<host> self, broken_target target) {
    const auto until = self->now() + replacement_time;
    while (!is_replaced(*self, target)) {
        if (self->now() >= until) {
            co_return;
        }
        co_await loop::pause_for(self->io, replacement_check_interval);
    }
    log_event(*self, target_replaced,
              {{"target", target.id},
               {"digests", digest_list(target)},
               {"ms", ms_between(target.broke_at, self->now())}});
}

/// Asks the target for a new connection and attributes the crash if there is none.
loop::task<void> check_target(std::shared_ptr<host> self, broken_target target) {
    loop::exchange probe(self->connections, target.address);
    const auto fault = co_await probe.open(loop::after(check_timeout), false);
    probe.abort();
    self->crashes.checking.erase(target.id);
    const bool crashed = fault != loop::exchange_fault::none;
    const std::array labels{kernel::label{"outcome", crashed ? "crashed" : "alive"}};
    self->metrics.count("cornelloom_broken_targets_total", labels);
    if (crashed) {
        record_target_crash(*self, target);
    } else {
        log_event(*self, target_alive, {{"target", target.id}});
        loop::asio::co_spawn(self->io, watch_for_replacement(self, std::move(target)),
                             loop::asio::detached);
    }
    self->crashes.check_ended.open();
}

/// The targets that run another suspect of this host; none if the digest is no suspect itself.
std::set<std::string, std::less<>> targets_with_suspects(const host& self, std::uint64_t digest) {
    std::set<std::string, std::less<>> out;
    if (self.crashes.ledger.digests.empty() || !is_crash_suspect(self, digest)) {
        return out;
    }
    for (const auto& [number, run] : self.crashes.runs) {
        if (run.digest != digest && is_crash_suspect(self, run.digest)) {
            out.insert(run.target);
        }
    }
    return out;
}

void check_broken_target(const std::shared_ptr<host>& self, const std::string& target_id) {
    const auto found = self->targets.by_id.find(target_id);
    if (found == self->targets.by_id.end() || self->crashes.checking.contains(target_id)) {
        return;
    }
    const auto& entry = found->second.entry;
    auto in_flight = requests_at(*self, entry.id);
    auto& digests = self->crashes.checking[entry.id];
    std::ranges::copy(in_flight | std::views::keys, std::inserter(digests, digests.end()));
    loop::asio::co_spawn(self->io,
                         check_target(self, {entry.id, entry.address, hash_of(entry), self->now(),
                                             std::move(in_flight)}),
                         loop::asio::detached);
}

} // namespace

std::uint64_t digest_of(const request_content& request) {
    std::uint64_t digest = 0;
    for (const auto part : {request.caller, request.host, request.method, request.path,
                            request.query, request.body}) {
        digest = kernel::hash64(part, digest);
    }
    return digest;
}

std::uint64_t digest_of_request(const transport::http_request& message, const caller_request& info,
                                const std::optional<std::string>& account) {
    const std::string caller = account.value_or(info.key_hash.value_or(""));
    return digest_of(
        {caller, info.host, message.method, message.path, message.query, message.body});
}

std::string digest_text(std::uint64_t digest) {
    std::ostringstream out;
    out << std::hex << digest;
    return out.str();
}

decide::quarantine_policy default_quarantine_rules() {
    decide::quarantine_policy rules;
    rules.crash_threshold = crash_threshold;
    rules.confirmation_delay = confirmation_delay;
    return rules;
}

run_number begin_run(host& self, std::uint64_t digest, std::string_view target_id,
                     run_source source) {
    const auto known = self.crashes.ledger.digests.find(digest);
    if (known != self.crashes.ledger.digests.end() && !known->second.crashes.empty()) {
        log_event(self, suspect_sent,
                  {{"digest", digest_text(digest)},
                   {"target", target_id},
                   {"targets", static_cast<std::uint64_t>(known->second.crashes.size())}});
    }
    const auto number = self.crashes.next_run++;
    self.crashes.runs.emplace(number,
                              active_run{digest, std::string(target_id), source, self.now()});
    return number;
}

void end_run(const std::shared_ptr<host>& self, run_number run, run_end end) {
    auto& watch = self->crashes;
    const auto found = watch.runs.find(run);
    if (found == watch.runs.end()) {
        return;
    }
    const auto ended = found->second;
    if (end == run_end::broken) {
        check_broken_target(self, ended.target);
    }
    watch.runs.erase(run);
    if (end == run_end::survived && is_crash_suspect(*self, ended.digest)) {
        clear_request(*self, ended.digest);
    }
}

std::optional<quarantine_verdict> find_quarantine(const host& self, std::uint64_t digest) {
    const auto& watch = self.crashes;
    const auto now = self.now();
    const auto left = decide::quarantined_for(watch.ledger, digest, now);
    if (left == kernel::duration{}) {
        return std::nullopt;
    }
    const auto& record = watch.ledger.digests.at(digest);
    const bool confirmed = decide::is_confirmed(watch.ledger, watch.rules, digest, now);
    const auto delay =
        confirmed ? left : record.identified_at + watch.rules.confirmation_delay - now;
    return quarantine_verdict{std::chrono::ceil<milliseconds>(delay), record.crashes.size()};
}

bool is_crash_suspect(const host& self, std::uint64_t digest) {
    return decide::is_suspect(self.crashes.ledger, self.crashes.rules, digest, self.now());
}

bool is_being_checked(const host& self, std::uint64_t digest) {
    const auto& checking = self.crashes.checking;
    return !checking.empty() && is_crash_suspect(self, digest) &&
           std::ranges::any_of(
               checking, [digest](const auto& target) { return target.second.contains(digest); });
}

loop::task<void> wait_for_checks(std::shared_ptr<host> self, std::uint64_t digest,
                                 kernel::time_point deadline) {
    while (is_being_checked(*self, digest) && self->now() < deadline) {
        co_await self->crashes.check_ended.wait(to_deadline(*self, deadline));
    }
}

target_state* choose_target_apart(host& self, std::string_view service, std::uint64_t digest,
                                  const std::set<std::string, std::less<>>& tried) {
    auto excluded = targets_with_suspects(self, digest);
    const bool apart = !excluded.empty();
    excluded.insert(tried.begin(), tried.end());
    auto* target = choose_target(self.targets, service, self.here(), excluded, self.now());
    if (target == nullptr && apart) {
        target = choose_target(self.targets, service, self.here(), tried, self.now());
    }
    return target;
}

void expire_crashes(host& self) {
    auto& watch = self.crashes;
    const auto last_expiry = std::exchange(watch.expired_at, self.now());
    for (const auto& [digest, record] : watch.ledger.digests) {
        if (record.quarantined_until > last_expiry && record.quarantined_until <= self.now()) {
            log_event(self, quarantine_ended,
                      {{"digest", digest_text(digest)},
                       {"targets", static_cast<std::uint64_t>(record.crashes.size())}});
        }
    }
    decide::expire(watch.ledger, watch.rules, self.now());
    self.metrics.set("cornelloom_quarantined_requests",
                     static_cast<double>(decide::quarantined_count(watch.ledger, self.now())));
}

void report_quarantine(host& self, std::uint64_t digest, std::string_view by_host,
                       std::string_view basis) {
    const auto& record = self.crashes.ledger.digests.at(digest);
    log_event(self, request_quarantined,
              {{"digest", digest_text(digest)},
               {"targets", static_cast<std::uint64_t>(record.crashes.size())},
               {"from", by_host},
               {"why", basis}});
}

} // namespace cornelloom::front
