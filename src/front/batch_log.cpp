#include "front/batch_log.hpp"

#include "front/log_reader.hpp"
#include "front/records.hpp"
#include "loop/gather.hpp"

#include <algorithm>
#include <functional>

namespace cornelloom::front {

namespace {

/// The longest pause before an entry is tried again: results wait for it, and no caller does.
constexpr loop::milliseconds entry_pause_most{600};
/// Clocks of two hosts may differ by so much; an item is rather given up late than early.
constexpr milliseconds clock_margin{2500};

/// Creates an object whose content is fixed by its name: it exists already after a lost answer.
loop::task<store_fault> create_once(std::shared_ptr<host> self, object_kind kind, std::string name,
                                    std::string value, time_point until) {
    store_fault last = store_fault::refused;
    bool doubtful = false;
    do {
        auto answer = co_await call_store(self->store, self->wire.create(kind, name, value));
        last = answer.fault;
        if (last != store_fault::refused && last != store_fault::unknown) {
            co_return last;
        }
        doubtful = doubtful || last == store_fault::unknown;
        co_await loop::pause_for(self->io, store_pause(*self, store_pause_awaited));
    } while (self->now() < until);
    co_return doubtful ? store_fault::unknown : last;
}

/// The text of one part; nothing if the store can't tell, or the object is damaged.
loop::task<std::optional<std::string>> read_part(std::shared_ptr<host> self, std::string name) {
    auto answer =
        co_await call_store(self->store, self->wire.get(object_kind::batch_parts, name, false));
    if (answer.fault != store_fault::none) {
        co_return std::nullopt;
    }
    const auto object = self->wire.object(answer.body);
    if (!object || !object.value().specification.is_string()) {
        note(*self, object_unreadable, {{"kind", "batch_parts"}, {"id", name}});
        co_return std::nullopt;
    }
    co_return object.value().specification.get<std::string>();
}

loop::task<std::optional<std::string>> read_parts(std::shared_ptr<host> self, std::string id,
                                                  int parts) {
    std::vector<loop::task<std::optional<std::string>>> calls;
    calls.reserve(static_cast<std::size_t>(std::max(parts, 0)));
    for (int part = 0; part < parts; ++part) {
        calls.push_back(read_part(self, entry_name(id, static_cast<std::uint64_t>(part))));
    }
    const auto pieces = co_await loop::gather(self->io, std::move(calls));
    std::string text;
    for (const auto& piece : pieces) {
        if (!piece) {
            co_return std::nullopt;
        }
        text += *piece;
    }
    co_return text;
}

std::optional<log_entry> entry_in(host& self, std::string_view name, std::string_view body) {
    const auto object = self.wire.object(body);
    if (object) {
        auto entry = decode_entry(object.value().specification);
        if (entry) {
            return std::move(entry.value());
        }
    }
    note(self, object_unreadable, {{"kind", "batch_log"}, {"id", name}});
    return std::nullopt;
}

loop::task<read_entry_result> read_entry(std::shared_ptr<host> self, std::string name) {
    auto answer =
        co_await call_store(self->store, self->wire.get(object_kind::batch_log, name, false));
    read_entry_result out;
    if (answer.fault == store_fault::not_found) {
        out.what = log_read::end;
    } else if (answer.fault == store_fault::none) {
        auto entry = entry_in(*self, name, answer.body);
        out.what = entry ? log_read::entry : log_read::unreadable;
        out.entry = entry.value_or(log_entry{});
    }
    co_return out;
}

entry_reader reader_of(const std::shared_ptr<host>& self, const std::string& id) {
    return [self, id](std::uint64_t number) { return read_entry(self, entry_name(id, number)); };
}

/// Another host may have become the owner, or the caller may have ended the batch.
void take_entry(live_batch& one, std::uint64_t number, const log_entry& entry) {
    if (!apply_entry(one.state, number, entry)) {
        return;
    }
    const auto& own = one.self->settings.host;
    if (one.owned && one.state.header.owner != own) {
        one.owned = false;
        note(*one.self, batch_left,
             {{"id", one.state.header.id},
              {"owner", one.state.header.owner},
              {"entry", one.state.next_entry}});
    }
    one.changed.open();
}

/// The log was known to its end at `when`.
void note_confirmed(live_batch& one, time_point when) {
    one.log.confirmed = std::max(one.log.confirmed, when);
    one.log.unavailable = false;
}

void note_written(live_batch& one, std::uint64_t number, const log_entry& entry) {
    note(*one.self, log_written,
         {{"id", one.state.header.id},
          {"entry", number},
          {"results", static_cast<std::uint64_t>(entry.results.size())},
          {"partials", static_cast<std::uint64_t>(entry.partials.size())},
          {"ends", entry.ends},
          {"new_owner", entry.new_owner}});
}

/// What has become of an entry.
enum class append_end {
    stored,
    overtaken, ///< Another entry has its number: the log goes on behind that.
    unsettled, ///< The store has not said by the time.
};

/// Stores the entry as the next one of the log.
loop::task<append_end> store_entry(live_batch_ptr one, log_entry entry, time_point until) {
    auto self = one->self;
    const auto number = one->state.next_entry;
    const auto name = entry_name(one->state.header.id, number);
    const auto value = encode_entry(entry);
    while (self->now() < until) {
        const auto asked = self->now();
        const auto request = self->wire.create(object_kind::batch_log, name, value);
        auto answer = co_await call_store(self->store, request);
        if (answer.fault == store_fault::none) {
            take_entry(*one, number, entry);
            note_confirmed(*one, asked);
            note_written(*one, number, entry);
            co_return append_end::stored;
        }
        if (answer.fault == store_fault::conflict) {
            const auto there = entry_in(*self, name, answer.body);
            if (!there) {
                co_return append_end::unsettled;
            }
            take_entry(*one, number, *there);
            if (there->nonce != entry.nonce) {
                co_return append_end::overtaken;
            }
            note_written(*one, number, entry);
            co_return append_end::stored;
        }
        one->log.unavailable = true;
        note(*self, log_delayed,
             {{"id", one->state.header.id}, {"entry", number}, {"fault", to_string(answer.fault)}});
        co_await loop::pause_for(self->io, store_pause(*self, entry_pause_most));
    }
    co_return append_end::unsettled;
}

} // namespace

loop::task<store_fault> store_batch(std::shared_ptr<host> self, batch_header header,
                                    std::string_view submission, time_point until) {
    const auto pieces = split_submission(submission, self->settings.value_bytes);
    header.parts = static_cast<int>(pieces.size());
    for (std::size_t part = 0; part < pieces.size(); ++part) {
        const auto made = co_await create_once(self, object_kind::batch_parts,
                                               entry_name(header.id, part), pieces[part], until);
        if (made != store_fault::none && made != store_fault::conflict) {
            // The header is missing, so the batch does not exist, whatever became of this part.
            co_return store_fault::refused;
        }
    }
    const auto made =
        co_await create_once(self, object_kind::batches, header.id, encode_header(header), until);
    co_return made;
}

loop::task<read_header_result> read_header(std::shared_ptr<host> self, std::string id) {
    read_header_result out;
    auto answer = co_await call_store(self->store, self->wire.get(object_kind::batches, id, false));
    if (answer.fault != store_fault::none) {
        out.missing = answer.fault == store_fault::not_found;
        co_return out;
    }
    const auto object = self->wire.object(answer.body);
    if (object) {
        auto header = decode_header(id, object.value().specification);
        if (header) {
            out.header = std::move(header.value());
            co_return out;
        }
    }
    note(*self, object_unreadable, {{"kind", "batches"}, {"id", id}});
    co_return out;
}

namespace {

/// What the store holds of a batch beside its header.
struct stored_batch {
    std::optional<std::string> submission{};
    std::vector<log_entry> entries{};
    time_point asked{}; ///< When the reading began: the log may be longer since.
};

loop::task<bool> take_submission(std::shared_ptr<host> self, std::string id, int parts,
                                 std::shared_ptr<stored_batch> out) {
    out->submission = co_await read_parts(self, std::move(id), parts);
    co_return out->submission.has_value();
}

loop::task<bool> take_log(std::shared_ptr<host> self, std::string id,
                          std::shared_ptr<stored_batch> out) {
    out->asked = self->now();
    // GCC 12 destroys temporaries of a co_await expression twice, so they have names.
    const entry_reader read = reader_of(self, id);
    const entry_taker take = [out](std::uint64_t, const log_entry& entry) {
        out->entries.push_back(entry);
    };
    const auto end = co_await read_log(self->io, 0, entries_at_once, read, take);
    co_return end == log_read::end;
}

/// The batch as the store holds it; null if its submission can't be read.
live_batch_ptr rebuild(const std::shared_ptr<host>& self, batch_header header,
                       const stored_batch& stored) {
    const auto body = nlohmann::json::parse(*stored.submission, nullptr, false);
    auto spec = self->wire.submission(body);
    if (!spec) {
        note(*self, object_unreadable, {{"kind", "batches"}, {"id", header.id}});
        return nullptr;
    }
    const auto age = milliseconds(self->clock.wall_now().unix_ms - header.received_ms);
    const auto known_age = std::max(age - clock_margin, milliseconds(0));
    auto one = std::make_shared<live_batch>(
        self, make_batch(std::move(header), std::move(spec.value()), self->now() - known_age));
    for (std::uint64_t number = 0; number < stored.entries.size(); ++number) {
        take_entry(*one, number, stored.entries[number]);
    }
    one->log.confirmed = stored.asked;
    return one;
}

void note_loaded(host& self, std::string_view id, std::string_view outcome,
                 const stored_batch& stored, time_point asked) {
    note(self, batch_loaded,
         {{"id", id},
          {"outcome", outcome},
          {"bytes", static_cast<std::uint64_t>(stored.submission.value_or("").size())},
          {"entries", static_cast<std::uint64_t>(stored.entries.size())},
          {"ms", ms_between(asked, self.now())}});
}

} // namespace

loop::task<loaded_batch> load_batch(std::shared_ptr<host> self, std::string id) {
    const auto asked = self->now();
    const auto stored = std::make_shared<stored_batch>();
    loaded_batch out;
    auto read = co_await read_header(self, id);
    out.missing = read.missing;
    if (!read.header) {
        note_loaded(*self, id, out.missing ? "not_found" : "unavailable", *stored, asked);
        co_return out;
    }
    std::vector<loop::task<bool>> calls;
    calls.push_back(take_submission(self, id, read.header->parts, stored));
    calls.push_back(take_log(self, id, stored));
    const auto read_all = co_await loop::gather(self->io, std::move(calls));
    if (std::ranges::all_of(read_all, std::identity{})) {
        out.batch = rebuild(self, std::move(*read.header), *stored);
    }
    note_loaded(*self, id, out.batch ? "done" : "unavailable", *stored, asked);
    co_return out;
}

loop::task<bool> catch_up(live_batch_ptr one) {
    const auto asked = one->self->now();
    const entry_reader read = reader_of(one->self, one->state.header.id);
    const entry_taker take = [one](std::uint64_t number, const log_entry& entry) {
        take_entry(*one, number, entry);
    };
    const auto end = co_await read_log(one->self->io, one->state.next_entry, 1, read, take);
    one->log.unavailable = end != log_read::end;
    if (end == log_read::end) {
        note_confirmed(*one, asked);
    }
    co_return end == log_read::end;
}

loop::task<bool> append_entry(live_batch_ptr one, entry_maker make, time_point until) {
    auto self = one->self;
    while (one->appending) {
        co_await one->changed.wait(to_deadline(*self, until));
        if (self->now() >= until) {
            co_return false;
        }
    }
    one->appending = true;
    auto end = append_end::overtaken;
    while (end == append_end::overtaken) {
        auto entry = make(*one);
        if (!entry) {
            break;
        }
        entry->writer = self->settings.host;
        entry->nonce = self->random();
        end = co_await store_entry(one, std::move(*entry), until);
    }
    one->appending = false;
    one->state.last_flush = self->now();
    one->changed.open();
    co_return end == append_end::stored;
}

} // namespace cornelloom::front
