#include "front/batch_start.hpp"

#include "front/batch_drive.hpp"
#include "front/batch_log.hpp"
#include "front/batch_owner.hpp"
#include "front/json.hpp"
#include "front/records.hpp"
#include "kernel/failures.hpp"
#include "kernel/finally.hpp"
#include "loop/spawn.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

/// Allows for a round trip within the zone, and for the runner to read half a megabyte with its
/// share of a processor.
constexpr loop::milliseconds runner_timeout{600};
/// A runner that is not told within this time whether the batch is stored reads the store itself.
constexpr loop::milliseconds store_check_delay{3000};

constexpr std::string_view action_prepare = "prepare"; // hold the submission
/// How earlier versions request what `action_prepare` does. They have started the batch themselves
/// by then, which is why this version does not send it.
constexpr std::string_view action_early = "early";
/// Start: the batch is stored, and its header was written after the runner had answered.
constexpr std::string_view action_created = "created";
constexpr std::string_view action_stored = "stored";     // start: the batch is stored
constexpr std::string_view action_run = "run";           // the same, with the submission
constexpr std::string_view action_settle = "settle";     // it was stored before: look up its owner
constexpr std::string_view action_withdraw = "withdraw"; // forget it: it could not be stored

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

std::optional<submitted_batch>
decode_submission(const host& self, const transport::http_request& message, const std::string& id) {
    const auto record = transport::find_header(message.headers, record_header).value_or("");
    auto header = decode_header(id, parse_json(record));
    auto spec = self.platform_adapter.submission(parse_json(message.body, submission_limits));
    if (!header || !spec || header.value().owner != self.settings.host) {
        return std::nullopt;
    }
    return submitted_batch{std::move(header.value()), std::move(spec.value())};
}

/// Starts a stored batch unless this process runs it already. `log_confirmed`: when this host's
/// copy of the log, which is empty, was known to be complete; zero: never.
void start_batch(const std::shared_ptr<batch_registry>& registry, const std::string& id,
                 prepared_batch submission, time_point log_confirmed) {
    const auto& self = registry->self;
    if (self->stopping || registry->batches.contains(id)) {
        return;
    }
    auto submitted = submission.decoded ? std::move(submission.decoded)
                                        : decode_submission(*self, submission.message, id);
    if (!submitted) {
        return;
    }
    auto batch = std::make_shared<live_batch>(
        self,
        make_batch(std::move(submitted->header), std::move(submitted->spec), submission.received));
    batch->log.confirmed = log_confirmed;
    registry->batches.emplace(id, batch);
    start_running(batch, {}, "submitted");
    loop::spawn(self->io, "announce ownership", announce_ownership(self, id));
}

void drop_prepared(batch_registry& registry, const std::string& id, std::string_view reason) {
    const auto found = registry.prepared.find(id);
    if (found == registry.prepared.end()) {
        return;
    }
    log_event(*registry.self, batch_dropped,
              {{"id", id},
               {"why", reason},
               {"age_ms", ms_between(found->second.received, registry.self->now())}});
    registry.prepared.erase(found);
}

/// Reads the store to find out whether a submission that this host holds was stored, and with which
/// owner.
loop::task<void> look_up_prepared(std::shared_ptr<batch_registry> registry, std::string id) {
    const auto read = co_await read_header(registry->self, id);
    const auto found = registry->prepared.find(id);
    if (found == registry->prepared.end()) {
        co_return;
    }
    if (read.header && read.header->owner == registry->self->settings.host) {
        start_batch(registry, id, std::move(registry->prepared.extract(found).mapped()), {});
    } else if (read.header) {
        record_owner(*registry, id, read.header->owner_at);
        drop_prepared(*registry, id, "owned by another host");
    } else if (read.missing) {
        drop_prepared(*registry, id, "not stored");
    }
}

/// Decodes a submission that this host holds, and asks the store for the batch until it is known.
loop::task<void> follow_prepared(std::shared_ptr<batch_registry> registry, std::string id) {
    co_await loop::pause_for(registry->self->io, loop::milliseconds(0));
    try {
        if (const auto found = registry->prepared.find(id); found != registry->prepared.end()) {
            found->second.decoded = decode_submission(*registry->self, found->second.message, id);
        }
    } catch (...) { // decoded again when the batch is started
        kernel::report_failure("follow prepared", std::current_exception());
    }
    while (registry->prepared.contains(id)) {
        co_await loop::pause_for(registry->self->io, store_check_delay);
        try {
            if (registry->prepared.contains(id)) {
                co_await look_up_prepared(registry, id);
            }
        } catch (...) {
            kernel::report_failure("follow prepared", std::current_exception());
        }
    }
}

/// Holds a submission that a peer or this host has received; returns the status.
int handle_prepare_call(const std::shared_ptr<batch_registry>& registry,
                        transport::http_request message, const std::string& id) {
    auto& self = *registry->self;
    if (self.stopping || registry->batches.contains(id) || registry->owners.contains(id)) {
        return status_conflict;
    }
    if (registry->prepared.contains(id)) {
        return status_ok;
    }
    registry->prepared.emplace(id, prepared_batch{std::move(message), self.now()});
    loop::spawn(self.io, "follow prepared", follow_prepared(registry, id));
    return status_ok;
}

