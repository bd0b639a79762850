#include "front/age_plan.hpp"
#include "front/feed.hpp"
#include "front/feeder_choice.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <random>
#include <vector>

using namespace cornelloom::front;
using namespace std::chrono_literals;
using cornelloom::kernel::time_point;

namespace {

/// A zone of hosts that keep their copies of one kind by the rules of `age_plan`, in steps of a
/// simulated clock. Answers that are under way during a disturbance never come, and their callers
/// learn of it only by their own time limits.

constexpr milliseconds tick{10};
constexpr milliseconds max_latency{100};
constexpr milliseconds backoff{600};
constexpr milliseconds feeder_poll_timeout = feed_poll_wait + 500ms;
constexpr milliseconds poll_timeout_margin{1500};
const time_point day_start{1h};

struct span_of_time {
    time_point from;
    time_point to;
};

using spans = std::vector<span_of_time>;

bool overlaps(const spans& all, time_point from, time_point to) {
    return std::ranges::any_of(all,
                               [&](const auto& each) { return each.from <= to && from < each.to; });
}

enum class operation { none, read, poll, feed };

struct model_host {
    copy_state copy{};
    spans suspended{};
    spans cut{};
    operation running = operation::none;
    time_point started{};
    time_point answered{}; ///< When the answer comes unless it is lost.
    time_point until{};
    milliseconds wait{0};
    std::size_t feeder = 0;
    bool listed = false;
    bool watching = false;
    time_point paused_until{};
    std::optional<time_point> unserved{};
    std::vector<time_point> avoided_until{};
};

struct model_zone {
    age_plan plan;
    milliseconds stable_window{0};
    spans store_lost{};
    std::vector<model_host> hosts{};
    std::mt19937 random{};
    int reads = 0;
};

milliseconds any_latency(model_zone& zone) {
    return milliseconds(std::uniform_int_distribution<int>(
        static_cast<int>(tick.count()),
        static_cast<int>(std::min(max_latency, zone.plan.read_time / 2).count()))(zone.random));
}

void begin(model_host& self, operation what, time_point now, time_point answered,
           time_point until) {
    self.running = what;
    self.started = now;
    self.answered = answered;
    self.until = until;
}

void begin_read(model_zone& zone, model_host& self, time_point now) {
    ++zone.reads;
    self.copy.next_read_at = now + zone.plan.read_interval;
    begin(self, operation::read, now, now + any_latency(zone), now + zone.plan.read_timeout);
}

std::optional<std::size_t> choose_feeder(const model_host& self, std::size_t index,
                                         time_point now) {
    if (self.unserved && now - *self.unserved < feeder_avoidance_time) {
        return std::nullopt;
    }
    for (std::size_t other = 0; other < index; ++other) {
        if (self.avoided_until[other] <= now) {
            return other;
        }
    }
    return std::nullopt;
}

void decide(model_zone& zone, std::size_t index, time_point now) {
    auto& self = zone.hosts[index];
    const auto feeder = choose_feeder(self, index, now);
    self.watching = !feeder;
    const auto feeder_until = feeder_poll_until(self.copy, zone.plan, now);
    if (!feeder_until) {
        begin_read(zone, self, now);
        return;
    }
    if (feeder) {
        self.feeder = *feeder;
        self.listed = false;
        begin(self, operation::feed, now, now + feed_poll_wait,
              std::min(*feeder_until, now + feeder_poll_timeout));
        return;
    }
    if (!self.listed) {
        begin(self, operation::read, now, now + any_latency(zone),
              std::min(read_due(self.copy, zone.plan), now + poll_timeout_margin));
        return;
    }
    const auto wait = next_poll_wait(self.copy, zone.plan, now);
    if (!wait) {
        begin_read(zone, self, now);
        return;
    }
    self.wait = *wait;
    begin(self, operation::poll, now, now + *wait + any_latency(zone),
          std::min(read_due(self.copy, zone.plan), now + *wait + poll_timeout_margin));
}

void fail(model_zone& zone, model_host& self, time_point now) {
    self.running = operation::none;
    self.listed = false;
    self.paused_until = std::min(now + backoff, read_due(self.copy, zone.plan));
}

void progress_store_call(model_zone& zone, model_host& self, time_point now) {
    const bool lost = overlaps(zone.store_lost, self.started, self.answered) ||
                      overlaps(self.cut, self.started, self.answered);
    if (!lost && now >= self.answered) {
        const auto confirmed = self.running == operation::read
                                   ? self.started
                                   : confirmed_by_poll(self.started, now, self.wait, zone.plan);
        self.copy.confirmed_at = std::max(self.copy.confirmed_at, confirmed);
        self.copy.next_read_at = {};
        self.listed = true;
        self.running = operation::none;
    } else if (now >= self.until) {
        fail(zone, self, now);
    }
}

void avoid(model_host& self, time_point now) {
    self.avoided_until[self.feeder] = now + feeder_avoidance_time;
    self.running = operation::none;
}

void progress_feed(model_zone& zone, model_host& self, time_point now) {
    auto& feeder = zone.hosts[self.feeder];
    if (now >= self.until) {
        avoid(self, now);
        return;
    }
    if (overlaps(feeder.suspended, now, now)) {
        return;
    }
    const bool can_serve =
        feeder.watching && feeder.listed && servable_until(feeder.copy, zone.plan) >= now;
    const bool is_newer = feeder.copy.confirmed_at > self.copy.confirmed_at + min_age_gain;
    if (can_serve && (is_newer || now >= self.answered)) {
        self.copy.confirmed_at = std::max(self.copy.confirmed_at, feeder.copy.confirmed_at);
        self.running = operation::none;
    } else if (!can_serve && ((feeder.watching && feeder.listed) || now >= self.answered)) {
        avoid(self, now);
    } else if (!can_serve) {
        feeder.unserved = now;
    }
}

void progress(model_zone& zone, std::size_t index, time_point now) {
    auto& self = zone.hosts[index];
    if (overlaps(self.suspended, now, now) || now < self.paused_until) {
        return;
    }
    switch (self.running) {
    case operation::none:
        decide(zone, index, now);
        break;
    case operation::feed:
        progress_feed(zone, self, now);
        break;
    default:
        progress_store_call(zone, self, now);
    }
}

void progress_all(model_zone& zone, time_point now) {
    for (std::size_t index = 0; index < zone.hosts.size(); ++index) {
        progress(zone, index, now);
    }
}

/// Whether the time bounds hold for the host.
bool is_undisturbed(const model_zone& zone, const model_host& self, time_point now) {
    const auto since = now - zone.stable_window;
    return since >= day_start && !overlaps(self.suspended, since, now) &&
           !overlaps(self.cut, since, now) && !overlaps(zone.store_lost, since, now);
}

model_zone make_zone(const host_settings& settings, object_kind kind, std::size_t hosts,
                     unsigned seed) {
    model_zone out;
    out.plan = plan_age(kind, settings);
    out.stable_window = settings.stable_window;
    out.hosts.resize(hosts);
    out.random.seed(seed);
    for (auto& host : out.hosts) {
        host.copy.next_read_at = day_start + out.plan.read_interval;
        host.avoided_until.resize(hosts);
    }
    return out;
}

span_of_time any_span(milliseconds day) {
    const auto from = day_start + milliseconds(*rc::gen::inRange<int>(0, int(day.count())));
    return {from, from + milliseconds(*rc::gen::inRange(1, 9000))};
}

/// Any host may be suspended or cut off, several at once, and the store may lose all answers.
void disturb(model_zone& zone, milliseconds day) {
    const int count = *rc::gen::inRange(0, 8);
    for (int each = 0; each < count; ++each) {
        const auto what = *rc::gen::inRange(0, 5);
        auto& host = zone.hosts[*rc::gen::inRange<std::size_t>(0, zone.hosts.size())];
        auto& disturbed = what == 0 ? zone.store_lost : what <= 2 ? host.cut : host.suspended;
        disturbed.push_back(any_span(day));
    }
}

} // namespace

