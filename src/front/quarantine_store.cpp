#include "front/quarantine_store.hpp"

#include "front/crash_exchange.hpp"
#include "front/feed.hpp"
#include "kernel/failures.hpp"
#include "kernel/finally.hpp"
#include "loop/spawn.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace cornelloom::front {

namespace {

using json = nlohmann::json;

constexpr std::string_view object_name = "requests";
/// How often a host checks whether anything is to be read or stored.
constexpr loop::milliseconds check_interval{300};
constexpr loop::milliseconds max_store_delay{1200};
/// Quarantines in the store, as far as they fit into one object.
constexpr std::size_t max_stored = 64;
/// Nothing is remembered for so long.
constexpr milliseconds max_age = std::chrono::hours(24);
/// What the name and the revision add to an object.
constexpr std::size_t object_overhead_bytes = 512;
/// Bytes of a rejection that are logged.
constexpr std::size_t max_logged_bytes = 200;

/// Of a write for a trial run. A caller waits for it.
constexpr loop::milliseconds claim_timeout{500};
/// Writes for one trial run; each further one follows a write of another host.
constexpr int max_claim_attempts = 8;

/// Whether the record is kept in the store.
bool is_stored(const decide::crash_record& record) {
    return record.identified_by != 0 || record.trials > 0;
}

void merge_object(host& self, const stored_object& object) {
    self.crashes.stored.revision = object.revision;
    merge_quarantines(self, object.specification, self.clock.wall_now());
    // The other hosts may have started at the same moment, and know as little.
    for (const auto& [digest, record] : self.crashes.ledger.digests) {
        if (is_stored(record)) {
            self.crashes.news.insert(digest);
        }
    }
    self.crashes.changed.open();
}

/// Reads the object; false if the read failed.
loop::task<bool> read_quarantines(std::shared_ptr<host> self) {
    const auto answer = co_await call_store(
        self->store, self->platform_adapter.get(object_kind::quarantines, object_name, false));
    if (answer.fault == store_outcome::not_found) {
        self->crashes.stored.revision = 0;
        co_return true;
    }
    const auto object = self->platform_adapter.object(answer.body);
    if (answer.fault != store_outcome::none || !object) {
        co_return false;
    }
    merge_object(*self, object.value());
    co_return true;
}

store_request write_request(const host& self, const std::string& text) {
    const auto kind = object_kind::quarantines;
    const auto revision = self.crashes.stored.revision;
    return revision == 0 ? self.platform_adapter.create(kind, object_name, text)
                         : self.platform_adapter.replace(kind, object_name, text, revision);
}

/// Writes the object. Another host may have written in between; what it knows is merged, and the
/// next write follows on it.
loop::task<store_outcome> write_object(std::shared_ptr<host> self, std::string text,
                                       loop::milliseconds timeout) {
    auto& stored = self->crashes.stored;
    const auto answer = co_await call_store(self->store, write_request(*self, text), timeout);
    const auto object = self->platform_adapter.object(answer.body);
    if (answer.fault == store_outcome::not_found) {
        stored.revision = 0;
    } else if (answer.fault == store_outcome::conflict && object) {
        merge_object(*self, object.value());
    } else if (answer.fault == store_outcome::none && object) {
        stored.revision = object.value().revision;
    } else if (answer.fault == store_outcome::invalid) {
        log_event(*self, quarantines_rejected,
                  {{"response", answer.body.substr(0, max_logged_bytes)}});
    }
    co_return answer.fault;
}

/// Waits until no other write of this host is in progress, and begins one.
loop::task<void> begin_write(std::shared_ptr<host> self) {
    while (self->crashes.stored.being_written) {
        co_await self->crashes.store_idle.wait(loop::deadline::max());
    }
    self->crashes.stored.being_written = true;
}

void end_write(host& self) {
    self.crashes.stored.being_written = false;
    self.crashes.store_idle.open();
}

loop::task<void> store_if_due(std::shared_ptr<host> self) {
    auto& store_at = self->crashes.store_at;
    if (!store_at || self->now() < *store_at) {
        co_return;
    }
    co_await begin_write(self);
    auto outcome = store_outcome::unknown;
    try {
        const kernel::finally end([&] { end_write(*self); });
        auto text = encode_quarantines(*self, self->clock.wall_now());
        store_at.reset(); // set again by whatever changes during the write
        outcome = co_await write_object(self, std::move(text), store_call_timeout);
    } catch (...) {
        kernel::report_failure("store quarantines", std::current_exception());
    }
    // An invalid object would be rejected again.
    const bool done = outcome == store_outcome::none || outcome == store_outcome::invalid;
    if (!done && !store_at) {
        store_at = self->now() + store_retry_delay(*self, max_store_delay);
    }
}

loop::task<void> maintain_quarantines(std::shared_ptr<host> self) {
    auto& stored = self->crashes.stored;
    for (;;) {
        const bool read_due = !stored.was_read && watches_store(*self);
        if (read_due) {
            stored.was_read = co_await read_quarantines(self);
        }
        co_await store_if_due(self);
        const bool failed = read_due && !stored.was_read;
        co_await loop::pause_for(self->io, failed ? store_retry_delay(*self, max_store_delay)
                                                  : check_interval);
    }
}

/// The record some time later.
decide::shared_crash_record aged(decide::shared_crash_record record, kernel::duration time) {
    for (auto& crash : record.crashes) {
        crash.age += time;
    }
    record.last_crash_age += time;
    record.identified_age += time;
    record.first_trial_age += time;
    record.trial_age += time;
    record.try_age = record.try_age ? std::optional(*record.try_age + time) : std::nullopt;
    record.try_ended_age =
        record.try_ended_age ? std::optional(*record.try_ended_age + time) : std::nullopt;
    record.quarantine_left = std::max(record.quarantine_left - time, kernel::duration{});
    if (record.cleared_age) {
        *record.cleared_age += time;
    }
    return record;
}

/// The newest of the records that are kept in the store, as stored; `first` comes before others.
std::string encode_newest(const decide::crash_ledger& ledger, std::uint64_t first,
                          std::size_t max_records, kernel::time_point now,
                          kernel::wall_time wall_now) {
    auto out = decide::export_crashes(
        ledger, now, 1,
        [first](std::uint64_t digest, const auto& /*record*/) { return digest == first; });
    auto others =
        decide::export_crashes(ledger, now, max_records - out.records.size(),
                               [first](std::uint64_t digest, const decide::crash_record& record) {
                                   return digest != first && is_stored(record);
                               });
    std::ranges::move(others.records, std::back_inserter(out.records));
    out.crashes.clear();
    return json{{"stored_unix_ms", wall_now.unix_ms}, {"crashes", encode_crashes(out)}}.dump();
}

std::string encode_ledger(const host& self, const decide::crash_ledger& ledger, std::uint64_t first,
                          kernel::wall_time now) {
    const auto max_bytes = self.settings.max_value_bytes - object_overhead_bytes;
    auto count = max_stored;
    auto text = encode_newest(ledger, first, count, self.now(), now);
    while (text.size() > max_bytes && count > 1) {
        count /= 2;
        text = encode_newest(ledger, first, count, self.now(), now);
    }
    return text;
}

/// Writes the object with one more trial run of the request.
loop::task<store_outcome> write_trial(std::shared_ptr<host> self, std::uint64_t digest) {
    auto after = self->crashes.ledger;
    decide::begin_trial(after, self->crashes.rules, digest, self->now());
    auto text = encode_ledger(*self, after, digest, self->clock.wall_now());
    const auto outcome = co_await write_object(self, std::move(text), claim_timeout);
    co_return outcome;
}

void count_claim(host& self, std::string_view outcome) {
    const std::array labels{kernel::label{"outcome", outcome}};
    self.metrics.count("cornelloom_trial_claims_total", labels);
}

} // namespace

