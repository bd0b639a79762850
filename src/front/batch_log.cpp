#include "front/batch_log.hpp"

#include "front/json.hpp"
#include "front/log_reader.hpp"
#include "front/records.hpp"
#include "kernel/finally.hpp"
#include "loop/gather.hpp"

#include <algorithm>
#include <functional>

namespace cornelloom::front {

namespace {

/// Maximum delay before a failed write of an entry is repeated. Results wait for their entry, but
/// no caller waits for the call itself.
constexpr loop::milliseconds max_entry_delay{600};
/// Maximum difference between the clocks of two hosts. It is subtracted from the age of a batch, so
/// that a loaded batch's items are given up too late rather than too early.
constexpr milliseconds max_clock_difference{2500};

/// Creates an object whose name determines its content. `conflict` may therefore mean that an
/// earlier attempt whose response was lost has created it.
loop::task<store_outcome> create_idempotently(std::shared_ptr<host> self, object_kind kind,
                                              std::string name, std::string value,
                                              time_point deadline) {
    store_outcome last_fault = store_outcome::refused;
    bool may_exist = false;
    do {
        auto answer =
            co_await call_store(self->store, self->platform_adapter.create(kind, name, value));
        last_fault = answer.fault;
        if (last_fault != store_outcome::refused && last_fault != store_outcome::unknown) {
            co_return last_fault;
        }
        may_exist = may_exist || last_fault == store_outcome::unknown;
        co_await loop::pause_for(self->io, store_retry_delay(*self, max_awaited_store_delay));
    } while (self->now() < deadline);
    co_return may_exist ? store_outcome::unknown : last_fault;
}

/// Parts of a submission that are read at once.
constexpr int parallel_part_reads = 64;

/// Reads one part of a submission; nothing if it could not be read or is damaged.
loop::task<std::optional<std::string>> read_part(std::shared_ptr<host> self, std::string name) {
    auto answer = co_await call_store(
        self->store, self->platform_adapter.get(object_kind::batch_parts, name, false));
    if (answer.fault != store_outcome::none) {
        co_return std::nullopt;
    }
    const auto object = self->platform_adapter.object(answer.body);
    if (!object || !object.value().specification.is_string()) {
        report_unreadable(*self, "batch_parts", name, "not a text");
        co_return std::nullopt;
    }
    co_return object.value().specification.get<std::string>();
}

loop::task<std::optional<std::string>> read_parts(std::shared_ptr<host> self, std::string id,
                                                  int parts) {
    std::string text;
    for (int first = 0; first < parts; first += parallel_part_reads) {
        std::vector<loop::task<std::optional<std::string>>> calls;
        for (int part = first; part < std::min(parts, first + parallel_part_reads); ++part) {
            calls.push_back(read_part(self, numbered_name(id, static_cast<std::uint64_t>(part))));
        }
        const auto pieces = co_await loop::gather(self->io, std::move(calls));
        for (const auto& piece : pieces) {
            if (!piece) {
                co_return std::nullopt;
            }
            text += *piece;
        }
    }
    co_return text;
}

std::optional<log_entry> decode_log_object(host& self, std::string_view name,
                                           std::string_view body) {
    const auto object = self.platform_adapter.object(body);
    if (object) {
        auto entry = decode_entry(object.value().specification);
        if (entry) {
            return std::move(entry.value());
        }
    }
    report_unreadable(self, "batch_log", name, "not an entry");
    return std::nullopt;
}

loop::task<read_entry_result> read_entry(std::shared_ptr<host> self, std::string name) {
    auto answer = co_await call_store(
        self->store, self->platform_adapter.get(object_kind::batch_log, name, false));
    read_entry_result out;
    if (answer.fault == store_outcome::not_found) {
        out.status = log_read_status::end;
    } else if (answer.fault == store_outcome::none) {
        auto entry = decode_log_object(*self, name, answer.body);
        out.status = entry ? log_read_status::entry : log_read_status::unreadable;
        out.entry = entry.value_or(log_entry{});
    }
    co_return out;
}

entry_reader make_entry_reader(const std::shared_ptr<host>& self, const std::string& id) {
    return [self, id](std::uint64_t number) { return read_entry(self, numbered_name(id, number)); };
}

/// Applies an entry. It may make another host the owner, or record that the caller ends the batch.
void apply_log_entry(live_batch& batch, std::uint64_t number, const log_entry& entry) {
    if (!apply_entry(batch.state, number, entry)) {
        return;
    }
    const auto& own = batch.local_host->settings.host;
    if (batch.owned && batch.state.header.owner != own) {
        batch.owned = false;
        log_event(*batch.local_host, batch_left,
                  {{"id", batch.state.header.id},
                   {"owner", batch.state.header.owner},
                   {"entry", batch.state.next_entry_number}});
    }
    batch.changed.open();
}

/// Records that all entries which the log had at `when` are known.
void record_confirmed(live_batch& batch, time_point when) {
    batch.log.confirmed = std::max(batch.log.confirmed, when);
    batch.log.unavailable = false;
}

void report_append(live_batch& batch, std::uint64_t number, const log_entry& entry) {
    log_event(*batch.local_host, log_written,
              {{"id", batch.state.header.id},
               {"entry", number},
               {"results", static_cast<std::uint64_t>(entry.results.size())},
               {"partials", static_cast<std::uint64_t>(entry.partials.size())},
               {"ends", entry.ends},
               {"new_owner", entry.new_owner}});
}

/// Outcome of writing an entry.
enum class append_outcome {
    stored,
    number_taken, ///< Another entry has this number; the entry must be rebuilt after it.
    unconfirmed,  ///< The store did not confirm the entry before the deadline.
};

/// Stores the entry as the next one of the log.
loop::task<append_outcome> store_entry(live_batch_ptr batch, log_entry entry, time_point deadline) {
    auto self = batch->local_host;
    const auto number = batch->state.next_entry_number;
    const auto name = numbered_name(batch->state.header.id, number);
    const auto value = encode_entry(entry);
    while (self->now() < deadline) {
        const auto requested_at = self->now();
        const auto request = self->platform_adapter.create(object_kind::batch_log, name, value);
        auto answer = co_await call_store(self->store, request);
        if (answer.fault == store_outcome::none) {
            apply_log_entry(*batch, number, entry);
            record_confirmed(*batch, requested_at);
            report_append(*batch, number, entry);
            co_return append_outcome::stored;
        }
        if (answer.fault == store_outcome::conflict) {
            const auto existing = decode_log_object(*self, name, answer.body);
            if (!existing) {
                co_return append_outcome::unconfirmed;
            }
            apply_log_entry(*batch, number, *existing);
            if (existing->nonce != entry.nonce) {
                co_return append_outcome::number_taken;
            }
            report_append(*batch, number, entry);
            co_return append_outcome::stored;
        }
        batch->log.unavailable = true;
        log_event(*self, log_delayed,
                  {{"id", batch->state.header.id},
                   {"entry", number},
                   {"fault", to_string(answer.fault)}});
        co_await loop::pause_for(self->io, store_retry_delay(*self, max_entry_delay));
    }
    co_return append_outcome::unconfirmed;
}

} // namespace

loop::task<store_outcome> store_parts(std::shared_ptr<host> self, std::string id,
                                      std::vector<std::string> parts, time_point deadline) {
    std::vector<loop::task<store_outcome>> calls;
    calls.reserve(parts.size());
    for (std::size_t number = 0; number < parts.size(); ++number) {
        calls.push_back(create_idempotently(self, object_kind::batch_parts,
                                            numbered_name(id, number), std::move(parts[number]),
                                            deadline));
    }
    const auto created = co_await loop::gather(self->io, std::move(calls));
    const bool all_stored = std::ranges::all_of(created, [](store_outcome outcome) {
        return outcome == store_outcome::none || outcome == store_outcome::conflict;
    });
    co_return all_stored ? store_outcome::none : store_outcome::unknown;
}

loop::task<store_outcome> store_header(std::shared_ptr<host> self, batch_header header,
                                       time_point deadline) {
    co_return co_await create_idempotently(self, object_kind::batches, header.id,
                                           encode_header(header), deadline);
}

loop::task<read_header_result> read_header(std::shared_ptr<host> self, std::string id) {
    read_header_result out;
    auto answer = co_await call_store(self->store,
                                      self->platform_adapter.get(object_kind::batches, id, false));
    if (answer.fault != store_outcome::none) {
        out.missing = answer.fault == store_outcome::not_found;
        co_return out;
    }
    const auto object = self->platform_adapter.object(answer.body);
    if (object) {
        auto header = decode_header(id, object.value().specification);
        if (header) {
            out.header = std::move(header.value());
            co_return out;
        }
    }
    report_unreadable(*self, "batches", id, "not a batch");
    co_return out;
}

namespace {

/// What the store contains of a batch in addition to its header.
struct stored_batch {
    std::optional<std::string> submission{};
    std::vector<log_entry> entries{};
    time_point read_started{}; ///< Start of the reading; later entries may be missing.
};

loop::task<bool> load_submission(std::shared_ptr<host> self, std::string id, int parts,
                                 std::shared_ptr<stored_batch> out) {
    out->submission = co_await read_parts(self, std::move(id), parts);
    co_return out->submission.has_value();
}

loop::task<bool> load_log(std::shared_ptr<host> self, std::string id,
                          std::shared_ptr<stored_batch> out) {
    out->read_started = self->now();
    // Named, because GCC 12 destroys temporaries of a co_await expression twice.
    const entry_reader read = make_entry_reader(self, id);
    const entry_handler handle = [out](std::uint64_t, const log_entry& entry) {
        out->entries.push_back(entry);
    };
    const auto stopped_by = co_await read_log(self->io, 0, parallel_entry_reads, read, handle);
    co_return stopped_by == log_read_status::end;
}

/// Restores the batch from the store's content; null if its submission can't be decoded.
live_batch_ptr restore_batch(const std::shared_ptr<host>& self, batch_header header,
                             const stored_batch& stored) {
    const auto submission_json = parse_json(*stored.submission, submission_limits);
    auto spec = self->platform_adapter.submission(submission_json);
    if (!spec) {
        report_unreadable(*self, "batches", header.id, spec.error().detail);
        return nullptr;
    }
    const auto age = milliseconds(unix_now(*self) - header.received_ms);
    const auto min_age = std::max(age - max_clock_difference, milliseconds(0));
    auto batch = std::make_shared<live_batch>(
        self, make_batch(std::move(header), std::move(spec.value()), self->now() - min_age));
    for (std::uint64_t number = 0; number < stored.entries.size(); ++number) {
        apply_log_entry(*batch, number, stored.entries[number]);
    }
    batch->log.confirmed = stored.read_started;
    return batch;
}

void report_load(host& self, std::string_view id, std::string_view outcome,
                 const stored_batch& stored, time_point load_started) {
    log_event(self, batch_loaded,
              {{"id", id},
               {"outcome", outcome},
               {"bytes", static_cast<std::uint64_t>(stored.submission.value_or("").size())},
               {"entries", static_cast<std::uint64_t>(stored.entries.size())},
               {"ms", ms_between(load_started, self.now())}});
}

} // namespace

loop::task<loaded_batch> load_batch(std::shared_ptr<host> self, std::string id) {
    const auto requested_at = self->now();
    const auto stored = std::make_shared<stored_batch>();
    loaded_batch out;
    auto read = co_await read_header(self, id);
    out.missing = read.missing;
    if (!read.header) {
        report_load(*self, id, out.missing ? "not_found" : "unavailable", *stored, requested_at);
        co_return out;
    }
    std::vector<loop::task<bool>> calls;
    calls.push_back(load_submission(self, id, read.header->parts, stored));
    calls.push_back(load_log(self, id, stored));
    const auto succeeded = co_await loop::gather(self->io, std::move(calls));
    if (std::ranges::all_of(succeeded, std::identity{})) {
        out.batch = restore_batch(self, std::move(*read.header), *stored);
    }
    report_load(*self, id, out.batch ? "done" : "unavailable", *stored, requested_at);
    co_return out;
}

loop::task<bool> catch_up(live_batch_ptr batch) {
    const auto requested_at = batch->local_host->now();
    const entry_reader read = make_entry_reader(batch->local_host, batch->state.header.id);
    const entry_handler handle = [batch](std::uint64_t number, const log_entry& entry) {
        apply_log_entry(*batch, number, entry);
    };
    const auto stopped_by =
        co_await read_log(batch->local_host->io, batch->state.next_entry_number, 1, read, handle);
    batch->log.unavailable = stopped_by != log_read_status::end;
    if (stopped_by == log_read_status::end) {
        record_confirmed(*batch, requested_at);
    }
    co_return stopped_by == log_read_status::end;
}

loop::task<bool> append_entry(live_batch_ptr batch, entry_builder build_entry,
                              time_point deadline) {
    auto self = batch->local_host;
    while (batch->appending) {
        co_await batch->changed.wait(to_deadline(*self, deadline));
        if (self->now() >= deadline) {
            co_return false;
        }
    }
    batch->appending = true;
    const kernel::finally end([&] {
        batch->appending = false;
        batch->state.last_flush = self->now();
        batch->changed.open();
    });
    auto written = append_outcome::number_taken;
    while (written == append_outcome::number_taken) {
        if (batch->state.ended) {
            break;
        }
        auto entry = build_entry(*batch);
        if (!entry) {
            break;
        }
        entry->writer = self->settings.host;
        entry->nonce = self->random();
        written = co_await store_entry(batch, std::move(*entry), deadline);
    }
    co_return written == append_outcome::stored;
}

} // namespace cornelloom::front
