#include "front/crash_watch.hpp"

#include "front/host.hpp"
#include "kernel/finally.hpp"
#include "kernel/hash.hpp"
#include "loop/spawn.hpp"

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
/// Plain requests take tens of milliseconds.
constexpr milliseconds min_silence{1000};
/// Targets that are asked or watched at a time; more broken connections tell little.
constexpr std::size_t max_broken_targets = 256;
constexpr std::uint32_t crash_threshold = 3;
/// What is known of crashes outlasts the pauses of callers and restarts of hosts.
constexpr std::chrono::hours record_lifetime{24};
/// Digests in one log line; more than a few requests on a target tell little.
constexpr std::size_t max_listed = 8;
/// Until hosts that name different requests for one crash know of each other.
constexpr milliseconds confirmation_delay{500};

target_start start_of(const target_entry& entry) {
    return {entry.id, entry.address,
            kernel::hash64(entry.id, static_cast<std::uint64_t>(entry.started_unix_ms))};
}

std::map<std::uint64_t, active_request> requests_at(const host& self, const target_start& target) {
    std::map<std::uint64_t, active_request> out;
    for (const auto& [number, run] : self.crashes.runs) {
        if (run.target.hash == target.hash) {
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

/// Announces the requests that are identified by what has changed.
void announce_culprits(host& self, std::string_view basis) {
    const auto& watch = self.crashes;
    for (const auto digest :
         decide::identify_culprits(self.crashes.ledger, watch.rules, self.now())) {
        announce_quarantine(self, digest, basis);
    }
}

void record_target_crash(host& self, const broken_target& target, std::string_view shown_by) {
    auto& watch = self.crashes;
    const auto culprit = decide::attribute_crash(watch.ledger, watch.rules, target.target.hash,
                                                 suspects_among(self, target), target.broke_at);
    log_event(self, target_crashed,
              {{"target", target.target.id},
               {"digests", digest_list(target)},
               {"why", shown_by},
               {"ms", ms_between(target.broke_at, self.now())}});
    if (culprit != 0) {
        announce_quarantine(self, culprit, quarantine_basis::own_crash);
    }
    announce_culprits(self, quarantine_basis::own_crash);
    add_news(self, target);
    watch.evidence_changed.open();
}

/// What clears a request.
enum class clearance { answer, long_run };

void clear_request(host& self, std::uint64_t digest, clearance by) {
    auto& watch = self.crashes;
    const auto& record = watch.ledger.digests.at(digest);
    if (record.identified_by != 0 || record.trials > 0) {
        watch.store_at = self.now();
    }
    if (by == clearance::answer) {
        decide::clear_suspicion(watch.ledger, digest, self.now());
    } else {
        decide::clear_proven(watch.ledger, digest, self.now());
    }
    announce_culprits(self, quarantine_basis::other_answered);
    // Other hosts may know of its crashes, and judge them together with others.
    watch.news.insert(digest);
    watch.changed.open();
    watch.evidence_changed.open();
}

/// Whether the list names a later start of the target, or another target at its address.
bool is_replaced(const host& self, const target_start& target) {
    const auto listed = self.targets.by_id.find(target.id);
    if (listed != self.targets.by_id.end()) {
        return start_of(listed->second.entry).hash != target.hash;
    }
    return std::ranges::any_of(self.targets.by_id, [&](const auto& other) {
        return other.second.entry.address == target.address;
    });
}

loop::task<bool> accepts_connection(std::shared_ptr<host> self, transport::endpoint address) {
    loop::exchange probe(self->connections, std::move(address));
    const auto fault = co_await probe.open(loop::after(check_timeout), false);
    probe.abort();
    co_return fault == loop::exchange_fault::none;
}

/// Watches the list for the end of a target that accepted a connection: a later start, or the
/// removal of a target that no longer accepts any.
loop::task<bool> is_found_ended(std::shared_ptr<host> self, target_start target) {
    const auto until = self->now() + replacement_time;
    while (self->now() < until) {
        if (is_replaced(*self, target)) {
            co_return true;
        }
        if (!self->targets.by_id.contains(target.id)) {
            const bool accepts = co_await accepts_connection(self, target.address);
            co_return !accepts;
        }
        co_await loop::pause_for(self->io, replacement_check_interval);
    }
    co_return false;
}

void count_check(host& self, std::string_view outcome) {
    const std::array labels{kernel::label{"outcome", outcome}};
    self.metrics.count("cornelloom_broken_targets_total", labels);
}

/// Asks the target for a new connection, and watches it if it accepts one.
loop::task<void> check_target(std::shared_ptr<host> self, run_number number) {
    auto& broken = self->crashes.broken;
    const kernel::finally forget([&] { broken.erase(number); });
    const auto target = broken.at(number).target;
    const bool accepts = co_await accepts_connection(self, target.address);
    broken.at(number).being_asked = false;
    const bool crashed = !accepts || is_replaced(*self, target);
    count_check(*self, crashed ? "crashed" : "alive");
    if (crashed) {
        record_target_crash(*self, broken.at(number), accepts ? "replaced" : "no connection");
    } else {
        log_event(*self, target_alive, {{"target", target.id}});
        for (const auto digest : broken.at(number).in_flight | std::views::keys) {
            end_try(*self, digest);
        }
        self->crashes.evidence_changed.open();
        const bool ended = co_await is_found_ended(self, target);
        if (ended) {
            count_check(*self, "replaced");
            log_event(*self, target_replaced,
                      {{"target", target.id},
                       {"digests", digest_list(broken.at(number))},
                       {"ms", ms_between(broken.at(number).broke_at, self->now())}});
            record_target_crash(*self, broken.at(number), "replaced");
        }
    }
}

/// The targets that run another suspect of this host; none if the digest is no suspect itself.
std::set<std::string, std::less<>> targets_with_suspects(const host& self, std::uint64_t digest) {
    std::set<std::string, std::less<>> out;
    if (self.crashes.ledger.digests.empty() || !is_crash_suspect(self, digest)) {
        return out;
    }
    for (const auto& [number, run] : self.crashes.runs) {
        if (run.digest != digest && is_crash_suspect(self, run.digest)) {
            out.insert(run.target.id);
        }
    }
    return out;
}

/// Checks the target of the run. A target that is being asked is not asked again.
void check_target_of(const std::shared_ptr<host>& self, run_number number) {
    auto& watch = self->crashes;
    const auto target = watch.runs.at(number).target;
    const bool being_asked = std::ranges::any_of(watch.broken, [&](const auto& entry) {
        return entry.second.being_asked && entry.second.target.hash == target.hash;
    });
    const bool is_known = watch.broken.contains(number) || target.address.address.empty();
    if (being_asked || is_known || watch.broken.size() >= max_broken_targets) {
        return;
    }
    watch.broken.emplace(number, broken_target{target, self->now(), requests_at(*self, target)});
    loop::spawn(self->io, "check target", check_target(self, number));
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

run_end run_end_of(loop::exchange_fault fault) {
    switch (fault) {
    case loop::exchange_fault::broken:
        return run_end::broken;
    case loop::exchange_fault::timed_out:
    case loop::exchange_fault::aborted: // by the deadline or the caller, while
                                        // the target is silent
        return run_end::silent;
    case loop::exchange_fault::none:
    case loop::exchange_fault::not_connected:
    case loop::exchange_fault::garbled:
    case loop::exchange_fault::too_large:
    case loop::exchange_fault::no_memory:
    case loop::exchange_fault::malformed_request:
        return run_end::unknown;
    }
    return run_end::unknown;
}

decide::quarantine_policy default_quarantine_rules() {
    decide::quarantine_policy rules;
    rules.crash_threshold = crash_threshold;
    rules.confirmation_delay = confirmation_delay;
    rules.suspicion_lifetime = record_lifetime;
    rules.record_lifetime = record_lifetime;
    return rules;
}

decide::send_verdict judge_request(const host& self, std::uint64_t digest, run_source source) {
    const auto& watch = self.crashes;
    const auto duty =
        source == run_source::batch ? decide::request_duty::result : decide::request_duty::answer;
    return decide::judge_send(watch.ledger, watch.rules, digest, duty, self.now());
}

void begin_try(host& self, std::uint64_t digest) {
    decide::begin_try(self.crashes.ledger, digest, self.now());
}

void end_try(host& self, std::uint64_t digest) {
    decide::end_try(self.crashes.ledger, digest, self.now());
    self.crashes.evidence_changed.open();
}

void clear_if_proven(host& self, std::uint64_t digest, kernel::duration run_time) {
    const auto& ledger = self.crashes.ledger;
    if (is_crash_suspect(self, digest) && run_time > decide::proof_time(ledger, digest)) {
        clear_request(self, digest, clearance::long_run);
    }
}

std::vector<std::string> targets_of_repeated_suspects(const host& self, std::uint64_t digest) {
    const auto& watch = self.crashes;
    std::vector<std::string> out;
    for (const auto& run : watch.runs | std::views::values) {
        const auto found = watch.ledger.digests.find(run.digest);
        if (run.digest != digest && found != watch.ledger.digests.end() &&
            found->second.crashes.size() >= watch.rules.crash_threshold) {
            out.push_back(run.target.id);
        }
    }
    return out;
}

run_number begin_run(host& self, std::uint64_t digest, std::string_view target_id,
                     run_source source, run_form form) {
    const auto known = self.crashes.ledger.digests.find(digest);
    if (known != self.crashes.ledger.digests.end() && !known->second.crashes.empty()) {
        log_event(self, suspect_sent,
                  {{"digest", digest_text(digest)},
                   {"target", target_id},
                   {"targets", static_cast<std::uint64_t>(known->second.crashes.size())}});
    }
    const auto number = self.crashes.next_run++;
    const auto listed = self.targets.by_id.find(target_id);
    const auto target = listed == self.targets.by_id.end()
                            ? target_start{std::string(target_id), {}, 0}
                            : start_of(listed->second.entry);
    self.crashes.runs.emplace(number, active_run{digest, target, source, self.now(), form});
    return number;
}

void end_run(const std::shared_ptr<host>& self, run_number run, run_end end) {
    auto& watch = self->crashes;
    const auto found = watch.runs.find(run);
    if (found == watch.runs.end()) {
        return;
    }
    const auto ended = found->second;
    const bool silent = end == run_end::silent && self->now() - ended.sent >= min_silence;
    {
        const kernel::finally erase([&] { watch.runs.erase(run); });
        if (end == run_end::broken || silent) {
            check_target_of(self, run);
        }
    }
    if (end != run_end::survived) {
        return;
    }
    for (auto& [number, target] : watch.broken) {
        target.in_flight.erase(ended.digest);
    }
    if (is_crash_suspect(*self, ended.digest)) {
        clear_request(*self, ended.digest, clearance::answer);
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
    const auto& broken = self.crashes.broken;
    return !broken.empty() && is_crash_suspect(self, digest) &&
           std::ranges::any_of(broken | std::views::values, [digest](const broken_target& target) {
               return target.being_asked && target.in_flight.contains(digest);
           });
}

loop::task<void> wait_for_checks(std::shared_ptr<host> self, std::uint64_t digest,
                                 kernel::time_point deadline) {
    while (is_being_checked(*self, digest) && self->now() < deadline) {
        co_await self->crashes.evidence_changed.wait(to_deadline(*self, deadline));
    }
}

target_state* choose_target_apart(host& self, std::string_view service, std::uint64_t digest,
                                  const std::set<std::string, std::less<>>& tried, bool may_reuse) {
    auto excluded = targets_with_suspects(self, digest);
    const bool apart = !excluded.empty();
    excluded.insert(tried.begin(), tried.end());
    auto from = self.here();
    from.connections = may_reuse ? from.connections : nullptr;
    auto* target = choose_target(self.targets, service, from, excluded, self.now());
    if (target == nullptr && apart) {
        target = choose_target(self.targets, service, from, tried, self.now());
    }
    return target;
}

void check_silent_runs(const std::shared_ptr<host>& self) {
    for (auto& [number, run] : self->crashes.runs) {
        const bool silent = self->now() - run.sent >= min_silence;
        if (silent && run.form == run_form::whole && !run.checked) {
            run.checked = true;
            check_target_of(self, number);
        }
    }
}

void announce_quarantine(host& self, std::uint64_t digest, std::string_view basis) {
    auto& watch = self.crashes;
    report_quarantine(self, digest, self.settings.host, basis);
    watch.store_at = self.now() + watch.rules.confirmation_delay;
    watch.news.insert(digest);
    watch.changed.open();
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
