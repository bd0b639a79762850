#include "front/batch_start.hpp"

#include "front/batch_drive.hpp"
#include "front/batch_log.hpp"
#include "front/batch_owner.hpp"
#include "front/records.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

/// Allows for a round trip within the zone, and for the runner to read half a megabyte with its
/// share of a processor.
constexpr loop::milliseconds runner_timeout{600};
/// A runner that is not told within this time whether the batch is stored reads the store itself.
constexpr loop::milliseconds store_check_delay{3000};

constexpr std::string_view action_early = "early";   // start: the batch is being stored
constexpr std::string_view action_run = "run";       // start: the batch is stored, with this owner
constexpr std::string_view action_stored = "stored"; // the batch that was started early is stored
constexpr std::string_view action_settle = "settle"; // it was stored before: look up its owner
constexpr std::string_view action_withdraw = "withdraw"; // stop: the batch could not be stored

constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;

/// Announces this host as the owner to the hosts that may get calls on the batch or be asked to run
/// it: all hosts of this zone and the preferred runner of each other zone.
loop::task<void> announce_ownership(std::shared_ptr<host> self, std::string id) {
    auto message = make_peer_request(owner_path, id);
    message.query += "&at=" + to_string(self->settings.peer_endpoint);
    std::vector<transport::endpoint> recipients;
    for (const auto& [zone, region] : self->settings.region_of_zone) {
        const host_entry any_host{{}, zone, {}, -1};
        const auto preferred = first_zone_host(any_host, self->peers, self->avoided, self->now());
        if (zone != self->settings.zone && preferred) {
            recipients.push_back(preferred->address);
        }
    }
    for (const auto& [name, peer] : self->peers) {
        if (peer.zone == self->settings.zone) {
            recipients.push_back(peer.address);
        }
    }
    for (const auto& where : recipients) {
        co_await loop::call(self->connections, where, message,
                            loop::after(owner_response_allowance), owner_connect_timeout);
    }
}

/// Marks the batch as stored. `log_confirmed`: when this host's copy of the log was known to be
/// complete.
void mark_stored(const live_batch_ptr& batch, time_point log_confirmed) {
    batch->stored = true;
    batch->log.confirmed = std::max(batch->log.confirmed, log_confirmed);
    batch->changed.open();
    loop::asio::co_spawn(batch->local_host->io,
                         announce_ownership(batch->local_host, batch->state.header.id),
                         loop::asio::detached);
}

void drop_batch(batch_registry& registry, const live_batch_ptr& batch, std::string_view reason) {
    log_event(*registry.self, batch_dropped,
              {{"id", batch->state.header.id},
               {"why", reason},
               {"runs", static_cast<std::uint64_t>(batch->runs.size())},
               {"age_ms", ms_between(batch->state.submitted, registry.self->now())}});
    batch->owned = false;
    stop_runs(*batch);
    batch->changed.open();
    registry.batches.erase(batch->state.header.id);
}

live_batch_ptr find_batch(const batch_registry& registry, std::string_view id) {
    const auto found = registry.batches.find(id);
    return found == registry.batches.end() ? nullptr : found->second;
}

/// Reads the store to find out whether the batch was stored, and with which owner.
loop::task<void> check_stored(std::shared_ptr<batch_registry> registry, live_batch_ptr batch) {
    const auto read = co_await read_header(registry->self, batch->state.header.id);
    if (batch->stored || !batch->owned) {
        co_return;
    }
    if (read.header && read.header->owner == registry->self->settings.host) {
        mark_stored(batch, {}); // by an earlier attempt: the caller may have ended it since
    } else if (read.header) {
        record_owner(*registry, batch->state.header.id, read.header->owner_at);
        drop_batch(*registry, batch, "owned by another host");
    } else if (read.missing) {
        drop_batch(*registry, batch, "not stored");
    }
}

