#include "front/batch_submit.hpp"

#include "front/answers.hpp"
#include "front/batch_log.hpp"
#include "front/batch_start.hpp"

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

/// Withdraws the early start of a batch that could not be stored and tells the caller that it is
/// not accepted.
loop::task<void> answer_not_stored(std::shared_ptr<batch_registry> registry,
                                   loop::served_request& request, batch_header header,
                                   early_start_ptr early, store_outcome store_result) {
    auto& self = *registry->self;
    const auto outcome = co_await withdraw_start(registry, header, early);
    const bool refused =
        choose_submission_answer(store_result, outcome) == submission_answer::refuse;
    log_event(self, batch_refused,
              {{"id", header.id},
               {"why", refused ? "store unreachable" : "store does not answer"},
               {"fault", to_string(store_result)},
               {"nothing_sent", outcome == early_outcome::nothing_sent}});
    if (refused) {
        co_await refuse(self, request, header.id, "platform_unavailable", unavailable_retry_delay);
    } else {
        co_await fail(self, request, header.id, "store did not answer", true);
    }
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
    const auto header = make_header(*self, caller, request.message.path, std::move(account));
    const auto early = request_early_start(registry, header, submission);
    const auto deadline = received + storage_timeout(caller.time_left);
    const auto store_result = co_await store_batch(self, header, submission, deadline);
    const bool accepted =
        store_result == store_outcome::none || store_result == store_outcome::conflict;
    if (!accepted) {
        co_await answer_not_stored(registry, request, header, early, store_result);
        co_return;
    }
    log_event(*self, batch_accepted,
              {{"id", caller.id},
               {"account", header.account},
               {"again", store_result == store_outcome::conflict},
               {"owner", header.owner},
               {"items", static_cast<std::uint64_t>(spec.value().items.size())},
               {"oldest_version", spec.value().oldest_version},
               {"wanted", spec.value().required_groups},
               {"bytes", static_cast<std::uint64_t>(submission.size())},
               {"ms", ms_between(received, self->now())}});
    loop::asio::co_spawn(
        self->io, confirm_start(registry, header, std::move(submission), early, store_result),
        loop::asio::detached);
    co_await answer_status(request, 202);
}

} // namespace cornelloom::front
