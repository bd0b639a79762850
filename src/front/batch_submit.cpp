#include "front/batch_submit.hpp"

#include "front/answers.hpp"
#include "front/batch_log.hpp"
#include "front/batch_start.hpp"
#include "front/submission_answer.hpp"

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

/// Withdraws the submission of a batch that could not be stored and tells the caller that it is not
/// accepted.
loop::task<void> answer_not_stored(std::shared_ptr<batch_registry> registry,
                                   loop::served_request& request, batch_header header,
                                   preparation_ptr prepared, store_outcome store_result) {
    auto& self = *registry->self;
    loop::asio::co_spawn(self.io, withdraw_submission(registry, header, std::move(prepared)),
                         loop::asio::detached);
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

/// Stores the submission while the runner parses it.
loop::task<stored_submission> store_submission(std::shared_ptr<host> self,
                                               std::shared_ptr<batch_header> header,
                                               std::string_view submission,
                                               preparation_ptr prepared, time_point deadline) {
    stored_submission out;
    out.outcome = co_await store_parts(self, header, submission, deadline);
    if (out.outcome == store_outcome::none) {
        out.prepared_before = prepared->current_phase == preparation::phase::prepared;
        out.outcome = co_await store_header(self, *header, deadline);
    }
    co_return out;
}

} // namespace

loop::task<void> submit_batch(std::shared_ptr<batch_registry> registry,
                              loop::served_request& request, caller_request caller,
                              std::string account) {
    auto self = registry->self;
    auto& submission = request.message.body;
    const auto spec =
        self->platform_adapter.submission(nlohmann::json::parse(submission, nullptr, false));
    if (!spec) {
        co_await reject(*self, request, caller.id, spec.error().detail, 400);
        co_return;
    }
    const auto received = self->now();
    const auto header = std::make_shared<batch_header>(
        make_header(*self, caller, request.message.path, std::move(account)));
    const auto prepared = prepare_runner(registry, *header, submission);
    const auto deadline = received + storage_timeout(caller.time_left);
    const auto stored = co_await store_submission(self, header, submission, prepared, deadline);
    if (choose_submission_answer(stored.outcome) != submission_answer::accept) {
        co_await answer_not_stored(registry, request, *header, prepared, stored.outcome);
        co_return;
    }
    log_event(*self, batch_accepted,
              {{"id", caller.id},
               {"account", header->account},
               {"again", stored.outcome == store_outcome::conflict},
               {"owner", header->owner},
               {"prepared", stored.prepared_before},
               {"items", static_cast<std::uint64_t>(spec.value().items.size())},
               {"oldest_version", spec.value().oldest_version},
               {"wanted", spec.value().required_groups},
               {"bytes", static_cast<std::uint64_t>(submission.size())},
               {"ms", ms_between(received, self->now())}});
    loop::asio::co_spawn(self->io,
                         confirm_start(registry, *header, std::move(submission), prepared, stored),
                         loop::asio::detached);
    co_await answer_status(request, 202);
}

} // namespace cornelloom::front