loop::task<void> check_until_stored(std::shared_ptr<batch_registry> registry,
                                    live_batch_ptr batch) {
    for (;;) {
        co_await loop::pause_for(registry->self->io, store_check_delay);
        if (batch->stored || !batch->owned) {
            co_return;
        }
        co_await check_stored(registry, batch);
    }
}

/// Starts a batch that this process does not know yet.
live_batch_ptr start_batch(const std::shared_ptr<batch_registry>& registry, batch_header header,
                           batch_spec spec, bool stored) {
    const std::string id = header.id;
    auto batch = std::make_shared<live_batch>(
        registry->self, make_batch(std::move(header), std::move(spec), registry->self->now()));
    batch->stored = stored;
    registry->batches.emplace(id, batch);
    start_running(batch, {}, stored ? "submitted" : "being stored");
    return batch;
}

early_start_conditions get_early_start_conditions(const batch_registry& registry,
                                                  std::string_view id) {
    const auto& self = *registry.self;
    return {registry.batches.contains(id), registry.owners.contains(id), self.stopping,
            std::chrono::duration_cast<milliseconds>(self.now() - self.started)};
}

/// Starts or continues a batch that a peer or this host has received; returns the status.
int handle_start_call(const std::shared_ptr<batch_registry>& registry,
                      const transport::http_request& message, const std::string& id, bool stored) {
    auto& self = *registry->self;
    const auto known = find_batch(*registry, id);
    if (known && stored && !known->stored) {
        mark_stored(known, self.now());
    }
    if (known) {
        return stored || !known->stored ? status_ok : status_conflict;
    }
    if (!stored && !may_start_early(get_early_start_conditions(*registry, id))) {
        return status_conflict;
    }
    const auto record = transport::find_header(message.headers, record_header).value_or("");
    auto header = decode_header(id, nlohmann::json::parse(record, nullptr, false));
    auto spec =
        self.platform_adapter.submission(nlohmann::json::parse(message.body, nullptr, false));
    if (!header || !spec || header.value().owner != self.settings.host || self.stopping) {
        return status_unavailable;
    }
    const auto batch =
        start_batch(registry, std::move(header.value()), std::move(spec.value()), stored);
    if (stored) {
        mark_stored(batch, self.now());
    } else {
        loop::asio::co_spawn(self.io, check_until_stored(registry, batch), loop::asio::detached);
    }
    return status_ok;
}

int handle_withdraw_call(batch_registry& registry, const live_batch_ptr& batch) {
    if (!batch || batch->stored) {
        return status_conflict;
    }
    const bool nothing_sent = std::ranges::all_of(
        batch->state.items, [](const item_state& item) { return item.last_target.empty(); });
    drop_batch(registry, batch, "not stored");
    return nothing_sent ? status_ok : status_conflict;
}

/// A runner's response.
struct runner_answer {
    int status = 0;    ///< 0: no response.
    bool sent = false; ///< The call may have reached it.
};

loop::task<runner_answer> call_runner(std::shared_ptr<batch_registry> registry, batch_header header,
                                      std::string_view action, std::string submission = {}) {
    auto self = registry->self;
    auto message = make_peer_request(std::string(start_path) + std::string(action), header.id);
    message.headers.push_back({std::string(record_header), encode_header(header)});
    message.body = std::move(submission);
    if (header.owner == self->settings.host) {
        const int status = co_await serve_start_call(registry, std::move(message));
        co_return runner_answer{status, true};
    }
    auto outcome = co_await loop::call(self->connections, header.owner_at, std::move(message),
                                       loop::after(runner_timeout), owner_connect_timeout);
    if (outcome.fault != loop::exchange_fault::none) {
        report_unresponsive_owner(*self, header.id, header.owner_at, outcome);
        co_return runner_answer{0, outcome.sent};
    }
    co_return runner_answer{outcome.answer.status, true};
}

