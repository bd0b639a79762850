#include "front/batch_desk.hpp"

#include "front/answers.hpp"
#include "front/batch_drive.hpp"
#include "front/batch_log.hpp"
#include "front/batch_owner.hpp"

#include <algorithm>
#include <optional>

namespace cornelloom::front {

namespace {

/// Entries that move the owner or end a batch: their caller waits, at most this long.
constexpr milliseconds entry_patience{2000};
/// A batch that nobody has asked for is forgotten: results are read for about so long, and to load
/// it again takes a dozen calls and half a second.
constexpr std::chrono::seconds unused_most{120};

bool owns_by_log(const live_batch& one) {
    return one.state.header.owner == one.self->settings.host;
}

loop::task<void> answer_json(loop::served_request& request, std::string body) {
    transport::http_response answer{200, {{"Content-Type", "application/json"}}, std::move(body)};
    co_await request.answer(std::move(answer));
}

/// The reads of a batch from what this host holds, waiting for a result if the caller wants that.
loop::task<void> answer_results(live_batch_ptr one, loop::served_request& request,
                                batch_call call) {
    auto self = one->self;
    const auto until = self->now() + call.wait;
    if (is_outdated(one->state.listed.size(), call.position)) {
        co_await catch_up(one);
    }
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
    if (!one->stored) {
        co_await refuse(*self, request, one->state.header.id, "not_stored_yet", come_back_soon);
        co_return;
    }
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
    if (!is_visible(one->state.header, call.account)) {
        co_await answer_status(request, 404);
        co_return;
    }
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

} // namespace

transport::http_request peer_call(std::string_view path, const std::string& id) {
    transport::http_request out;
    out.method = "POST";
    out.path = path;
    out.query = "id=" + id;
    out.headers.push_back({"Host", "peer"});
    return out;
}

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

namespace {

/// Asks those who are said to own the batch; false if none of them answers for it.
loop::task<bool> ask_owners(std::shared_ptr<batch_desk> desk, loop::served_request& request,
                            const batch_call& call, call_tries& tries) {
    auto self = desk->self;
    std::optional<transport::endpoint> announced;
    if (const auto owner = desk->owners.find(call.batch); owner != desk->owners.end()) {
        announced = owner->second;
        const bool served = co_await try_owner(desk, request, call, *announced, tries);
        if (served) {
            co_return true;
        }
    }
    if (desk->known.contains(call.batch) || desk->loading.contains(call.batch)) {
        co_return false;
    }
    // The owner answers for most batches of other hosts; loading one costs many calls.
    const auto read = co_await read_header(self, call.batch);
    if (read.missing) {
        co_await answer_status(request, 404);
        co_return true;
    }
    if (!read.header || read.header->owner == self->settings.host ||
        read.header->owner_at == announced) {
        co_return false;
    }
    co_return co_await try_owner(desk, request, call, read.header->owner_at, tries);
}

/// Serves a call on a batch from the store; takes the batch over if it is read and has no owner
/// that answers.
loop::task<void> serve_from_store(std::shared_ptr<batch_desk> desk, loop::served_request& request,
                                  const batch_call& call, call_tries& tries) {
    auto self = desk->self;
    const auto asked = self->now();
    auto loaded = co_await get_batch(desk, call.batch);
    if (loaded.missing) {
        co_await answer_status(request, 404);
        co_return;
    }
    bool whole = loaded.batch && loaded.batch->log.confirmed >= asked;
    if (loaded.batch && !whole) {
        whole = co_await catch_up(loaded.batch);
    }
    if (!whole) {
        co_await refuse(*self, request, call.batch, "platform_unavailable", come_back_later);
        co_return;
    }
    auto one = loaded.batch;
    if (!one->owned && !is_over(one->state) && !owns_by_log(*one)) {
        // One that was silent may have been starting, and can go on with less loss.
        const bool served =
            co_await try_owner(desk, request, call, one->state.header.owner_at, tries);
        if (served) {
            co_return;
        }
    }
    if (call.what == batch_call::verb::read_results) {
        co_await take_over(one, "owner silent");
    }
    co_await answer_call(one, request, call);
}

loop::task<void> serve_direct(std::shared_ptr<batch_desk> desk, loop::served_request& request,
                              const batch_call& call, call_tries& tries) {
    const auto known = desk->known.find(call.batch);
    if (known != desk->known.end() && (known->second->owned || is_over(known->second->state))) {
        co_await answer_call(known->second, request, call);
        co_return;
    }
    const bool served = co_await ask_owners(desk, request, call, tries);
    if (!served) {
        co_await serve_from_store(desk, request, call, tries);
    }
}

std::string_view to_string(batch_call::verb what) {
    switch (what) {
    case batch_call::verb::read_results:
        return "read_results";
    case batch_call::verb::read_item:
        return "read_item";
    case batch_call::verb::end:
        return "end";
    }
    return "";
}

} // namespace

loop::task<void> serve_batch_call(std::shared_ptr<batch_desk> desk, loop::served_request& request,
                                  batch_call call, bool by_peer) {
    auto self = desk->self;
    if (by_peer) {
        co_await serve_passed(desk, request, call);
        co_return;
    }
    const auto received = self->now();
    call_tries tries;
    co_await serve_direct(desk, request, call, tries);
    if (request.gone()) {
        note(*self, batch_caller_left,
             {{"id", call.batch},
              {"what", to_string(call.what)},
              {"position", static_cast<std::uint64_t>(call.position)},
              {"owners_asked", tries.owners_asked},
              {"wait_ms", call.wait.count()},
              {"ms", ms_between(received, self->now())}});
    }
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

std::map<std::string, std::uint64_t, std::less<>> items_in_work(const batch_desk& desk) {
    std::map<std::string, std::uint64_t, std::less<>> out;
    for (const auto& [id, one] : desk.known) {
        if (!one->owned || is_over(one->state)) {
            continue;
        }
        for (std::size_t index = 0; index < one->state.items.size(); ++index) {
            const auto phase = one->state.items[index].phase;
            const bool open = phase == item_phase::waiting || phase == item_phase::running;
            out[one->state.spec.items[index].model] += open ? 1 : 0;
        }
    }
    return out;
}

void note_owner(batch_desk& desk, std::string id, transport::endpoint owner) {
    desk.owners.insert_or_assign(std::move(id), std::move(owner));
}

void forget_unused(batch_desk& desk) {
    const auto now = desk.self->now();
    std::erase_if(desk.known, [now](const auto& entry) {
        return !entry.second->owned && now - entry.second->used > unused_most;
    });
}

} // namespace cornelloom::front
