#include "front/batch_desk.hpp"

#include "front/answers.hpp"
#include "front/batch_drive.hpp"
#include "front/batch_log.hpp"
#include "front/feed.hpp"
#include "front/records.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

/// The owner answers a waiting read after `wait`; what it may take beyond: two round trips between
/// regions and a slice of processor time on a small host.
constexpr milliseconds owner_allowance{700};
constexpr loop::milliseconds owner_connect{300};
/// A read that is passed on waits no longer than this, so that a dead owner shows soon.
constexpr milliseconds passed_wait{600};
/// A runner takes an accepted batch within a round trip of its zone and the time to read half a
/// megabyte on its share of a processor.
constexpr loop::milliseconds pass_on_limit{600};
/// Entries that move the owner or end a batch: their caller waits, at most this long.
constexpr milliseconds entry_patience{2000};
/// A batch that nobody has asked for is forgotten; it can be loaded again.
constexpr std::chrono::seconds unused_most{45};
/// When a process ends, a batch whose hand-over takes longer than this is left to its readers.
constexpr milliseconds hand_over_patience{1500};

constexpr int status_other_owner = 409;

loop::task<void> answer_json(loop::served_request& request, std::string body) {
    transport::http_response answer{200, {{"Content-Type", "application/json"}}, std::move(body)};
    co_await request.answer(std::move(answer));
}

/// A call of this host on a peer, about one batch.
transport::http_request peer_call(std::string_view path, const std::string& id) {
    transport::http_request out;
    out.method = "POST";
    out.path = path;
    out.query = "id=" + id;
    out.headers.push_back({"Host", "peer"});
    return out;
}

void note_silent_owner(host& self, std::string_view batch, const transport::endpoint& owner,
                       const loop::call_outcome& outcome) {
    note(self, read_forwarded_failed,
         {{"id", batch},
          {"owner_at", to_string(owner)},
          {"fault", to_string(outcome.fault)},
          {"status", outcome.answer.status}});
}

/// Loads a batch once, however many calls ask for it.
loop::task<loaded_batch> get_batch(std::shared_ptr<batch_desk> desk, std::string id) {
    for (;;) {
        const auto found = desk->known.find(id);
        if (found != desk->known.end()) {
            co_return loaded_batch{found->second, false};
        }
        const auto pending = desk->loading.find(id);
        if (pending == desk->loading.end()) {
            break;
        }
        const auto gate = pending->second;
        co_await gate->wait(loop::after(store_call_limit));
    }
    auto gate = std::make_shared<loop::gate>(desk->self->io);
    desk->loading.emplace(id, gate);
    auto loaded = co_await load_batch(desk->self, id);
    if (loaded.batch) {
        loaded.batch->used = desk->self->now();
        desk->known.emplace(id, loaded.batch);
    }
    desk->loading.erase(id);
    gate->open();
    co_return loaded;
}

bool owns_by_log(const live_batch& one) {
    return one.state.header.owner == one.self->settings.host;
}

/// Makes this host the owner, unless the batch is over or another host was quicker.
loop::task<void> take_over(live_batch_ptr one, std::string reason) {
    if (one->owned || is_over(one->state)) {
        co_return;
    }
    auto self = one->self;
    const auto before = one->state.header.owner;
    const auto seen = one->state.next_entry;
    if (!owns_by_log(*one)) {
        const auto make = [self, before, seen](const live_batch& now) -> std::optional<log_entry> {
            const bool moved = now.state.next_entry != seen && now.state.header.owner != before;
            if (moved || is_over(now.state)) {
                return std::nullopt;
            }
            log_entry entry;
            entry.new_owner = self->settings.host;
            entry.new_owner_at = self->settings.peers;
            return entry;
        };
        const bool stored = co_await append_entry(one, make, self->now() + entry_patience);
        if (!stored) {
            co_return;
        }
    }
    if (owns_by_log(*one) && !is_over(one->state)) {
        start_driving(one, before, reason);
    }
}

/// The reads of a batch from what this host holds, waiting for a result if the caller wants that.
loop::task<void> answer_results(live_batch_ptr one, loop::served_request& request,
                                batch_call call) {
    auto self = one->self;
    const auto until = self->now() + call.wait;
    while (one->state.listed.size() <= call.position && !is_over(one->state) && one->owned &&
           self->now() < until && !request.gone()) {
        co_await one->changed.wait(to_deadline(*self, until));
    }
    co_await answer_json(request, self->wire.results(one->state.spec.items.size(), call.position,
                                                     one->state.listed));
}

