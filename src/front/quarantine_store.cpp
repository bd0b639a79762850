#include "front/quarantine_store.hpp"

#include "front/crash_exchange.hpp"
#include "front/feed.hpp"

#include <algorithm>
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
/// What the name and the revision add to an object.
constexpr std::size_t object_overhead_bytes = 512;
/// Bytes of a rejection that are logged.
constexpr std::size_t max_logged_bytes = 200;

/// What this host knows of the object in the store.
struct quarantine_object {
    std::uint64_t revision = 0; ///< 0: unknown, or the store has none.
    bool was_read = false;      ///< Since the start of this process.
};

void merge_object(host& self, quarantine_object& known, const stored_object& object) {
    known.revision = object.revision;
    merge_quarantines(self, object.specification, self.clock.wall_now());
    // The other hosts may have started at the same moment, and know as little.
    for (const auto& [digest, record] : self.crashes.ledger.digests) {
        if (record.quarantined_until > self.now()) {
            self.crashes.news.insert(digest);
        }
    }
    self.crashes.changed.open();
}

/// Reads the object; false if the read failed.
loop::task<bool> read_quarantines(std::shared_ptr<host> self, quarantine_object& known) {
    const auto answer = co_await call_store(
        self->store, self->platform_adapter.get(object_kind::quarantines, object_name, false));
    if (answer.fault == store_outcome::not_found) {
        known.revision = 0;
        co_return true;
    }
    const auto object = self->platform_adapter.object(answer.body);
    if (answer.fault != store_outcome::none || !object) {
        co_return false;
    }
    merge_object(*self, known, object.value());
    co_return true;
}

store_request write_request(const host& self, std::uint64_t revision) {
    const auto kind = object_kind::quarantines;
    const auto text = encode_quarantines(self, self.clock.wall_now());
    return revision == 0 ? self.platform_adapter.create(kind, object_name, text)
                         : self.platform_adapter.replace(kind, object_name, text, revision);
}

/// Writes the object; false if the write is to be repeated. Another host may have written in
/// between; what it knows is merged, and the next write follows on it.
loop::task<bool> write_quarantines(std::shared_ptr<host> self, quarantine_object& known) {
    const auto answer = co_await call_store(self->store, write_request(*self, known.revision));
    const auto object = self->platform_adapter.object(answer.body);
    if (answer.fault == store_outcome::not_found) {
        known.revision = 0;
    } else if (answer.fault == store_outcome::conflict && object) {
        merge_object(*self, known, object.value());
    } else if (answer.fault == store_outcome::none && object) {
        known.revision = object.value().revision;
        co_return true;
    } else if (answer.fault == store_outcome::invalid) {
        // It would be rejected again.
        log_event(*self, quarantines_rejected,
                  {{"response", answer.body.substr(0, max_logged_bytes)}});
        co_return true;
    }
    co_return false;
}

loop::task<void> store_if_due(std::shared_ptr<host> self, quarantine_object& known) {
    auto& store_at = self->crashes.store_at;
    if (!store_at || self->now() < *store_at) {
        co_return;
    }
    store_at.reset(); // set again by whatever changes during the write
    const bool done = co_await write_quarantines(self, known);
    if (!done && !store_at) {
        store_at = self->now() + store_retry_delay(*self, max_store_delay);
    }
}

loop::task<void> maintain_quarantines(std::shared_ptr<host> self) {
    quarantine_object known;
    for (;;) {
        const bool read_due = !known.was_read && watches_store(*self);
        if (read_due) {
            known.was_read = co_await read_quarantines(self, known);
        }
        co_await store_if_due(self, known);
        const bool failed = read_due && !known.was_read;
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
    record.quarantine_left = std::max(record.quarantine_left - time, kernel::duration{});
    if (record.cleared_age) {
        *record.cleared_age += time;
    }
    return record;
}

/// The newest quarantines, as stored.
std::string encode_newest(const host& self, std::size_t max_records, kernel::wall_time now) {
    auto quarantines = decide::export_crashes(
        self.crashes.ledger, self.now(), max_records,
        [&self](std::uint64_t /*digest*/, const decide::crash_record& record) {
            return record.quarantined_until > self.now();
        });
    quarantines.crashes.clear();
    const json out = {{"stored_unix_ms", now.unix_ms}, {"crashes", encode_crashes(quarantines)}};
    return out.dump();
}

} // namespace

std::string encode_quarantines(const host& self, kernel::wall_time now) {
    const auto max_bytes = self.settings.max_value_bytes - object_overhead_bytes;
    auto count = max_stored;
    auto text = encode_newest(self, count, now);
    while (text.size() > max_bytes && count > 0) {
        count /= 2;
        text = encode_newest(self, count, now);
    }
    return text;
}

void merge_quarantines(host& self, const json& stored, kernel::wall_time now) {
    if (!stored.contains("stored_unix_ms") || !stored["stored_unix_ms"].is_number_integer() ||
        !stored.contains("crashes") || !stored["crashes"].is_string()) {
        log_event(self, object_unreadable,
                  {{"kind", "quarantines"}, {"problem", "fields are missing"}});
        return;
    }
    auto crashes = decode_crashes(stored["crashes"].get<std::string>());
    if (!crashes) {
        log_event(self, object_unreadable,
                  {{"kind", "quarantines"}, {"problem", crashes.error().detail}});
        return;
    }
    const milliseconds age{
        std::max<std::int64_t>(now.unix_ms - stored["stored_unix_ms"].get<std::int64_t>(), 0)};
    for (auto& record : crashes.value().records) {
        record = aged(std::move(record), age);
    }
    merge_crashes_of(self, crashes.value(), object_name);
}

void start_quarantine_store(const std::shared_ptr<host>& self) {
    loop::asio::co_spawn(self->io, maintain_quarantines(self), loop::asio::detached);
}

} // namespace cornelloom::front
