#include "front/batch_submit.hpp"

#include "front/answers.hpp"
#include "front/batch_drive.hpp"
#include "front/batch_log.hpp"
#include "front/feed.hpp"
#include "front/records.hpp"

namespace cornelloom::front {

namespace {

/// A runner takes an accepted batch within a round trip of its zone and the time to read half a
/// megabyte on its share of a processor.
constexpr loop::milliseconds pass_on_limit{600};

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
    const auto own = own_entry(self);
    if (self.stopping) {
        return own;
    }
    return first_of_zone(own, self.peers, self.avoided, self.now()).value_or(own);
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

} // namespace cornelloom::front