loop::task<void> answer_body(live_batch_ptr one, loop::served_request& request, std::string item) {
    const auto found = one->state.index.find(item);
    if (found == one->state.index.end() || one->state.ended) {
        co_await answer_status(request, 404);
        co_return;
    }
    transport::http_response answer{200, {}, one->state.spec.items[found->second].body};
    co_await request.answer(std::move(answer));
}

loop::task<void> answer_end(live_batch_ptr one, loop::served_request& request) {
    auto self = one->self;
    bool done = one->state.ended;
    if (!done) {
        const auto make = [](const live_batch& now) -> std::optional<log_entry> {
            if (now.state.ended) {
                return std::nullopt;
            }
            auto entry =
                now.owned ? next_entry(now.state, now.self->settings.value_bytes) : log_entry{};
            entry.partials.clear();
            entry.ends = true;
            return entry;
        };
        co_await append_entry(one, make, self->now() + entry_patience);
        done = one->state.ended;
    }
    one->changed.open();
    if (done) {
        co_await answer_status(request, 200);
    } else {
        co_await fail(*self, request, one->state.header.id, "end not stored", true);
    }
}

loop::task<void> answer_call(live_batch_ptr one, loop::served_request& request, batch_call call) {
    one->used = one->self->now();
    switch (call.what) {
    case batch_call::verb::read_results:
        co_await answer_results(one, request, call);
        break;
    case batch_call::verb::read_item:
        co_await answer_body(one, request, call.item);
        break;
    case batch_call::verb::end:
        co_await answer_end(one, request);
        break;
    }
}

/// Passes a call on to the batch's owner; false if that is silent, or is the owner no more.
loop::task<bool> try_owner(std::shared_ptr<batch_desk> desk, loop::served_request& request,
                           batch_call call, transport::endpoint owner) {
    auto self = desk->self;
    transport::http_request message = request.message;
    message.path.insert(0, passed_path);
    const bool ends = call.what == batch_call::verb::end;
    const auto patience = std::min(call.wait, passed_wait) + owner_allowance +
                          (ends ? entry_patience : milliseconds(0));
    auto outcome = co_await loop::call(self->connections, owner, std::move(message),
                                       loop::after(patience), owner_connect);
    auto& answer = outcome.answer;
    const bool silent = outcome.fault != loop::exchange_fault::none || answer.status >= 500;
    if (silent) {
        note_silent_owner(*self, call.batch, owner, outcome);
    }
    if (silent || answer.status == status_other_owner) {
        desk->owners.erase(call.batch);
        co_return false;
    }
    std::erase_if(answer.headers, [](const transport::http_header& header) {
        return header.name != "Content-Type";
    });
    co_await request.answer(std::move(answer));
    note_owner(*desk, call.batch, owner);
    co_return true;
}

/// A call that a peer has passed on: answered only if this host owns the batch, or nothing is left
/// to run.
loop::task<void> serve_passed(std::shared_ptr<batch_desk> desk, loop::served_request& request,
                              batch_call call) {
    auto loaded = co_await get_batch(desk, call.batch);
    if (!loaded.batch) {
        co_await answer_status(request, loaded.missing ? 404 : 503);
        co_return;
    }
    auto one = loaded.batch;
    if (!one->owned && owns_by_log(*one) && !is_over(one->state)) {
        // This process has started anew, or the caller came before the submission was answered.
        const bool whole = co_await catch_up(one);
        if (whole && owns_by_log(*one)) {
            co_await take_over(one, "asked as owner");
        }
    }
    if (!one->owned && !is_over(one->state)) {
        co_await answer_status(request, status_other_owner);
        co_return;
    }
    call.wait = std::min(call.wait, passed_wait);
    co_await answer_call(one, request, call);
}

loop::task<void> announce(std::shared_ptr<host> self, std::string id) {
    auto message = peer_call(owner_path, id);
    message.query += "&at=" + to_string(self->settings.peers);
    for (const auto& [name, peer] : std::map(self->peers)) {
        if (peer.zone == self->settings.zone) {
            co_await loop::call(self->connections, peer.where, message,
                                loop::after(owner_allowance), owner_connect);
        }
    }
}

/// Runs a batch that was stored just now with this host as its owner.
void start_batch(const std::shared_ptr<batch_desk>& desk, batch_header header, batch_spec spec,
                 time_point received) {
    if (desk->known.contains(header.id)) {
        return;
    }
    const std::string id = header.id;
    auto one = std::make_shared<live_batch>(
        desk->self, make_batch(std::move(header), std::move(spec), received));
    one->used = desk->self->now();
    desk->known.emplace(id, one);
    start_driving(one, {}, "submitted");
    loop::asio::co_spawn(desk->self->io, announce(desk->self, id), loop::asio::detached);
}