TEST_CASE(
    "no copy of a host for which the bounds hold is older than its bound, whichever hosts fail",
    "[front][watch][age][model]") {
    // Failure: time-outs, lists, back-offs and changes of feeders, each within the bound, added up
    // to an older configuration at a host that was well all the while.
    CHECK(rc::check("for all bounds of a deployment and all disturbances", [] {
        const auto seconds = [](int least, int most) {
            return milliseconds(*rc::gen::inRange(least * 1000, most * 1000));
        };
        host_settings settings;
        settings.stable_window = seconds(1, 8);
        settings.config_apply_bound = seconds(1, 8);
        settings.drain_bound = seconds(1, 8);
        if (*rc::gen::arbitrary<bool>()) {
            settings.revocation_bound = seconds(1, 8);
        }
        const auto kind = *rc::gen::element(object_kind::configuration, object_kind::targets);
        auto zone = make_zone(settings, kind, *rc::gen::inRange<std::size_t>(1, 9),
                              *rc::gen::arbitrary<unsigned>());
        const milliseconds day{30000};
        disturb(zone, day);
        for (auto now = day_start; now < day_start + day; now += tick) {
            progress_all(zone, now);
            RC_ASSERT(std::ranges::all_of(zone.hosts, [&](const model_host& host) {
                return !is_undisturbed(zone, host, now) ||
                       now - host.copy.confirmed_at <= zone.plan.bound;
            }));
        }
    }));
}

TEST_CASE("without disturbance no host but the one that watches reads the store",
          "[front][watch][age][model]") {
    // Guards against a zone of hosts that each call the store all the time.
    CHECK(rc::check("for all bounds of the pages", [] {
        host_settings settings;
        settings.stable_window = milliseconds(*rc::gen::inRange(4000, 6001));
        settings.config_apply_bound = milliseconds(*rc::gen::inRange(2500, 6001));
        auto zone =
            make_zone(settings, object_kind::configuration, 8, *rc::gen::arbitrary<unsigned>());
        for (auto now = day_start; now < day_start + 30s; now += tick) {
            progress_all(zone, now);
        }
        RC_ASSERT(zone.reads == 0);
    }));
}
