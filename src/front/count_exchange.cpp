#include "front/count_exchange.hpp"

#include "kernel/number.hpp"
#include "loop/gather.hpp"

#include <algorithm>
#include <functional>
#include <ranges>

namespace cornelloom::front {

namespace {

constexpr loop::milliseconds usage_limit{600};
constexpr loop::milliseconds usage_connect{250};
/// Bursts come with each step; a peak is known within a third of a step.
constexpr loop::milliseconds gather_every{1500};
/// The bursts of a trainer that is late come so many windows apart.
constexpr window_number windows_judged = 3;
/// Hosts of a zone that are asked: its feeder, and the one before that in case it has changed.
constexpr std::size_t feeders_asked = 2;

report_rules rules_of(const host& self) {
    return rules_for(self.settings.duties ? self.settings.duties->usage_due : milliseconds(0));
}

/// The oldest window that may still be reported.
window_number oldest_window(const host& self) {
    const auto now = self.clock.wall_now().unix_ms;
    return window_at(self.usage, now - rules_of(self).kept.count());
}

/// Both kinds of counts, of windows from `first` to `last`.
std::string encode_counts(const host& self, window_number first, window_number last,
                          std::string_view counter = {}) {
    const nlohmann::json out = {{"usage", encode_windows(self.usage, first, last, counter)},
                                {"demand", encode_windows(self.demand, first, last, counter)}};
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void take_windows(host& self, window_counts& book, const nlohmann::json& value) {
    const auto told = decode_windows(value);
    if (!told) {
        note(self, object_unreadable, {{"kind", "counts"}, {"problem", told.error().detail}});
        return;
    }
    merge(book, told.value());
}

loop::task<bool> ask_host(std::shared_ptr<host> self, transport::endpoint where,
                          window_number window) {
    transport::http_request question;
    question.path = counts_path;
    question.query = "window=" + std::to_string(window);
    question.headers.push_back({"Host", "peer"});
    const auto outcome =
        co_await loop::call(self->connections, std::move(where), std::move(question),
                            loop::after(usage_limit), usage_connect);
    if (outcome.fault != loop::exchange_fault::none || outcome.answer.status != 200) {
        co_return false;
    }
    take_counts(*self, outcome.answer.body);
    co_return true;
}

/// Asks hosts of one zone, in order; false if none of them has answered.
loop::task<bool> ask_zone(std::shared_ptr<host> self, std::vector<host_entry> hosts,
                          window_number window) {
    std::size_t answered = 0;
    for (const auto& peer : hosts) {
        const bool served = co_await ask_host(self, peer.where, window);
        answered += served ? 1 : 0;
        if (answered == feeders_asked) {
            break;
        }
    }
    co_return answered > 0;
}

loop::task<void> keep_gathering(std::shared_ptr<host> self) {
    for (;;) {
        co_await wait_for_lease(self);
        co_await gather_counts(self, window_at(self->demand, self->clock.wall_now().unix_ms));
        co_await loop::pause_for(self->io, gather_every);
    }
}

} // namespace

std::string encode_own_counts(const host& self) {
    const auto newest = window_at(self.usage, self.clock.wall_now().unix_ms);
    return encode_counts(self, oldest_window(self), newest, counter_name(self));
}

void take_counts(host& self, std::string_view text) {
    if (text.empty()) {
        return;
    }
    const auto told = nlohmann::json::parse(text, nullptr, false);
    if (!told.is_object()) {
        note(self, object_unreadable, {{"kind", "counts"}, {"problem", "no JSON object"}});
        return;
    }
    take_windows(self, self.usage, told.value("usage", nlohmann::json::object()));
    take_windows(self, self.demand, told.value("demand", nlohmann::json::object()));
}

loop::task<void> serve_counts(std::shared_ptr<host> self, loop::served_request& request) {
    take_counts(*self, request.message.body);
    const auto asked = transport::find_query(request.message.query, "window").value_or("");
    const auto window = kernel::parse_integer<window_number>(asked);
    transport::http_response answer{200, {}, {}};
    if (window) {
        answer.body = encode_counts(*self, *window, *window);
    }
    co_await request.answer(std::move(answer));
}

loop::task<bool> gather_counts(std::shared_ptr<host> self, window_number window) {
    std::vector<loop::task<bool>> calls;
    for (const auto& [zone, region] : self->settings.region_of_zone) {
        auto hosts = order_of_zone(zone, self->peers);
        if (!hosts.empty()) {
            calls.push_back(ask_zone(self, std::move(hosts), window));
        }
    }
    const auto answered = co_await loop::gather(self->io, std::move(calls));
    co_return std::ranges::all_of(answered, std::identity{});
}

loop::task<void> hand_counts_over(std::shared_ptr<host> self) {
    const auto hosts = order_of_zone(self->settings.zone, self->peers);
    if (self->usage.windows.empty() || hosts.empty()) {
        co_return;
    }
    const auto newest = window_at(self->usage, self->clock.wall_now().unix_ms);
    for (const auto& peer : hosts | std::views::take(feeders_asked)) {
        transport::http_request message;
        message.method = "POST";
        message.path = counts_path;
        message.headers.push_back({"Host", "peer"});
        message.body = encode_counts(*self, oldest_window(*self), newest);
        co_await loop::call(self->connections, peer.where, std::move(message),
                            loop::after(usage_limit), usage_connect);
    }
}

void note_demand(host& self, const std::map<std::string, std::uint64_t, std::less<>>& in_work) {
    const auto now = self.clock.wall_now().unix_ms;
    for (const auto& [model, items] : in_work) {
        if (items > 0) {
            add_peak(self.demand, counter_name(self), model, now, items);
        }
    }
}

std::uint64_t peak_demand(const host& self, std::string_view model) {
    const auto newest = window_at(self.demand, self.clock.wall_now().unix_ms);
    std::uint64_t out = 0;
    for (auto window = newest - windows_judged + 1; window <= newest; ++window) {
        const auto sum = totals(self.demand, window);
        const auto found = sum.find(model);
        out = std::max(out, found == sum.end() ? 0 : found->second);
    }
    return out;
}

void start_gathering(const std::shared_ptr<host>& self) {
    loop::asio::co_spawn(self->io, keep_gathering(self), loop::asio::detached);
}

void forget_old_counts(host& self) {
    forget_before(self.usage, oldest_window(self));
    forget_before(self.demand, oldest_window(self));
}

} // namespace cornelloom::front