/// Gives an accepted batch to the host that is to run it, or runs it here if that does not take it.
loop::task<void> pass_on(std::shared_ptr<batch_desk> desk, batch_header header,
                         std::string submission) {
    auto message = peer_call(run_path, header.id);
    message.headers.push_back({std::string(record_header), encode_header(header)});
    message.body = std::move(submission);
    auto outcome = co_await loop::call(desk->self->connections, header.owner_at, std::move(message),
                                       loop::after(pass_on_limit), owner_connect);
    if (outcome.fault == loop::exchange_fault::none && outcome.answer.status == 200) {
        co_return;
    }
    note_silent_owner(*desk->self, header.id, header.owner_at, outcome);
    desk->owners.erase(header.id);
    auto loaded = co_await get_batch(desk, header.id);
    if (loaded.batch) {
        co_await take_over(loaded.batch, "owner does not take it");
    }
}

} // namespace

host_entry choose_runner(host& self) {
    const auto feeder = choose_feeder(self);
    if (self.peers.empty() || self.stopping || !feeder) {
        return own_entry(self);
    }
    return *feeder;
}

bool run_accepted(const std::shared_ptr<batch_desk>& desk, const transport::http_request& message) {
    auto& self = *desk->self;
    const auto id = transport::find_query(message.query, "id").value_or("");
    const auto record = transport::find_header(message.headers, record_header).value_or("");
    auto header = decode_header(id, nlohmann::json::parse(record, nullptr, false));
    auto spec = self.wire.submission(nlohmann::json::parse(message.body, nullptr, false));
    if (!header || !spec || header.value().owner != self.settings.host || self.stopping) {
        return false;
    }
    start_batch(desk, std::move(header.value()), std::move(spec.value()), self.now());
    return true;
}

loop::task<void> submit_batch(std::shared_ptr<batch_desk> desk, loop::served_request& request,
                              caller_request facts) {
    auto self = desk->self;
    const auto body = nlohmann::json::parse(request.message.body, nullptr, false);
    auto spec = self->wire.submission(body);
    if (!spec) {
        co_await reject(*self, request, facts.id, spec.error().detail, 400);
        co_return;
    }
    const auto received = self->now();
    batch_header header;
    header.id = facts.id;
    header.host = facts.host;
    header.path = request.message.path;
    const auto runner = choose_runner(*self);
    header.owner = runner.name;
    header.owner_at = runner.where;
    header.received_ms = self->clock.wall_now().unix_ms;
    const auto stored = co_await store_batch(self, header, request.message.body);
    if (stored == store_fault::refused) {
        note(*self, batch_refused, {{"id", facts.id}, {"why", "store out of reach"}});
        co_await refuse(*self, request, facts.id, "platform_unavailable", come_back_later);
        co_return;
    }
    if (stored != store_fault::none && stored != store_fault::conflict) {
        // It may exist, and then another submission of it finds it.
        note(*self, batch_refused, {{"id", facts.id}, {"why", to_string(stored)}});
        co_await fail(*self, request, facts.id, "store did not answer", true);
        co_return;
    }
    note(*self, batch_accepted,
         {{"id", facts.id},
          {"again", stored == store_fault::conflict},
          {"items", static_cast<std::uint64_t>(spec.value().items.size())},
          {"oldest_version", spec.value().oldest_version},
          {"wanted", spec.value().groups_wanted},
          {"bytes", static_cast<std::uint64_t>(request.message.body.size())},
          {"ms", ms_between(received, self->now())}});
    if (stored == store_fault::none && runner.name == self->settings.host) {
        start_batch(desk, std::move(header), std::move(spec.value()), received);
    } else if (stored == store_fault::none) {
        note_owner(*desk, facts.id, runner.where);
        loop::asio::co_spawn(self->io,
                             pass_on(desk, std::move(header), std::move(request.message.body)),
                             loop::asio::detached);
    }
    co_await answer_status(request, 202);
}