loop::task<void> send_early_start_call(std::shared_ptr<batch_registry> registry,
                                       batch_header header, std::string submission,
                                       early_start_ptr early) {
    const auto response =
        co_await call_runner(registry, header, action_early, std::move(submission));
    using phase = early_start::phase;
    const bool not_started = response.status == 0 ? !response.sent : response.status != status_ok;
    early->current_phase = response.status == status_ok ? phase::running
                           : not_started                ? phase::declined
                                                        : phase::unknown;
    early->answered.open();
}

loop::task<void> wait_for_answer(const early_start_ptr& early) {
    while (early->current_phase == early_start::phase::requested) {
        co_await early->answered.wait(loop::after(runner_timeout));
    }
}

} // namespace

host_entry choose_runner(host& self) {
    auto own = host_entry_of(self);
    if (self.stopping) {
        return own;
    }
    return first_zone_host(own, self.peers, self.avoided, self.now()).value_or(std::move(own));
}

early_start_ptr request_early_start(const std::shared_ptr<batch_registry>& registry,
                                    const batch_header& header, const std::string& submission) {
    auto early = std::make_shared<early_start>(registry->self->io);
    // If this host knows the batch or its owner, it has been submitted before.
    if (registry->owners.contains(header.id) || registry->batches.contains(header.id)) {
        early->current_phase = early_start::phase::declined;
        return early;
    }
    loop::asio::co_spawn(registry->self->io,
                         send_early_start_call(registry, header, submission, early),
                         loop::asio::detached);
    return early;
}

loop::task<void> confirm_start(std::shared_ptr<batch_registry> registry, batch_header header,
                               std::string submission, early_start_ptr early,
                               store_outcome stored) {
    co_await wait_for_answer(early);
    const bool declined = early->current_phase == early_start::phase::declined;
    if (stored == store_outcome::conflict) {
        if (!declined) {
            co_await call_runner(registry, header, action_settle);
        }
        co_return;
    }
    record_owner(*registry, header.id, header.owner_at);
    if (!declined) {
        const auto response = co_await call_runner(registry, header, action_stored);
        if (response.status == status_ok) {
            co_return;
        }
    }
    const auto response = co_await call_runner(registry, header, action_run, std::move(submission));
    if (response.status == status_ok) {
        co_return;
    }
    registry->owners.erase(header.id);
    auto loaded = co_await get_batch(registry, header.id);
    if (loaded.batch) {
        co_await take_over(loaded.batch, "owner did not accept the batch");
    }
}

loop::task<early_outcome> withdraw_start(std::shared_ptr<batch_registry> registry,
                                         batch_header header, early_start_ptr early) {
    co_await wait_for_answer(early);
    if (early->current_phase == early_start::phase::declined) {
        co_return early_outcome::nothing_sent;
    }
    const auto response = co_await call_runner(registry, header, action_withdraw);
    co_return response.status == status_ok ? early_outcome::nothing_sent
                                           : early_outcome::may_have_run;
}

loop::task<int> serve_start_call(std::shared_ptr<batch_registry> registry,
                                 transport::http_request message) {
    const auto action = std::string_view(message.path).substr(start_path.size());
    const std::string id(transport::find_query(message.query, "id").value_or(""));
    const auto known = find_batch(*registry, id);
    if (action == action_early || action == action_run) {
        co_return handle_start_call(registry, message, id, action == action_run);
    }
    if (action == action_stored) {
        if (known && !known->stored) {
            mark_stored(known, registry->self->now());
        }
        co_return known ? status_ok : status_conflict;
    }
    if (action == action_settle) {
        if (known && !known->stored) {
            co_await check_stored(registry, known);
        }
        co_return status_ok;
    }
    co_return action == action_withdraw ? handle_withdraw_call(*registry, known) : 404;
}

void drop_unstored(batch_registry& registry) {
    std::vector<live_batch_ptr> unstored;
    for (const auto& [id, batch] : registry.batches) {
        if (!batch->stored) {
            unstored.push_back(batch);
        }
    }
    for (const auto& batch : unstored) {
        drop_batch(registry, batch, "shutting down");
    }
}

} // namespace cornelloom::front
