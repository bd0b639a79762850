#include "front/batch_start.hpp"

#include "front/batch_drive.hpp"
#include "front/batch_log.hpp"
#include "front/batch_owner.hpp"
#include "front/records.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

/// A runner takes a batch within a round trip of its zone and the time to read half a megabyte on
/// its share of a processor.
constexpr loop::milliseconds runner_limit{600};
/// A runner that has heard nothing of the storing for so long looks for itself.
constexpr loop::milliseconds unstored_patience{3000};

constexpr std::string_view call_early = "early";       // the batch is being stored
constexpr std::string_view call_run = "run";           // it is stored, with this owner
constexpr std::string_view call_stored = "stored";     // the same, and it has begun
constexpr std::string_view call_settle = "settle";     // it was stored before: see by whom
constexpr std::string_view call_withdraw = "withdraw"; // it could not be stored

constexpr int status_done = 200;
constexpr int status_not_so = 409;
constexpr int status_unavailable = 503;

/// Tells the hosts that will be asked for the batch, or to run it, who its owner is: all of this
/// zone and the first of each other one.
loop::task<void> announce(std::shared_ptr<host> self, std::string id) {
    auto message = peer_call(owner_path, id);
    message.query += "&at=" + to_string(self->settings.peers);
    std::vector<transport::endpoint> told;
    for (const auto& [zone, region] : self->settings.region_of_zone) {
        const host_entry nobody{{}, zone, {}, -1};
        const auto first = first_of_zone(nobody, self->peers, self->avoided, self->now());
        if (zone != self->settings.zone && first) {
            told.push_back(first->where);
        }
    }
    for (const auto& [name, peer] : self->peers) {
        if (peer.zone == self->settings.zone) {
            told.push_back(peer.where);
        }
    }
    for (const auto& where : told) {
        co_await loop::call(self->connections, where, message, loop::after(owner_allowance),
                            owner_connect);
    }
}

/// `log_known`: when its log was known to be as this host knows it.
void note_stored(const live_batch_ptr& one, time_point log_known) {
    one->stored = true;
    one->log.confirmed = std::max(one->log.confirmed, log_known);
    one->changed.open();
    loop::asio::co_spawn(one->self->io, announce(one->self, one->state.header.id),
                         loop::asio::detached);
}

void drop(batch_desk& desk, const live_batch_ptr& one, std::string_view why) {
    note(*desk.self, batch_dropped,
         {{"id", one->state.header.id},
          {"why", why},
          {"runs", static_cast<std::uint64_t>(one->runs.size())},
          {"age_ms", ms_between(one->state.submitted, desk.self->now())}});
    one->owned = false;
    stop_runs(*one);
    one->changed.open();
    desk.known.erase(one->state.header.id);
}

live_batch_ptr find_known(const batch_desk& desk, std::string_view id) {
    const auto found = desk.known.find(id);
    return found == desk.known.end() ? nullptr : found->second;
}

/// Finds out whether the batch was stored, and by which owner.
loop::task<void> settle(std::shared_ptr<batch_desk> desk, live_batch_ptr one) {
    const auto read = co_await read_header(desk->self, one->state.header.id);
    if (one->stored || !one->owned) {
        co_return;
    }
    if (read.header && read.header->owner == desk->self->settings.host) {
        note_stored(one, {}); // by an earlier attempt: it may have been ended since
    } else if (read.header) {
        note_owner(*desk, one->state.header.id, read.header->owner_at);
        drop(*desk, one, "another host runs it");
    } else if (read.missing) {
        drop(*desk, one, "not stored");
    }
}

loop::task<void> watch_unstored(std::shared_ptr<batch_desk> desk, live_batch_ptr one) {
    for (;;) {
        co_await loop::pause_for(desk->self->io, unstored_patience);
        if (one->stored || !one->owned) {
            co_return;
        }
        co_await settle(desk, one);
    }
}

/// Runs a batch that this process does not have.
live_batch_ptr start_batch(const std::shared_ptr<batch_desk>& desk, batch_header header,
                           batch_spec spec, bool stored) {
    const std::string id = header.id;
    auto one = std::make_shared<live_batch>(
        desk->self, make_batch(std::move(header), std::move(spec), desk->self->now()));
    one->stored = stored;
    desk->known.emplace(id, one);
    start_driving(one, {}, stored ? "submitted" : "being stored");
    return one;
}

early_facts facts_of(const batch_desk& desk, std::string_view id) {
    const auto& self = *desk.self;
    return {desk.known.contains(id), desk.owners.contains(id), self.stopping,
            std::chrono::duration_cast<milliseconds>(self.now() - self.started)};
}

/// Begins, or goes on with, a batch that a peer or this host has taken in.
int start(const std::shared_ptr<batch_desk>& desk, const transport::http_request& message,
          const std::string& id, bool stored) {
    auto& self = *desk->self;
    const auto known = find_known(*desk, id);
    if (known && stored && !known->stored) {
        note_stored(known, self.now());
    }
    if (known) {
        return stored || !known->stored ? status_done : status_not_so;
    }
    if (!stored && !may_start_early(facts_of(*desk, id))) {
        return status_not_so;
    }
    const auto record = transport::find_header(message.headers, record_header).value_or("");
    auto header = decode_header(id, nlohmann::json::parse(record, nullptr, false));
    auto spec = self.wire.submission(nlohmann::json::parse(message.body, nullptr, false));
    if (!header || !spec || header.value().owner != self.settings.host || self.stopping) {
        return status_unavailable;
    }
    const auto one = start_batch(desk, std::move(header.value()), std::move(spec.value()), stored);
    if (stored) {
        note_stored(one, self.now());
    } else {
        loop::asio::co_spawn(self.io, watch_unstored(desk, one), loop::asio::detached);
    }
    return status_done;
}