loop::task<void> serve_batch_call(std::shared_ptr<batch_desk> desk, loop::served_request& request,
                                  batch_call call, bool by_peer) {
    auto self = desk->self;
    if (by_peer) {
        co_await serve_passed(desk, request, call);
        co_return;
    }
    const auto known = desk->known.find(call.batch);
    if (known != desk->known.end() && (known->second->owned || is_over(known->second->state))) {
        co_await answer_call(known->second, request, call);
        co_return;
    }
    const auto owner = desk->owners.find(call.batch);
    if (owner != desk->owners.end()) {
        const transport::endpoint where = owner->second;
        const bool served = co_await try_owner(desk, request, call, where);
        if (served) {
            co_return;
        }
    }
    if (!desk->known.contains(call.batch)) {
        // The owner answers for most batches of other hosts; loading one costs ten calls.
        const auto read = co_await read_header(self, call.batch);
        if (read.missing) {
            co_await answer_status(request, 404);
            co_return;
        }
        if (read.header && read.header->owner != self->settings.host) {
            const bool served = co_await try_owner(desk, request, call, read.header->owner_at);
            if (served) {
                co_return;
            }
        }
    }
    auto loaded = co_await get_batch(desk, call.batch);
    if (loaded.missing) {
        co_await answer_status(request, 404);
        co_return;
    }
    const bool whole = loaded.batch && co_await catch_up(loaded.batch);
    if (!whole) {
        co_await refuse(*self, request, call.batch, "platform_unavailable", come_back_later);
        co_return;
    }
    auto one = loaded.batch;
    if (!one->owned && !is_over(one->state) && !owns_by_log(*one)) {
        const bool served = co_await try_owner(desk, request, call, one->state.header.owner_at);
        if (served) {
            co_return;
        }
    }
    if (call.what == batch_call::verb::read_results) {
        co_await take_over(one, "owner silent");
    }
    co_await answer_call(one, request, call);
}

loop::task<void> adopt_batch(std::shared_ptr<batch_desk> desk, std::string id) {
    auto loaded = co_await get_batch(desk, id);
    if (!loaded.batch) {
        co_return;
    }
    const bool whole = co_await catch_up(loaded.batch);
    if (whole && owns_by_log(*loaded.batch)) {
        loaded.batch->used = desk->self->now();
        co_await take_over(loaded.batch, "handed over");
    }
}

void note_owner(batch_desk& desk, std::string id, transport::endpoint owner) {
    desk.owners.insert_or_assign(std::move(id), std::move(owner));
}

namespace {

/// The peer that takes the batches: of this zone if there is any, and of these one of the quickest.
std::optional<host_entry> choose_heir(host& self) {
    std::vector<host_entry> near;
    std::vector<host_entry> far;
    for (const auto& [name, peer] : self.peers) {
        (peer.zone == self.settings.zone ? near : far).push_back(peer);
    }
    auto& from = near.empty() ? far : near;
    if (from.empty()) {
        return std::nullopt;
    }
    std::ranges::shuffle(from, self.random);
    return *std::ranges::max_element(from, {}, &host_entry::processor);
}

loop::task<void> hand_over(std::shared_ptr<batch_desk> desk, live_batch_ptr one) {
    auto self = desk->self;
    const auto heir = choose_heir(*self);
    if (!heir) {
        co_return;
    }
    auto message = peer_call(adopt_path, one->state.header.id);
    const auto make = [heir](const live_batch& now) -> std::optional<log_entry> {
        if (!now.owned) {
            return std::nullopt;
        }
        auto entry = next_entry(now.state, now.self->settings.value_bytes);
        add_partials(entry, now.state, 1, now.self->settings.value_bytes);
        entry.new_owner = heir->name;
        entry.new_owner_at = heir->where;
        return entry;
    };
    // The runs stop first: what is handed over must not go on here.
    one->handing_over = true;
    stop_runs(*one);
    const bool stored = co_await append_entry(one, make, self->now() + hand_over_patience);
    one->handing_over = false;
    if (!stored) {
        co_return;
    }
    desk->owners.insert_or_assign(one->state.header.id, heir->where);
    co_await loop::call(self->connections, heir->where, std::move(message),
                        loop::after(hand_over_patience), owner_connect);
}

} // namespace

void hand_over_all(const std::shared_ptr<batch_desk>& desk) {
    for (const auto& [id, one] : desk->known) {
        if (one->owned && !is_over(one->state)) {
            loop::asio::co_spawn(desk->self->io, hand_over(desk, one), loop::asio::detached);
        }
    }
}

void forget_unused(batch_desk& desk) {
    const auto now = desk.self->now();
    std::erase_if(desk.known, [now](const auto& entry) {
        return !entry.second->owned && now - entry.second->used > unused_most;
    });
}

} // namespace cornelloom::front
