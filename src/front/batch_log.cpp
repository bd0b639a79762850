#include "front/batch_log.hpp"

#include "front/records.hpp"

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

loop::task<std::optional<std::string>> read_parts(std::shared_ptr<host> self, std::string id,
                                                  int parts) {
    std::string text;
    for (int part = 0; part < parts; ++part) {
        const auto name = entry_name(id, static_cast<std::uint64_t>(part));
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
        text += object.value().specification.get<std::string>();
    }
    co_return text;
}

enum class log_read { entry, end, unreadable, unavailable };

struct read_entry_result {
    log_read what = log_read::unavailable;
    log_entry entry{};
};

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
        const auto request = self->wire.create(object_kind::batch_log, name, value);
        auto answer = co_await call_store(self->store, request);
        if (answer.fault == store_fault::none) {
            take_entry(*one, number, entry);
            one->confirmed = self->now();
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

loop::task<loaded_batch> load_batch(std::shared_ptr<host> self, std::string id) {
    loaded_batch out;
    auto read = co_await read_header(self, id);
    out.missing = read.missing;
    if (!read.header) {
        co_return out;
    }
    auto& header = *read.header;
    auto text = co_await read_parts(self, id, header.parts);
    if (!text) {
        co_return out;
    }
    const auto body = nlohmann::json::parse(*text, nullptr, false);
    auto spec = self->wire.submission(body);
    if (!spec) {
        note(*self, object_unreadable, {{"kind", "batches"}, {"id", id}});
        co_return out;
    }
    const auto age = milliseconds(self->clock.wall_now().unix_ms - header.received_ms);
    const auto known_age = std::max(age - clock_margin, milliseconds(0));
    auto one = std::make_shared<live_batch>(
        self, make_batch(std::move(header), std::move(spec.value()), self->now() - known_age));
    const bool whole = co_await catch_up(one);
    if (whole) {
        out.batch = one;
    }
    co_return out;
}

loop::task<bool> catch_up(live_batch_ptr one) {
    for (;;) {
        const auto number = one->state.next_entry;
        auto read = co_await read_entry(one->self, entry_name(one->state.header.id, number));
        if (read.what == log_read::end) {
            one->confirmed = one->self->now();
            co_return true;
        }
        if (read.what != log_read::entry) {
            co_return false;
        }
        take_entry(*one, number, read.entry);
    }
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
