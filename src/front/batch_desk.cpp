#include "front/batch_desk.hpp"

#include "front/answers.hpp"
#include "front/batch_drive.hpp"
#include "front/batch_log.hpp"
#include "front/batch_owner.hpp"
#include "kernel/finally.hpp"

#include <algorithm>
#include <optional>

namespace cornelloom::front {

namespace {

/// Limit for appending entries that change the owner or end a batch, since a caller is waiting.
constexpr milliseconds entry_append_timeout{2000};
/// How long an unused batch is kept. Callers read results for about this long, and loading a batch
/// again takes a dozen calls and half a second.
constexpr std::chrono::seconds max_unused_age{120};

bool is_owner_in_log(const live_batch& batch) {
    return batch.state.header.owner == batch.local_host->settings.host;
}

loop::task<void> answer_json(loop::served_request& request, std::string body) {
    transport::http_response response{200, {{"Content-Type", "application/json"}}, std::move(body)};
    co_await request.answer(std::move(response));
}

/// Whether results that a caller may have read elsewhere could be missing here: at a position
/// beyond the known ones, or at the next one if other hosts may have appended to the log.
bool may_miss_results(const live_batch& batch, std::size_t position) {
    const auto known = batch.state.logged_results.size();
    if (is_outdated(known, position)) {
        return true;
    }
    return known == position && batch.state.ended && !are_results_final(batch.state);
}

/// Whether another host may have taken the batch over and listed results that the caller must get
/// here, too. While the store does not answer, no host can do so.
bool may_have_lost_batch(const live_batch& batch) {
    const auto& self = *batch.local_host;
    return batch.owned && !batch.log.unavailable &&
           self.now() - batch.log.confirmed >= self.settings.settle_bound;
}

/// Answers a read of results from memory, after waiting for new ones if the caller asked for that.
loop::task<void> answer_results(live_batch_ptr batch, loop::served_request& request,
                                batch_call call) {
    auto self = batch->local_host;
    const auto deadline = self->now() + call.wait;
    if (may_miss_results(*batch, call.position)) {
        const bool caught_up = co_await catch_up(batch);
        if (!caught_up) {
            co_await refuse(*self, request, batch->state.header.id, "platform_unavailable",
                            unavailable_retry_delay);
            co_return;
        }
    }
    while (batch->state.logged_results.size() <= call.position && !is_over(batch->state) &&
           batch->owned && self->now() < deadline && !request.gone()) {
        co_await batch->changed.wait(to_deadline(*self, deadline));
    }
    if (batch->state.logged_results.size() <= call.position && !is_over(batch->state) &&
        may_have_lost_batch(*batch)) {
        co_await catch_up(batch);
    }
    co_await answer_json(request, self->platform_adapter.results(batch->state.spec.items.size(),
                                                                 call.position,
                                                                 batch->state.logged_results));
}

loop::task<void> answer_item_body(live_batch_ptr batch, loop::served_request& request,
                                  std::string item_id) {
    const auto found = batch->state.index_by_id.find(item_id);
    if (found == batch->state.index_by_id.end() || batch->state.ended) {
        co_await answer_status(request, 404);
        co_return;
    }
    transport::http_response response{200, {}, batch->state.spec.items[found->second].body};
    co_await request.answer(std::move(response));
}

loop::task<void> answer_end(live_batch_ptr batch, loop::served_request& request) {
    auto self = batch->local_host;
    bool is_ended = batch->state.ended;
    if (!is_ended) {
        const auto build_entry = [](const live_batch& current) -> std::optional<log_entry> {
            const auto& settings = current.local_host->settings;
            auto entry = current.owned ? make_next_entry(current.state, settings.max_value_bytes)
                                       : log_entry{};
            entry.partials.clear();
            entry.ends = true;
            entry.new_owner = settings.host;
            entry.new_owner_at = settings.peer_endpoint;
            return entry;
        };
        co_await append_entry(batch, build_entry, self->now() + entry_append_timeout);
        is_ended = batch->state.ended;
    }
    batch->changed.open();
    if (is_ended) {
        co_await answer_status(request, 200);
    } else {
        co_await fail(*self, request, batch->state.header.id, "end not stored", true);
    }
}

loop::task<void> answer_call(live_batch_ptr batch, loop::served_request& request, batch_call call) {
    batch->last_used = batch->local_host->now();
    if (!is_visible(batch->state.header, call.account)) {
        co_await answer_status(request, 404);
        co_return;
    }
    switch (call.operation) {
    case batch_call::verb::read_results:
        co_await answer_results(batch, request, call);
        break;
    case batch_call::verb::read_item:
        co_await answer_item_body(batch, request, call.item);
        break;
    case batch_call::verb::end:
        co_await answer_end(batch, request);
        break;
    }
}

/// Serves a call that a peer has forwarded, but only if this host owns the batch or the batch is
/// over.
loop::task<void> serve_forwarded(std::shared_ptr<batch_registry> registry,
                                 loop::served_request& request, batch_call call) {
    auto loaded = co_await get_batch(registry, call.batch);
    if (!loaded.batch) {
        co_await answer_status(request, loaded.missing ? 404 : 503);
        co_return;
    }
    auto batch = loaded.batch;
    if (!batch->owned && is_owner_in_log(*batch) && !is_over(batch->state)) {
        // This process was restarted, or the call came before the submission was answered.
        const bool caught_up = co_await catch_up(batch);
        if (caught_up && is_owner_in_log(*batch)) {
            co_await take_over(batch, "owner according to the log");
        }
    }
    if (!batch->owned && !is_over(batch->state)) {
        co_await answer_status(request, status_not_owner);
        co_return;
    }
    call.wait = std::min(call.wait, max_forwarded_wait);
    co_await answer_call(batch, request, call);
}

} // namespace

transport::http_request make_peer_request(std::string_view path, const std::string& id) {
    transport::http_request peer_request;
    peer_request.method = "POST";
    peer_request.path = path;
    peer_request.query = "id=" + transport::encode_path(id);
    peer_request.headers.push_back({"Host", "peer"});
    return peer_request;
}

loop::task<loaded_batch> get_batch(std::shared_ptr<batch_registry> registry, std::string id) {
    for (;;) {
        const auto known_batch = registry->batches.find(id);
        if (known_batch != registry->batches.end()) {
            co_return loaded_batch{known_batch->second, false};
        }
        const auto pending = registry->loading.find(id);
        if (pending == registry->loading.end()) {
            break;
        }
        const auto gate = pending->second;
        co_await gate->wait(loop::after(store_call_timeout));
    }
    auto gate = std::make_shared<loop::gate>(registry->self->io);
    registry->loading.emplace(id, gate);
    const kernel::finally end([&] {
        registry->loading.erase(id);
        gate->open();
    });
    auto loaded = co_await load_batch(registry->self, id);
    if (loaded.batch) {
        loaded.batch->last_used = registry->self->now();
        registry->batches.emplace(id, loaded.batch);
    }
    // The batch may have been stored and started here while it was read.
    const auto started = registry->batches.find(id);
    if (started != registry->batches.end()) {
        loaded = {started->second, false};
    }
    co_return loaded;
}

loop::task<void> take_over(live_batch_ptr batch, std::string reason) {
    if (batch->owned || is_over(batch->state)) {
        co_return;
    }
    auto self = batch->local_host;
    const auto previous_owner = batch->state.header.owner;
    const auto known_entries = batch->state.next_entry_number;
    if (!is_owner_in_log(*batch)) {
        const auto build_entry = [self, previous_owner, known_entries](
                                     const live_batch& current) -> std::optional<log_entry> {
            const bool owner_changed = current.state.next_entry_number != known_entries &&
                                       current.state.header.owner != previous_owner;
            if (owner_changed || is_over(current.state)) {
                return std::nullopt;
            }
            log_entry entry;
            entry.new_owner = self->settings.host;
            entry.new_owner_at = self->settings.peer_endpoint;
            return entry;
        };
        const bool stored =
            co_await append_entry(batch, build_entry, self->now() + entry_append_timeout);
        if (!stored) {
            co_return;
        }
    }
    if (is_owner_in_log(*batch) && !is_over(batch->state)) {
        start_running(batch, previous_owner, reason);
    }
}

namespace {

/// Forwards the call to the announced owner, then to the one in the stored header. Returns false if
/// neither serves it.
loop::task<bool> forward_to_owner(std::shared_ptr<batch_registry> registry,
                                  loop::served_request& request, const batch_call& call,
                                  forwarding_attempts& tries) {
    auto self = registry->self;
    std::optional<transport::endpoint> announced_owner;
    if (const auto announcement = registry->owners.find(call.batch);
        announcement != registry->owners.end()) {
        announced_owner = announcement->second;
        const bool served =
            co_await forward_to_host(registry, request, call, *announced_owner, tries);
        if (served) {
            co_return true;
        }
    }
    if (registry->batches.contains(call.batch) || registry->loading.contains(call.batch)) {
        co_return false;
    }
    // The owner answers for most batches of other hosts, and loading a batch costs many calls. So
    // only the header is read here.
    const auto header_read = co_await read_header(self, call.batch);
    if (header_read.missing) {
        co_await answer_status(request, 404);
        co_return true;
    }
    if (!header_read.header || header_read.header->owner == self->settings.host ||
        header_read.header->owner_at == announced_owner) {
        co_return false;
    }
    co_return co_await forward_to_host(registry, request, call, header_read.header->owner_at,
                                       tries);
}

/// Serves a call after loading the batch from the store. Takes the batch over if results are read
/// and its owner does not answer.
loop::task<void> serve_from_store(std::shared_ptr<batch_registry> registry,
                                  loop::served_request& request, const batch_call& call,
                                  forwarding_attempts& tries) {
    auto self = registry->self;
    const auto requested_at = self->now();
    auto loaded = co_await get_batch(registry, call.batch);
    if (loaded.missing) {
        co_await answer_status(request, 404);
        co_return;
    }
    bool caught_up = loaded.batch && loaded.batch->log.confirmed >= requested_at;
    if (loaded.batch && !caught_up) {
        caught_up = co_await catch_up(loaded.batch);
    }
    if (!caught_up) {
        co_await refuse(*self, request, call.batch, "platform_unavailable",
                        unavailable_retry_delay);
        co_return;
    }
    auto batch = loaded.batch;
    if (!batch->owned && !is_over(batch->state) && !is_owner_in_log(*batch)) {
        // An owner that did not answer may have been restarting. It loses less work than a new
        // owner.
        const bool served =
            co_await forward_to_host(registry, request, call, batch->state.header.owner_at, tries);
        if (served) {
            co_return;
        }
    }
    if (call.operation == batch_call::verb::read_results) {
        co_await take_over(batch, "owner did not answer");
    }
    co_await answer_call(batch, request, call);
}

loop::task<void> serve_caller(std::shared_ptr<batch_registry> registry,
                              loop::served_request& request, const batch_call& call,
                              forwarding_attempts& tries) {
    const auto known = registry->batches.find(call.batch);
    if (known != registry->batches.end() &&
        (known->second->owned || is_over(known->second->state))) {
        co_await answer_call(known->second, request, call);
        co_return;
    }
    const bool served = co_await forward_to_owner(registry, request, call, tries);
    if (!served) {
        co_await serve_from_store(registry, request, call, tries);
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

loop::task<void> serve_batch_call(std::shared_ptr<batch_registry> registry,
                                  loop::served_request& request, batch_call call, bool by_peer) {
    auto self = registry->self;
    if (by_peer) {
        co_await serve_forwarded(registry, request, call);
        co_return;
    }
    const auto received = self->now();
    forwarding_attempts tries;
    co_await serve_caller(registry, request, call, tries);
    if (request.gone()) {
        log_event(*self, batch_caller_left,
                  {{"id", call.batch},
                   {"what", to_string(call.operation)},
                   {"position", static_cast<std::uint64_t>(call.position)},
                   {"owners_asked", tries.owners_asked},
                   {"wait_ms", call.wait.count()},
                   {"ms", ms_between(received, self->now())}});
    }
}

loop::task<void> adopt_batch(std::shared_ptr<batch_registry> registry, std::string id) {
    auto loaded = co_await get_batch(registry, id);
    if (!loaded.batch) {
        co_return;
    }
    const bool caught_up = co_await catch_up(loaded.batch);
    if (caught_up && is_owner_in_log(*loaded.batch)) {
        loaded.batch->last_used = registry->self->now();
        co_await take_over(loaded.batch, "handed over");
    }
}

std::map<std::string, std::uint64_t, std::less<>>
count_unfinished_items(const batch_registry& registry) {
    std::map<std::string, std::uint64_t, std::less<>> counts;
    for (const auto& [id, batch] : registry.batches) {
        if (!batch->owned || is_over(batch->state)) {
            continue;
        }
        for (std::size_t index = 0; index < batch->state.items.size(); ++index) {
            const auto phase = batch->state.items[index].phase;
            const bool unfinished = phase == item_phase::waiting || phase == item_phase::running;
            counts[batch->state.spec.items[index].model] += unfinished ? 1 : 0;
        }
    }
    return counts;
}

void record_owner(batch_registry& registry, std::string id, transport::endpoint owner) {
    registry.owners.insert_or_assign(std::move(id), std::move(owner));
}

void evict_unused(batch_registry& registry) {
    const auto now = registry.self->now();
    std::erase_if(registry.batches, [now](const auto& entry) {
        return !entry.second->owned && now - entry.second->last_used > max_unused_age;
    });
}

} // namespace cornelloom::front
