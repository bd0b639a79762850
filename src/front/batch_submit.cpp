#include "front/batch_submit.hpp"

#include "front/answers.hpp"
#include "front/batch_log.hpp"
#include "front/batch_start.hpp"
#include "front/json.hpp"
#include "front/records.hpp"
#include "front/submission_answer.hpp"
#include "loop/gather.hpp"
#include "loop/spawn.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

batch_header make_header(host& self, const caller_request& caller, const std::string& path,
                         std::string account) {
    const auto runner = choose_runner(self);
    batch_header new_header;
    new_header.id = caller.id;
    new_header.host = caller.host;
    new_header.path = path;
    new_header.account = std::move(account);
    new_header.owner = runner.name;
    new_header.owner_at = runner.address;
    new_header.received_ms = unix_now(self);
    return new_header;
}

/// Ids that aren't can't be told apart in the store, whose objects are JSON text.
bool is_utf8(std::string_view text) {
    const auto quoted = [text](nlohmann::json::error_handler_t on_error) {
        return nlohmann::json(text).dump(-1, ' ', false, on_error);
    };
    return quoted(nlohmann::json::error_handler_t::replace) ==
           quoted(nlohmann::json::error_handler_t::ignore);
}

/// Withdraws the submission of a batch that could not be stored and tells the caller that it is not
/// accepted.
loop::task<void> answer_not_stored(std::shared_ptr<batch_registry> registry,
                                   loop::served_request& request, batch_header header,
                                   preparation_ptr prepared, store_outcome store_result) {
    auto& self = *registry->self;
    loop::spawn(self.io, "withdraw submission",
                withdraw_submission(registry, header, std::move(prepared)));
    const bool refused = choose_submission_answer(store_result) == submission_answer::refuse;
    log_event(self, batch_refused,
              {{"id", header.id},
               {"why", refused ? "store unreachable" : "store does not answer"},
               {"fault", to_string(store_result)}});
    if (refused) {
        co_await refuse(self, request, header.id, "platform_unavailable", unavailable_retry_delay);
    } else {
        co_await fail(self, request, header.id, "store did not answer", true);
    }
}

/// How long the header waits for the runner, several round trips within a zone. A runner that has
/// answered before the header is written need not read the log of the batch before it starts.
constexpr milliseconds max_preparation_wait{60};

/// Stores the header and the parts at the same time, since each write may take a round trip between
/// regions.
loop::task<stored_submission> store_submission(std::shared_ptr<host> self, batch_header header,
                                               std::string_view submission,
                                               preparation_ptr prepared, time_point deadline) {
    if (prepared->current_phase == preparation::phase::requested) {
        co_await prepared->answered.wait(loop::after(max_preparation_wait));
    }
    stored_submission out;
    out.prepared_before = prepared->current_phase == preparation::phase::prepared;
    auto parts = split_submission(submission, self->settings.max_value_bytes);
    header.parts = static_cast<int>(parts.size());
    std::vector<loop::task<store_outcome>> calls;
    calls.push_back(store_parts(self, header.id, std::move(parts), deadline));
    calls.push_back(store_header(self, header, deadline));
    const auto outcomes = co_await loop::gather(self->io, std::move(calls));
    out.outcome = combine_outcomes(outcomes[0] == store_outcome::none, outcomes[1]);
    co_return out;
}

} // namespace

loop::task<void> submit_batch(std::shared_ptr<batch_registry> registry,
                              loop::served_request& request, caller_request caller,
                              std::string account) {
    auto self = registry->self;
    if (!is_utf8(caller.id)) {
        co_await reject(*self, request, {}, "malformed", 400, "the id is not UTF-8");
        co_return;
    }
    auto& submission = request.message.body;
    const auto spec = self->platform_adapter.submission(parse_json(submission, submission_limits));
    if (!spec) {
        co_await reject(*self, request, caller.id, "malformed", 400, spec.error().detail);
        co_return;
    }
    const auto unsendable = std::ranges::find_if(
        spec.value().items, [](const batch_item& item) { return !item.fault.empty(); });
    if (unsendable != spec.value().items.end()) {
        co_await reject(*self, request, caller.id, "malformed", 400, unsendable->fault);
        co_return;
    }
    const auto received = self->now();
    const auto header = make_header(*self, caller, request.message.path, std::move(account));
    const auto prepared = prepare_runner(registry, header, submission);
    auto deadline = received + storage_timeout(caller.time_left);
    if (self->stopping) {
        // The last call may begin at the deadline.
        deadline = std::min(deadline, self->serves_until - store_call_timeout);
    }
    const auto stored = co_await store_submission(self, header, submission, prepared, deadline);
    if (choose_submission_answer(stored.outcome) != submission_answer::accept) {
        co_await answer_not_stored(registry, request, header, prepared, stored.outcome);
        co_return;
    }
    log_event(*self, batch_accepted,
              {{"id", caller.id},
               {"account", header.account},
               {"again", stored.outcome == store_outcome::conflict},
               {"owner", header.owner},
               {"prepared", stored.prepared_before},
               {"items", static_cast<std::uint64_t>(spec.value().items.size())},
               {"oldest_version", spec.value().oldest_version},
               {"wanted", spec.value().required_groups},
               {"bytes", static_cast<std::uint64_t>(submission.size())},
               {"ms", ms_between(received, self->now())}});
    loop::spawn(self->io, "confirm start",
                confirm_start(registry, header, std::move(submission), prepared, stored));
    co_await answer_status(request, 202);
}

} // namespace cornelloom::front
