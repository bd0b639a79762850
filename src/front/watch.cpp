#include "front/watch.hpp"

#include "front/age_plan.hpp"
#include "front/feed.hpp"
#include "loop/spawn.hpp"

#include <algorithm>
#include <array>
#include <iterator>

namespace cornelloom::front {

namespace {

/// Wait of a long poll that a peer relays: short, since the peer may lose its connection as well.
constexpr milliseconds relayed_poll_wait{2000};
/// The timeout of a long poll at the store exceeds its wait by this.
constexpr milliseconds poll_timeout_margin{1500};
/// Part of the interval between two reads of an old copy that is random, since hosts begin
/// together.
constexpr double read_interval_jitter = 0.25;
/// The timeout of a poll at a feeder exceeds its wait by this: a round trip within the zone and
/// the feeder's scheduling delay on a small CPU share.
constexpr loop::milliseconds feed_timeout_margin{500};
constexpr loop::milliseconds feed_connect_timeout{250};
/// Interval of the check whether this host needs a kind that only some hosts need.
constexpr loop::milliseconds need_check_interval{300};

using watched_kind_ptr = std::shared_ptr<watched_kind>;

void record_store_contact(host& self, watched_kind& watched, store_outcome fault) {
    const bool lost = fault == store_outcome::refused || fault == store_outcome::unknown;
    if (lost == watched.store_lost) {
        return;
    }
    watched.store_lost = lost;
    if (lost) {
        self.store_failed = true;
        self.startup_changed.open();
    }
    log_event(
        self, lost ? platform_lost : platform_back,
        {{"watch", to_string(watched.kind)}, {"at", watched.at}, {"fault", to_string(fault)}});
    if (!lost && watched.kind == object_kind::targets) {
        defer_removals(self);
    }
}

/// Limits of an object that another writer may have left among those of a kind. Entries of targets
/// and hosts have a few hundred bytes.
constexpr kernel::json_limits small_object_limits{16384, 32, 1024};

void report_unnamed(host& self, object_kind kind, std::size_t unnamed) {
    for (std::size_t each = 0; each < unnamed; ++each) {
        report_unreadable(self, to_string(kind), {}, "name or revision can't be read");
    }
}

age_plan plan_of(const host& self, const watched_kind& watched) {
    return plan_age(watched.kind, self.settings);
}

/// Converts a time of `boot_now` to a deadline for socket operations.
loop::deadline boot_deadline(const host& self, time_point when) {
    return loop::steady_clock::now() +
           std::chrono::duration_cast<loop::steady_clock::duration>(when - self.clock.boot_now());
}

/// When this host has to read the kind itself unless its copy is confirmed before.
loop::deadline read_deadline(host& self, const watched_kind& watched) {
    return boot_deadline(self, read_due(self.copies[watched.kind], plan_of(self, watched)));
}

/// How a list is read.
struct list_options {
    bool may_be_stale = false;
    path_choice path = path_choice::any;
    loop::deadline until = loop::deadline::max(); ///< No call goes on after this.
};

copy_source source_of(const store_response& response) {
    return response.relayed ? copy_source::relay : copy_source::store;
}

/// All objects of a kind.
struct object_list : object_page {
    copy_source source = copy_source::none;
};

/// Reads all objects of a kind, page by page; false if a call failed or a page was unreadable. The
/// pages may miss changes made since the first one, so `out.at` is the revision of the first page.
loop::task<bool> read_all_pages(std::shared_ptr<host> self, watched_kind_ptr watched,
                                list_options options, object_list& out) {
    std::string after;
    for (bool more = true; more;) {
        auto response = co_await call_store(
            self->store, self->platform_adapter.list(watched->kind, after, options.may_be_stale),
            store_call_timeout, options.path, options.until);
        record_store_contact(*self, *watched, response.fault);
        if (response.fault != store_outcome::none) {
            co_return false;
        }
        auto page = self->platform_adapter.page(response.body, object_limits(watched->kind));
        if (!page) {
            report_unreadable(*self, to_string(watched->kind), {}, page.error().detail);
            co_return false;
        }
        report_unnamed(*self, watched->kind, page.value().unnamed);
        out.at = out.at == 0 ? page.value().at : out.at;
        out.source = source_of(response);
        std::ranges::move(page.value().items, std::back_inserter(out.items));
        const auto last = out.items.empty() ? std::string() : out.items.back().name;
        more = page.value().has_more;
        if (more && last == after) {
            report_unreadable(*self, to_string(watched->kind), after, "no name to continue from");
            co_return false;
        }
        after = last;
    }
    co_return true;
}

void update_known_names(watched_kind& watched, std::span<const object_change> changes) {
    for (const auto& change : changes) {
        if (change.deleted) {
            watched.known_names.erase(change.object.name);
        } else {
            watched.known_names.insert(change.object.name);
        }
    }
}

loop::task<bool> list_and_cache(std::shared_ptr<host> self, watched_kind_ptr watched,
                                list_options options) {
    object_list all;
    const auto requested_at = self->clock.boot_now();
    const bool complete = co_await read_all_pages(self, watched, options, all);
    if (!complete) {
        co_return false;
    }
    record_source(*self, watched->kind, all.source);
    cache_list(*self, watched->kind, all.items, all.at);
    watched->known_names.clear();
    for (const auto& object : all.items) {
        watched->known_names.insert(object.name);
    }
    watched->on_list(all.items);
    watched->at = all.at;
    record_confirmed(*self, watched->kind, requested_at);
    co_return true;
}

/// Reads the kind from the store itself, since nobody has confirmed the copy in time.
loop::task<bool> read_old_copy(std::shared_ptr<host> self, watched_kind_ptr watched) {
    const auto plan = plan_of(*self, *watched);
    const auto kind = watched->kind;
    auto& copy = self->copies[kind];
    const double jitter = read_interval_jitter * std::uniform_real_distribution<>()(self->random);
    copy.next_read_at = self->clock.boot_now() +
                        std::chrono::duration_cast<milliseconds>(plan.read_interval * (1 - jitter));
    const auto age = copy_age(*self, kind).value_or(milliseconds(-1));
    const auto source = copy.source;
    const auto feeder = copy.feeder;
    const bool read = co_await list_and_cache(
        self, watched, {false, path_choice::direct, loop::after(plan.read_timeout)});
    if (read) {
        copy.next_read_at = {};
    }
    log_event(*self, old_copy_read,
              {{"watch", to_string(kind)},
               {"read", read},
               {"age_ms", age.count()},
               {"source", to_string(source)},
               {"feeder", feeder}});
    const std::array labels{kernel::label{"kind", to_string(kind)},
                            kernel::label{"outcome", read ? "read" : "unavailable"}};
    self->metrics.count("cornelloom_old_copy_reads_total", labels);
    co_return read;
}

/// Waits before the next poll, so that it carries several changes, as long as the age of the copy
/// allows.
loop::task<void> delay_next_poll(std::shared_ptr<host> self, watched_kind_ptr watched) {
    const auto plan = plan_of(*self, *watched);
    const auto latest = servable_until(self->copies[watched->kind], plan) - plan.answer_time;
    const auto room = std::chrono::duration_cast<milliseconds>(latest - self->clock.boot_now());
    co_await loop::pause_for(
        self->io, std::clamp(room, milliseconds(0), std::max(watched->delay(), milliseconds(0))));
}

loop::task<bool> poll_store(std::shared_ptr<host> self, watched_kind_ptr watched) {
    const auto plan = plan_of(*self, *watched);
    const auto sent = self->clock.boot_now();
    const auto longest = next_poll_wait(self->copies[watched->kind], plan, sent);
    if (!longest) {
        co_return co_await read_old_copy(self, watched);
    }
    const auto paths = plan_paths(self->store.paths, true, loop::steady_clock::now());
    const auto wait = paths.direct_first ? *longest : std::min(*longest, relayed_poll_wait);
    auto response = co_await call_store(
        self->store, self->platform_adapter.watch(watched->kind, watched->at, wait),
        wait + poll_timeout_margin, path_choice::single, read_deadline(*self, *watched));
    record_store_contact(*self, *watched, response.fault);
    if (response.fault == store_outcome::history_gone || response.fault == store_outcome::invalid ||
        response.fault == store_outcome::not_found) {
        watched->at = 0;
        co_return true;
    }
    if (response.fault != store_outcome::none) {
        // An interrupted watch may have missed changes that are no longer in the store's history,
        // and a watch from a revision before those may report nothing. So the kind is listed again.
        watched->at = 0;
        co_return false;
    }
    auto changes = self->platform_adapter.changes(response.body, object_limits(watched->kind));
    if (!changes) {
        report_unreadable(*self, to_string(watched->kind), {}, changes.error().detail);
        watched->at = 0;
        co_return false;
    }
    const auto answered = self->clock.boot_now();
    const bool unchanged = changes.value().changes.empty() && changes.value().unnamed == 0;
    report_unnamed(*self, watched->kind, changes.value().unnamed);
    if (unchanged && answered < sent + wait * 9 / 10) {
        log_event(*self, watch_cut,
                  {{"watch", to_string(watched->kind)},
                   {"at", watched->at},
                   {"answered_at", changes.value().at}});
        watched->at = 0;
        co_return true;
    }
    record_source(*self, watched->kind, source_of(response));
    if (!unchanged) {
        watched->at = std::max(watched->at, changes.value().at);
    }
    cache_changes(*self, watched->kind, changes.value().changes, watched->at);
    if (!changes.value().changes.empty()) {
        update_known_names(*watched, changes.value().changes);
        watched->on_changes(changes.value().changes);
    }
    record_confirmed(*self, watched->kind,
                     unchanged ? confirmed_by_poll(sent, answered, wait, plan) : sent);
    if (!unchanged) {
        co_await delay_next_poll(self, watched);
    }
    co_return true;
}

/// Applies the response of a feeder.
void apply_feed_response(watched_kind& watched, feed_response& feeder_response) {
    if (watched.at == 0) {
        std::vector<stored_object> all;
        all.reserve(feeder_response.changes.size());
        watched.known_names.clear();
        update_known_names(watched, feeder_response.changes);
        for (auto& change : feeder_response.changes) {
            all.push_back(std::move(change.object));
        }
        watched.on_list(all);
        return;
    }
    if (feeder_response.names) {
        std::ranges::move(find_deletions(watched.known_names, *feeder_response.names),
                          std::back_inserter(feeder_response.changes));
    }
    if (!feeder_response.changes.empty()) {
        update_known_names(watched, feeder_response.changes);
        watched.on_changes(feeder_response.changes);
    }
}

/// Requests the full list or changes from a feeder. A feeder that fails is avoided.
loop::task<bool> poll_feeder(std::shared_ptr<host> self, watched_kind_ptr watched,
                             host_entry feeder, time_point until) {
    // Revisions are assigned by the store, so `at` stays valid when the feeder changes.
    const auto requested_at = self->clock.boot_now();
    auto poll_request =
        make_feed_request(watched->kind, watched->at, copy_age(*self, watched->kind));
    const auto count_changes = self->usage.changes + self->demand.changes;
    const bool sends_counts =
        watched->kind == object_kind::configuration &&
        (watched->counts_sent_to != feeder.name || watched->counts_sent != count_changes);
    if (sends_counts) {
        attach_counts(*self, poll_request);
    }
    const auto timeout =
        watched->at == 0 ? feed_list_timeout : feed_poll_wait + feed_timeout_margin;
    auto outcome = co_await loop::call(self->connections, feeder.address, std::move(poll_request),
                                       std::min(loop::after(timeout), boot_deadline(*self, until)),
                                       feed_connect_timeout);
    if (sends_counts && outcome.fault == loop::exchange_fault::none) {
        watched->counts_sent_to = feeder.name;
        watched->counts_sent = count_changes;
    }
    const bool responded = outcome.fault == loop::exchange_fault::none;
    auto decoded =
        decode_feed_response(responded && outcome.answer.status == 200 ? outcome.answer.body : "",
                             object_limits(watched->kind));
    if (!decoded) {
        log_event(*self, feeder_lost,
                  {{"watch", to_string(watched->kind)},
                   {"feeder", feeder.name},
                   {"fault", to_string(outcome.fault)},
                   {"status", status_of(outcome)}});
        avoid_feeder(self->avoided, feeder.name, self->now());
        co_return true;
    }
    auto& feeder_response = decoded.value();
    report_unnamed(*self, watched->kind, feeder_response.unnamed);
    record_source(*self, watched->kind, copy_source::feeder, feeder.name);
    apply_feed_response(*watched, feeder_response);
    watched->at = std::max(watched->at, feeder_response.at);
    const auto as_of = stated_as_of(outcome.answer.headers);
    if (as_of && !feeder_response.partial) {
        record_confirmed(*self, watched->kind,
                         std::min(requested_at + *as_of, self->clock.boot_now()));
        record_store_contact(*self, *watched, store_outcome::none);
    }
    co_return true;
}

/// Reads the next list or changes, from a feeder or from the store; false if the store failed.
loop::task<bool> update_once(std::shared_ptr<host> self, watched_kind_ptr watched) {
    auto& cache = self->caches[watched->kind];
    const auto feeder = watched->is_needed ? std::nullopt : choose_feeder(*self, watched->kind);
    set_watching(cache, !feeder && !watched->is_needed);
    const auto until = feeder_poll_until(self->copies[watched->kind], plan_of(*self, *watched),
                                         self->clock.boot_now());
    if (!until) {
        co_return co_await read_old_copy(self, watched);
    }
    if (feeder) {
        co_return co_await poll_feeder(self, watched, *feeder, *until);
    }
    // A feeder must serve complete data, so its cache starts from a list that it read itself.
    if (watched->at == 0 || cache.at != watched->at) {
        co_return co_await list_and_cache(
            self, watched, {false, path_choice::any, read_deadline(*self, *watched)});
    }
    co_return co_await poll_store(self, watched);
}

loop::task<void> keep_updated(std::shared_ptr<host> self, watched_kind_ptr watched) {
    for (;;) {
        if (watched->is_needed && !watched->is_needed()) {
            watched->at = 0;
            self->copies.erase(watched->kind);
            co_await loop::pause_for(self->io, need_check_interval);
            continue;
        }
        auto& copy = self->copies[watched->kind];
        if (copy.confirmed_at == time_point{} && copy.next_read_at == time_point{}) {
            const auto since = watched->is_needed ? self->clock.boot_now() : self->started_at;
            copy.next_read_at = since + plan_of(*self, *watched).read_interval;
        }
        const bool succeeded = co_await update_once(self, watched);
        if (!succeeded) {
            const auto delay = loop::after(store_retry_delay(*self, max_store_delay));
            co_await loop::pause_until(self->io, std::min(delay, read_deadline(*self, *watched)));
        }
    }
}

} // namespace

void report_unusable(host& self, object_kind kind, const stored_object& object,
                     std::string_view problem) {
    report_unreadable(self, to_string(kind), object.name,
                      object.fault.empty() ? problem : object.fault);
}

kernel::json_limits object_limits(object_kind kind) {
    return kind == object_kind::configuration ? kernel::json_limits{} : small_object_limits;
}

void defer_removals(host& self) {
    const auto disturbed_ago = loop::steady_clock::now() - self.store.paths.last_outage_call;
    record_platform_return(self.targets, self.now(),
                           self.now() - disturbed_ago + self.settings.stable_window -
                               removal_check_time);
}

void start_watch(const std::shared_ptr<host>& self, watched_kind watched) {
    auto shared = std::make_shared<watched_kind>(std::move(watched));
    const auto name = "watch " + std::string(to_string(shared->kind));
    loop::keep_running(self->io, name, [self, shared] {
        shared->at = 0; // what was applied before the watch ended is not known
        return keep_updated(self, shared);
    });
}

loop::task<void> list_once(std::shared_ptr<host> self, watched_kind watched, bool may_be_stale) {
    auto shared = std::make_shared<watched_kind>(std::move(watched));
    object_list all;
    const auto requested_at = self->clock.boot_now();
    const bool complete = co_await read_all_pages(
        self, shared, {may_be_stale, path_choice::any, loop::after(store_call_timeout)}, all);
    if (!complete) {
        co_return;
    }
    record_source(*self, shared->kind, all.source);
    shared->on_list(all.items);
    if (!may_be_stale) {
        record_confirmed(*self, shared->kind, requested_at);
    }
}

} // namespace cornelloom::front