int withdraw(batch_desk& desk, const live_batch_ptr& one) {
    if (!one || one->stored) {
        return status_not_so;
    }
    const bool nothing_sent = std::ranges::all_of(
        one->state.items, [](const item_state& item) { return item.last_target.empty(); });
    drop(desk, one, "not stored");
    return nothing_sent ? status_done : status_not_so;
}

/// What a runner answered.
struct runner_answer {
    int status = 0;    ///< 0: it did not answer.
    bool sent = false; ///< The call may have reached it.
};

loop::task<runner_answer> call_runner(std::shared_ptr<batch_desk> desk, batch_header header,
                                      std::string_view what, std::string submission = {}) {
    auto self = desk->self;
    auto message = peer_call(std::string(start_path) + std::string(what), header.id);
    message.headers.push_back({std::string(record_header), encode_header(header)});
    message.body = std::move(submission);
    if (header.owner == self->settings.host) {
        const int status = co_await serve_start_call(desk, std::move(message));
        co_return runner_answer{status, true};
    }
    auto outcome = co_await loop::call(self->connections, header.owner_at, std::move(message),
                                       loop::after(runner_limit), owner_connect);
    if (outcome.fault != loop::exchange_fault::none) {
        note_silent_owner(*self, header.id, header.owner_at, outcome);
        co_return runner_answer{0, outcome.sent};
    }
    co_return runner_answer{outcome.answer.status, true};
}

loop::task<void> ask(std::shared_ptr<batch_desk> desk, batch_header header, std::string submission,
                     early_start_ptr early) {
    const auto said = co_await call_runner(desk, header, call_early, std::move(submission));
    using state = early_start::state;
    const bool untouched = said.status == 0 ? !said.sent : said.status != status_done;
    early->now = said.status == status_done ? state::begun
                 : untouched                ? state::declined
                                            : state::unknown;
    early->answered.open();
}

loop::task<void> wait_for_answer(const early_start_ptr& early) {
    while (early->now == early_start::state::asked) {
        co_await early->answered.wait(loop::after(runner_limit));
    }
}

} // namespace

host_entry choose_runner(host& self) {
    auto own = own_entry(self);
    if (self.stopping) {
        return own;
    }
    return first_of_zone(own, self.peers, self.avoided, self.now()).value_or(std::move(own));
}

early_start_ptr ask_early_start(const std::shared_ptr<batch_desk>& desk, const batch_header& header,
                                const std::string& submission) {
    auto early = std::make_shared<early_start>(desk->self->io);
    // A host that knows the batch, or its owner, takes it in a second time.
    if (desk->owners.contains(header.id) || desk->known.contains(header.id)) {
        early->now = early_start::state::declined;
        return early;
    }
    loop::asio::co_spawn(desk->self->io, ask(desk, header, submission, early),
                         loop::asio::detached);
    return early;
}

loop::task<void> confirm_start(std::shared_ptr<batch_desk> desk, batch_header header,
                               std::string submission, early_start_ptr early, store_fault stored) {
    co_await wait_for_answer(early);
    const bool declined = early->now == early_start::state::declined;
    if (stored == store_fault::conflict) {
        if (!declined) {
            co_await call_runner(desk, header, call_settle);
        }
        co_return;
    }
    note_owner(*desk, header.id, header.owner_at);
    if (!declined) {
        const auto said = co_await call_runner(desk, header, call_stored);
        if (said.status == status_done) {
            co_return;
        }
    }
    const auto said = co_await call_runner(desk, header, call_run, std::move(submission));
    if (said.status == status_done) {
        co_return;
    }
    desk->owners.erase(header.id);
    auto loaded = co_await get_batch(desk, header.id);
    if (loaded.batch) {
        co_await take_over(loaded.batch, "owner does not take it");
    }
}

loop::task<early_outcome> withdraw_start(std::shared_ptr<batch_desk> desk, batch_header header,
                                         early_start_ptr early) {
    co_await wait_for_answer(early);
    if (early->now == early_start::state::declined) {
        co_return early_outcome::nothing_sent;
    }
    const auto said = co_await call_runner(desk, header, call_withdraw);
    co_return said.status == status_done ? early_outcome::nothing_sent
                                         : early_outcome::may_have_run;
}

loop::task<int> serve_start_call(std::shared_ptr<batch_desk> desk,
                                 transport::http_request message) {
    const auto what = std::string_view(message.path).substr(start_path.size());
    const std::string id(transport::find_query(message.query, "id").value_or(""));
    const auto known = find_known(*desk, id);
    if (what == call_early || what == call_run) {
        co_return start(desk, message, id, what == call_run);
    }
    if (what == call_stored) {
        if (known && !known->stored) {
            note_stored(known, desk->self->now());
        }
        co_return known ? status_done : status_not_so;
    }
    if (what == call_settle) {
        if (known && !known->stored) {
            co_await settle(desk, known);
        }
        co_return status_done;
    }
    co_return what == call_withdraw ? withdraw(*desk, known) : 404;
}

void drop_unstored(batch_desk& desk) {
    std::vector<live_batch_ptr> unstored;
    for (const auto& [id, one] : desk.known) {
        if (!one->stored) {
            unstored.push_back(one);
        }
    }
    for (const auto& one : unstored) {
        drop(desk, one, "the process stops");
    }
}

} // namespace cornelloom::front
