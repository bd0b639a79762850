#include "front/usage_reporter.hpp"

#include "front/count_exchange.hpp"
#include "front/usage_report.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

constexpr std::string_view report_name = "newest";
/// How often the leader looks whether a window is due.
constexpr loop::milliseconds look_every{300};
/// A report must not arrive after those of the next leader: see `lease_rules::turn`.
constexpr loop::milliseconds report_limit{800};
constexpr loop::milliseconds report_connect{300};
constexpr int status_too_many = 429;

/// The newest report that is stored.
struct stored_report {
    usage_report report{};
    std::uint64_t revision = 0; ///< 0: none is stored.
    bool accepted = false;      ///< The platform has taken it, as far as this process knows.
};

struct reporter {
    explicit reporter(std::shared_ptr<host> owner) : self(std::move(owner)) {}

    std::shared_ptr<host> self;
    std::uint64_t fence = 0; ///< Of the lease under which `newest` was read.
    std::optional<stored_report> newest{};
    window_number first = 0; ///< Reports begin here if none is stored.
};

/// Reads what the leader before has stored; false if the store can't tell.
loop::task<bool> read_newest(reporter& one) {
    auto self = one.self;
    const auto answer = co_await call_store(
        self->store, self->wire.get(object_kind::usage_reports, report_name, false));
    if (answer.fault == store_fault::not_found) {
        one.newest = stored_report{};
        co_return true;
    }
    if (answer.fault != store_fault::none) {
        co_return false;
    }
    const auto object = self->wire.object(answer.body);
    const auto report = object ? decode_report(object.value().specification)
                               : kernel::result<usage_report>(object.error());
    if (!report) {
        note(*self, object_unreadable,
             {{"kind", "usage_reports"}, {"problem", report.error().detail}});
        co_return false;
    }
    one.newest = stored_report{report.value(), object.value().revision, false};
    co_return true;
}

store_request report_write(const host& self, std::string_view text, std::uint64_t revision) {
    const auto kind = object_kind::usage_reports;
    return revision == 0 ? self.wire.create(kind, report_name, text)
                         : self.wire.replace(kind, report_name, text, revision);
}

/// Settles what is reported of the window; false if it is not known to be stored.
loop::task<bool> store_report(reporter& one, window_number window) {
    auto self = one.self;
    const usage_report report{window, totals(self->usage, window)};
    const auto text = encode_report(report);
    const auto write = report_write(*self, text, one.newest->revision);
    const auto answer = co_await call_store(self->store, write);
    const auto object = self->wire.object(answer.body);
    if (answer.fault != store_fault::none || !object) {
        // It may be stored all the same, or another leader has stored one: that is read again.
        one.newest.reset();
        co_return false;
    }
    one.newest = stored_report{report, object.value().revision, false};
    co_return true;
}

/// Sends the stored report.
loop::task<void> send_report(reporter& one) {
    auto self = one.self;
    const auto report = one.newest->report;
    const duty_sender sender{self->settings.host, self->lead.view.fence};
    const auto outcome = co_await loop::call(self->connections, self->settings.duties->where,
                                             self->wire.usage(report, sender),
                                             loop::after(report_limit), report_connect);
    const int status = status_of(outcome);
    const auto over = begin_of(self->usage, report.window + 1);
    note(*self, usage_reported,
         {{"window", report.window},
          {"accounts", static_cast<std::uint64_t>(report.counts.size())},
          {"fence", sender.fence},
          {"status", status},
          {"fault", to_string(outcome.fault)},
          {"since_end_ms", self->clock.wall_now().unix_ms - over}});
    const bool again = status == 0 || status == status_too_many || status >= 500;
    self->metrics.count("cornelloom_usage_reports_total",
                        std::array{kernel::label{"outcome", again           ? "again"
                                                            : status == 200 ? "accepted"
                                                                            : "refused"}});
    if (one.newest) {
        one.newest->accepted = !again;
    }
}

/// Gathers, stores and sends the next window that is due.
loop::task<void> report_next(reporter& one) {
    auto self = one.self;
    const auto rules = rules_for(self->settings.duties->usage_due);
    const auto last =
        one.newest->revision == 0 ? std::nullopt : std::optional(one.newest->report.window);
    const auto window =
        next_window(self->usage, last, one.first, self->clock.wall_now().unix_ms, rules);
    if (!window) {
        co_return;
    }
    const bool whole = co_await gather_counts(self, *window);
    const bool late = is_late(self->usage, *window, self->clock.wall_now().unix_ms, rules);
    if ((!whole && !late) || !leads(*self)) {
        co_return;
    }
    const bool stored = co_await store_report(one, *window);
    if (stored && leads(*self)) {
        co_await send_report(one);
    }
}

loop::task<void> step(reporter& one) {
    if (one.fence != one.self->lead.view.fence) {
        one.fence = one.self->lead.view.fence;
        one.newest.reset();
    }
    if (!one.newest) {
        const bool known = co_await read_newest(one);
        if (!known || !leads(*one.self)) {
            co_return;
        }
    }
    if (one.newest->revision != 0 && !one.newest->accepted) {
        co_await send_report(one);
        co_return;
    }
    co_await report_next(one);
}

loop::task<void> run(std::shared_ptr<reporter> one) {
    auto self = one->self;
    one->first = window_at(self->usage, self->clock.wall_now().unix_ms);
    for (;;) {
        co_await wait_for_lease(self);
        if (leads(*self)) {
            co_await step(*one);
        }
        co_await loop::pause_for(self->io, look_every);
    }
}

} // namespace

void start_usage_reports(const std::shared_ptr<host>& self) {
    if (self->settings.duties && self->settings.duties->reports_usage) {
        loop::asio::co_spawn(self->io, run(std::make_shared<reporter>(self)), loop::asio::detached);
    }
}

} // namespace cornelloom::front