/// Starts a stored batch whose submission this host may hold; returns the status. `ordered`: the
/// header was written after this host had answered that it holds the submission. Otherwise the
/// batch may have been ended since, which only its log shows.
int handle_stored_call(const std::shared_ptr<batch_registry>& registry, const std::string& id,
                       bool ordered) {
    if (auto held = registry->prepared.extract(id)) {
        const auto confirmed = ordered ? held.mapped().received : time_point{};
        start_batch(registry, id, std::move(held.mapped()), confirmed);
    }
    return registry->batches.contains(id) ? status_ok : status_conflict;
}

int handle_run_call(const std::shared_ptr<batch_registry>& registry,
                    transport::http_request message, const std::string& id) {
    if (handle_stored_call(registry, id, false) == status_ok) {
        return status_ok;
    }
    start_batch(registry, id, prepared_batch{std::move(message), registry->self->now()}, {});
    return registry->batches.contains(id) ? status_ok : status_unavailable;
}

/// The response states that no item was sent to a target.
int handle_withdraw_call(batch_registry& registry, const std::string& id) {
    drop_prepared(registry, id, "not stored");
    return registry.batches.contains(id) ? status_conflict : status_ok;
}

loop::task<int> request_runner(std::shared_ptr<batch_registry> registry, batch_header header,
                               std::string_view action, std::string submission) {
    auto self = registry->self;
    auto message = make_peer_request(std::string(start_path) + std::string(action), header.id);
    message.headers.push_back({std::string(record_header), encode_header(header)});
    message.body = std::move(submission);
    if (header.owner == self->settings.host) {
        const int status = co_await serve_start_call(registry, std::move(message));
        co_return status;
    }
    const auto outcome = co_await loop::call(self->connections, header.owner_at, std::move(message),
                                             loop::after(runner_timeout), owner_connect_timeout);
    if (outcome.fault != loop::exchange_fault::none) {
        report_unresponsive_owner(*self, header.id, header.owner_at, outcome);
    }
    co_return loop::status_of(outcome);
}

/// Calls the runner; returns the status of its response, 0 if there is none.
loop::task<int> call_runner(std::shared_ptr<batch_registry> registry, batch_header header,
                            std::string_view action, std::string submission = {}) {
    int status = 0;
    try {
        status = co_await request_runner(registry, header, action, std::move(submission));
    } catch (...) {
        kernel::report_failure("call runner", std::current_exception());
    }
    co_return status;
}

loop::task<void> send_submission(std::shared_ptr<batch_registry> registry, batch_header header,
                                 std::string submission, preparation_ptr prepared) {
    auto answer = preparation::phase::declined;
    const kernel::finally end([&] {
        prepared->current_phase = answer;
        prepared->answered.open();
    });
    const int status =
        co_await call_runner(registry, header, action_prepare, std::move(submission));
    if (status == status_ok) {
        answer = preparation::phase::prepared;
    }
}

loop::task<void> wait_for_answer(const preparation_ptr& prepared) {
    while (prepared->current_phase == preparation::phase::requested) {
        co_await prepared->answered.wait(loop::after(runner_timeout));
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

preparation_ptr prepare_runner(const std::shared_ptr<batch_registry>& registry,
                               const batch_header& header, const std::string& submission) {
    auto prepared = std::make_shared<preparation>(registry->self->io);
    // If this host knows the batch or its owner, it has been submitted before.
    if (registry->owners.contains(header.id) || registry->batches.contains(header.id)) {
        prepared->current_phase = preparation::phase::declined;
        return prepared;
    }
    loop::spawn(registry->self->io, "send submission",
                send_submission(registry, header, submission, prepared));
    return prepared;
}

loop::task<void> confirm_start(std::shared_ptr<batch_registry> registry, batch_header header,
                               std::string submission, preparation_ptr prepared,
                               stored_submission stored) {
    co_await wait_for_answer(prepared);
    const bool holds_it = prepared->current_phase == preparation::phase::prepared;
    if (stored.outcome == store_outcome::conflict) {
        if (holds_it) {
            co_await call_runner(registry, header, action_settle);
        }
        co_return;
    }
    record_owner(*registry, header.id, header.owner_at);
    if (holds_it) {
        const auto action = stored.prepared_before ? action_created : action_stored;
        const int status = co_await call_runner(registry, header, action);
        if (status == status_ok) {
            co_return;
        }
    }
    const int status = co_await call_runner(registry, header, action_run, std::move(submission));
    if (status == status_ok) {
        co_return;
    }
    registry->owners.erase(header.id);
    auto loaded = co_await get_batch(registry, header.id);
    if (loaded.batch) {
        co_await take_over(loaded.batch, "owner did not accept the batch");
    }
}

loop::task<void> withdraw_submission(std::shared_ptr<batch_registry> registry, batch_header header,
                                     preparation_ptr prepared) {
    co_await wait_for_answer(prepared);
    if (prepared->current_phase == preparation::phase::prepared) {
        co_await call_runner(registry, header, action_withdraw);
    }
}

loop::task<int> serve_start_call(std::shared_ptr<batch_registry> registry,
                                 transport::http_request message) {
    const auto action = std::string_view(message.path).substr(start_path.size());
    const std::string id(transport::find_query(message.query, "id").value_or(""));
    if (action == action_prepare || action == action_early) {
        co_return handle_prepare_call(registry, std::move(message), id);
    }
    if (action == action_created || action == action_stored) {
        co_return handle_stored_call(registry, id, action == action_created);
    }
    if (action == action_run) {
        co_return handle_run_call(registry, std::move(message), id);
    }
    if (action == action_settle) {
        co_await look_up_prepared(registry, id);
        co_return status_ok;
    }
    co_return action == action_withdraw ? handle_withdraw_call(*registry, id) : 404;
}

} // namespace cornelloom::front
