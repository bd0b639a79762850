#include "front/usage_reporter.hpp"

#include "front/count_exchange.hpp"
#include "front/unframed_answer.hpp"
#include "front/usage_report.hpp"
#include "loop/spawn.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

constexpr std::string_view report_object_name = "newest";
/// How often the leader checks whether a window is due.
constexpr loop::milliseconds check_interval{300};
/// Short enough that no report arrives after those of the next leader; see
/// `lease_rules::handover_delay`.
constexpr loop::milliseconds report_timeout{800};
constexpr loop::milliseconds connect_timeout{300};
constexpr int status_too_many_requests = 429;
/// Windows by which the clock of another host may be ahead.
constexpr window_number max_window_difference = 1;

/// The last report in the store.
struct stored_report {
    usage_report report{};
    std::uint64_t revision = 0; ///< 0: the store has no report.
    bool delivered = false;     ///< Known here to be accepted or refused for good.
    bool is_readable = true;    ///< Otherwise the next report replaces it.
};

/// State of the usage reports.
struct reporter_state {
    explicit reporter_state(std::shared_ptr<host> owner) : self(std::move(owner)) {}

    std::shared_ptr<host> self;
    std::uint64_t fence = 0; ///< Fencing token of the lease under which `last_stored` was read.
    std::optional<stored_report> last_stored{};
    window_number first_window = 0; ///< The first window to report if none is stored.
};

/// The report of an object; a window that has not begun yet is a fault of the report.
kernel::result<usage_report> read_report(host& self, const stored_object& object) {
    auto report = decode_report(object.specification);
    const auto newest = window_of(self.usage, unix_now(self)) + max_window_difference;
    if (report && (report.value().window < 0 || report.value().window > newest)) {
        return kernel::error{kernel::error_code::invalid_input, "window is out of range"};
    }
    return report;
}

/// Reads the report that the previous leader stored; false if the read failed.
loop::task<bool> read_last_stored(reporter_state& state) {
    auto self = state.self;
    const auto answer =
        co_await call_store(self->store, self->platform_adapter.get(object_kind::usage_reports,
                                                                    report_object_name, false));
    if (answer.fault == store_outcome::not_found) {
        state.last_stored = stored_report{};
        co_return true;
    }
    if (answer.fault != store_outcome::none) {
        co_return false;
    }
    const auto object = self->platform_adapter.object(answer.body);
    if (!object) {
        report_unreadable(*self, "usage_reports", report_object_name, object.error().detail);
        co_return false;
    }
    const auto report = read_report(*self, object.value());
    const auto revision = object.value().revision;
    if (report) {
        state.last_stored = stored_report{report.value(), revision, false};
    } else {
        report_unreadable(*self, "usage_reports", report_object_name, report.error().detail);
        state.last_stored = stored_report{{}, revision, true, false};
    }
    co_return true;
}

store_request report_write_request(const host& self, std::string_view text,
                                   std::uint64_t revision) {
    const auto kind = object_kind::usage_reports;
    return revision == 0 ? self.platform_adapter.create(kind, report_object_name, text)
                         : self.platform_adapter.replace(kind, report_object_name, text, revision);
}

/// Stores the report of the window; false if the write is not known to have succeeded.
loop::task<bool> store_report(reporter_state& state, window_number window) {
    auto self = state.self;
    const usage_report report{window, totals(self->usage, window)};
    const auto text = encode_report(report);
    const auto write = report_write_request(*self, text, state.last_stored->revision);
    const auto answer = co_await call_store(self->store, write);
    const auto object = self->platform_adapter.object(answer.body);
    if (answer.fault != store_outcome::none || !object) {
        // The write may have succeeded anyway, or another leader may have stored a report: read
        // again.
        state.last_stored.reset();
        co_return false;
    }
    state.last_stored = stored_report{report, object.value().revision, false};
    co_return true;
}

/// Sends the stored report to the platform.
loop::task<void> send_report(reporter_state& state) {
    auto self = state.self;
    const auto report = state.last_stored->report;
    const duty_sender sender{self->settings.host, self->lead.view.fence};
    const auto outcome =
        take_status(co_await loop::call(self->connections, self->settings.duties->address,
                                        self->platform_adapter.usage(report, sender),
                                        loop::after(report_timeout), connect_timeout));
    const int status = status_of(outcome);
    const auto window_end_ms = window_start(self->usage, report.window + 1);
    log_event(*self, usage_reported,
              {{"window", report.window},
               {"accounts", static_cast<std::uint64_t>(report.counts.size())},
               {"fence", sender.fence},
               {"status", status},
               {"fault", to_string(outcome.fault)},
               {"since_end_ms", unix_now(*self) - window_end_ms}});
    const bool retry = status == 0 || status == status_too_many_requests || status >= 500;
    self->metrics.count("cornelloom_usage_reports_total",
                        std::array{kernel::label{"outcome", retry           ? "again"
                                                            : status == 200 ? "accepted"
                                                                            : "refused"}});
    if (state.last_stored) {
        state.last_stored->delivered = !retry;
    }
}

/// Collects, stores and sends the counts of the next window that is due.
loop::task<void> report_next(reporter_state& state) {
    auto self = state.self;
    const auto rules = report_rules_for(self->settings.duties->usage_report_timeout);
    const bool is_known = state.last_stored->revision != 0 && state.last_stored->is_readable;
    const auto last = is_known ? std::optional(state.last_stored->report.window) : std::nullopt;
    const auto window =
        next_window_to_report(self->usage, last, state.first_window, unix_now(*self), rules);
    if (!window) {
        co_return;
    }
    const bool complete = co_await gather_counts(self, *window);
    const bool cutoff_passed = past_cutoff(self->usage, *window, unix_now(*self), rules);
    if ((!complete && !cutoff_passed) || !is_leader(*self)) {
        co_return;
    }
    const bool stored = co_await store_report(state, *window);
    if (stored && is_leader(*self)) {
        co_await send_report(state);
    }
}

loop::task<void> advance(reporter_state& state) {
    if (state.fence != state.self->lead.view.fence) {
        state.fence = state.self->lead.view.fence;
        state.last_stored.reset();
    }
    if (!state.last_stored) {
        const bool was_read = co_await read_last_stored(state);
        if (!was_read || !is_leader(*state.self)) {
            co_return;
        }
    }
    if (state.last_stored->revision != 0 && !state.last_stored->delivered) {
        co_await send_report(state);
        co_return;
    }
    co_await report_next(state);
}

loop::task<void> run(std::shared_ptr<reporter_state> state) {
    auto self = state->self;
    state->first_window = window_of(self->usage, unix_now(*self));
    for (;;) {
        co_await wait_for_lease(self);
        if (is_leader(*self)) {
            co_await advance(*state);
        }
        co_await loop::pause_for(self->io, check_interval);
    }
}

} // namespace

void start_usage_reports(const std::shared_ptr<host>& self) {
    if (self->settings.duties && self->settings.duties->reports_usage) {
        loop::keep_running(self->io, "usage reports",
                           [state = std::make_shared<reporter_state>(self)] { return run(state); });
    }
}

} // namespace cornelloom::front