std::string encode_quarantines(const host& self, kernel::wall_time now) {
    constexpr std::uint64_t none = 0;
    return encode_ledger(self, self.crashes.ledger, none, now);
}

bool is_trial_due(const host& self, std::uint64_t digest) {
    return judge_request(self, digest, run_source::caller).permission ==
           decide::send_permission::trial;
}

void start_trial(host& self, std::uint64_t digest) {
    auto& watch = self.crashes;
    decide::begin_trial(watch.ledger, watch.rules, digest, self.now());
    const auto& record = watch.ledger.digests.at(digest);
    log_event(self, trial_started,
              {{"digest", digest_text(digest)},
               {"trial", static_cast<std::uint64_t>(record.trials)},
               {"targets", static_cast<std::uint64_t>(record.crashes.size())}});
    watch.news.insert(digest);
    watch.changed.open();
}

void return_trial(host& self, std::uint64_t digest) {
    auto& watch = self.crashes;
    decide::return_trial(watch.ledger, digest, self.now());
    count_claim(self, "unused");
    watch.news.insert(digest);
    watch.changed.open();
    watch.evidence_changed.open();
}

loop::task<trial_claim> claim_trial(std::shared_ptr<host> self, std::uint64_t digest) {
    co_await begin_write(self);
    const kernel::finally end([&] { end_write(*self); });
    auto claim = trial_claim::store_unavailable;
    for (int attempt = 0; attempt < max_claim_attempts; ++attempt) {
        if (!is_trial_due(*self, digest)) {
            claim = trial_claim::not_due;
            break;
        }
        const auto outcome = co_await write_trial(self, digest);
        if (outcome == store_outcome::none) {
            // It may have been answered or identified during the write.
            const bool still_due = is_trial_due(*self, digest);
            claim = still_due ? trial_claim::granted : trial_claim::not_due;
            break;
        }
        if (outcome != store_outcome::conflict && outcome != store_outcome::not_found) {
            break;
        }
    }
    if (claim == trial_claim::granted) {
        start_trial(*self, digest);
    }
    count_claim(*self, claim == trial_claim::granted   ? "granted"
                       : claim == trial_claim::not_due ? "not_due"
                                                       : "store_unavailable");
    co_return claim;
}

void merge_quarantines(host& self, const json& stored, kernel::wall_time now) {
    if (!stored.contains("stored_unix_ms") || !stored["stored_unix_ms"].is_number_unsigned() ||
        !stored.contains("crashes") || !stored["crashes"].is_string()) {
        report_unreadable(self, "quarantines", object_name, "fields are missing");
        return;
    }
    auto crashes = decode_crashes(stored["crashes"].get<std::string>());
    if (!crashes) {
        report_unreadable(self, "quarantines", object_name, crashes.error().detail);
        return;
    }
    const auto now_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(now.unix_ms, 0));
    const auto stored_ms = std::min(stored["stored_unix_ms"].get<std::uint64_t>(), now_ms);
    const milliseconds age{
        std::min(now_ms - stored_ms, static_cast<std::uint64_t>(max_age.count()))};
    for (auto& record : crashes.value().records) {
        record = aged(std::move(record), age);
    }
    merge_crashes_of(self, crashes.value(), object_name);
}

void start_quarantine_store(const std::shared_ptr<host>& self) {
    loop::keep_running(self->io, "quarantines", [self] { return maintain_quarantines(self); });
}

} // namespace cornelloom::front
