#include "front/count_exchange.hpp"

#include "front/json.hpp"
#include "kernel/number.hpp"
#include "loop/gather.hpp"
#include "loop/spawn.hpp"

#include <algorithm>
#include <functional>
#include <ranges>

namespace cornelloom::front {

namespace {

constexpr loop::milliseconds counts_timeout{600};
constexpr loop::milliseconds counts_connect_timeout{250};
/// Load comes in bursts, one per training step; with this interval a peak is known within a third
/// of a step.
constexpr loop::milliseconds gather_interval{1500};
/// Windows over which peak demand is taken: the bursts of a late trainer are this far apart.
constexpr window_number demand_windows = 3;
/// Hosts asked in each zone: its feeder, and another one in case the feeder has changed recently.
constexpr std::size_t max_zone_hosts_asked = 2;

/// A host that is killed loses the counts of about this time.
constexpr loop::milliseconds push_interval{200};
/// States the time of day of the host that answers, in Unix milliseconds.
constexpr std::string_view time_header = "Cornelloom-Unix-Ms";

/// Records the time of day that an answer states.
void record_time_of(host& self, const transport::endpoint& where, time_point sent,
                    const loop::call_outcome& outcome) {
    const auto text = transport::find_header(outcome.answer.headers, time_header).value_or("");
    if (const auto unix_ms = kernel::parse_integer<std::int64_t>(text)) {
        record_peer_time(self, where, *unix_ms, sent);
    }
}

report_rules rules_of(const host& self) {
    return report_rules_for(self.settings.duties ? self.settings.duties->usage_report_timeout
                                                 : milliseconds(0));
}

/// The oldest window that may still be reported.
window_number oldest_window(host& self) {
    const auto now = unix_now(self);
    return window_of(self.usage, now - rules_of(self).retention.count());
}

/// Encodes usage and demand counts of the windows from `first` to `last`.
std::string encode_counts(const host& self, window_number first, window_number last,
                          std::string_view process = {}) {
    const nlohmann::json out = {{"usage", encode_windows(self.usage, first, last, process)},
                                {"demand", encode_windows(self.demand, first, last, process)}};
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void merge_windows(host& self, window_counts& counts, const nlohmann::json& value) {
    const auto received = decode_windows(value);
    if (!received) {
        report_unreadable(self, "counts", {}, received.error().detail);
        return;
    }
    merge(counts, received.value());
}

loop::task<bool> request_counts(std::shared_ptr<host> self, transport::endpoint where,
                                window_number window) {
    transport::http_request counts_request;
    counts_request.path = counts_path;
    counts_request.query = "window=" + std::to_string(window);
    counts_request.headers.push_back({"Host", "peer"});
    const auto sent = self->clock.boot_now();
    const auto outcome = co_await loop::call(self->connections, where, std::move(counts_request),
                                             loop::after(counts_timeout), counts_connect_timeout);
    if (outcome.fault != loop::exchange_fault::none || outcome.answer.status != 200) {
        co_return false;
    }
    record_time_of(*self, where, sent, outcome);
    merge_counts(*self, outcome.answer.body);
    co_return true;
}

/// Requests the counts from hosts of one zone, in order; false if none of them responded.
loop::task<bool> request_zone_counts(std::shared_ptr<host> self, std::vector<host_entry> hosts,
                                     window_number window) {
    std::size_t answered = 0;
    for (const auto& peer : hosts) {
        const bool responded = co_await request_counts(self, peer.address, window);
        answered += responded ? 1 : 0;
        if (answered == max_zone_hosts_asked) {
            break;
        }
    }
    co_return answered > 0;
}

/// Whether the peer has taken the counts.
loop::task<bool> push_counts(std::shared_ptr<host> self, transport::endpoint where,
                             std::string body, loop::deadline until) {
    transport::http_request message;
    message.method = "POST";
    message.path = counts_path;
    message.headers.push_back({"Host", "peer"});
    message.body = std::move(body);
    const auto sent = self->clock.boot_now();
    const auto outcome = co_await loop::call(self->connections, where, std::move(message), until,
                                             counts_connect_timeout);
    record_time_of(*self, where, sent, outcome);
    co_return loop::status_of(outcome) == 200;
}

/// Sends this host's counts to the first two hosts of its zone that take them. True if any did, or
/// there is no other host.
loop::task<bool> push_to_zone(std::shared_ptr<host> self, std::string body) {
    const auto hosts = ranked_zone_hosts(self->settings.zone, self->peers);
    std::size_t taken = 0;
    for (const auto& peer : hosts) {
        const bool answered =
            co_await push_counts(self, peer.address, body, loop::after(counts_timeout));
        taken += answered ? 1 : 0;
        if (taken == max_zone_hosts_asked) {
            break;
        }
    }
    co_return taken > 0 || hosts.empty();
}

/// Sends new counts to other hosts soon after they change.
loop::task<void> push_periodically(std::shared_ptr<host> self) {
    std::uint64_t pushed = 0;
    for (;;) {
        co_await loop::pause_for(self->io, push_interval);
        const auto changes = self->usage.changes;
        if (changes == pushed) {
            continue;
        }
        const auto now = unix_now(*self);
        const auto oldest = window_of(self->usage, now - rules_of(*self).cutoff.count());
        auto body = encode_counts(*self, oldest, window_of(self->usage, now), counter_name(*self));
        const bool known_elsewhere = co_await push_to_zone(self, std::move(body));
        pushed = known_elsewhere ? changes : pushed;
    }
}

loop::task<void> gather_periodically(std::shared_ptr<host> self) {
    for (;;) {
        co_await wait_for_lease(self);
        co_await gather_counts(self, window_of(self->demand, unix_now(*self)));
        co_await loop::pause_for(self->io, gather_interval);
    }
}

} // namespace

std::string encode_own_counts(host& self) {
    const auto newest = window_of(self.usage, unix_now(self));
    return encode_counts(self, oldest_window(self), newest, counter_name(self));
}

void merge_counts(host& self, std::string_view text) {
    if (text.empty()) {
        return;
    }
    const auto received = parse_json(text);
    if (!received.is_object()) {
        report_unreadable(self, "counts", {}, "expected a JSON object");
        return;
    }
    merge_windows(self, self.usage, received.value("usage", nlohmann::json::object()));
    merge_windows(self, self.demand, received.value("demand", nlohmann::json::object()));
}

loop::task<void> serve_counts(std::shared_ptr<host> self, loop::served_request& request) {
    merge_counts(*self, request.message.body);
    const auto asked = transport::find_query(request.message.query, "window").value_or("");
    const auto window = kernel::parse_integer<window_number>(asked);
    transport::http_response answer{
        200, {{std::string(time_header), std::to_string(unix_now(*self))}}, {}};
    if (window) {
        answer.body = encode_counts(*self, *window, *window);
    }
    co_await request.answer(std::move(answer));
}

loop::task<bool> gather_counts(std::shared_ptr<host> self, window_number window) {
    std::vector<loop::task<bool>> calls;
    for (const auto& [zone, region] : self->settings.region_of_zone) {
        auto hosts = ranked_zone_hosts(zone, self->peers);
        if (!hosts.empty()) {
            calls.push_back(request_zone_counts(self, std::move(hosts), window));
        }
    }
    const auto answered = co_await loop::gather(self->io, std::move(calls));
    co_return std::ranges::all_of(answered, std::identity{});
}

loop::task<void> send_all_counts(std::shared_ptr<host> self, loop::deadline until) {
    const auto hosts = ranked_zone_hosts(self->settings.zone, self->peers);
    if (self->usage.windows.empty() || hosts.empty()) {
        co_return;
    }
    const auto newest = window_of(self->usage, unix_now(*self));
    const auto body = encode_counts(*self, oldest_window(*self), newest);
    const auto limit = std::min(until, loop::after(counts_timeout));
    std::vector<loop::task<bool>> calls;
    for (const auto& peer : hosts | std::views::take(max_zone_hosts_asked)) {
        calls.push_back(push_counts(self, peer.address, body, limit));
    }
    co_await loop::gather(self->io, std::move(calls));
}

void record_demand(host& self,
                   const std::map<std::string, std::uint64_t, std::less<>>& in_progress) {
    const auto now = unix_now(self);
    for (const auto& [model, items] : in_progress) {
        if (items > 0) {
            record_peak(self.demand, counter_name(self), model, now, items);
        }
    }
}

std::uint64_t peak_demand(host& self, std::string_view model) {
    const auto newest = window_of(self.demand, unix_now(self));
    std::uint64_t out = 0;
    for (auto window = newest - demand_windows + 1; window <= newest; ++window) {
        const auto sum = totals(self.demand, window);
        const auto found = sum.find(model);
        out = std::max(out, found == sum.end() ? 0 : found->second);
    }
    return out;
}

void start_gathering(const std::shared_ptr<host>& self) {
    loop::keep_running(self->io, "gather counts", [self] { return gather_periodically(self); });
    if (self->settings.duties && self->settings.duties->reports_usage) {
        loop::keep_running(self->io, "push counts", [self] { return push_periodically(self); });
    }
}

void drop_old_counts(host& self) {
    drop_before(self.usage, oldest_window(self));
    drop_before(self.demand, oldest_window(self));
}

} // namespace cornelloom::front
