#include "front/batch_submit.hpp"

#include "front/answers.hpp"
#include "front/batch_log.hpp"
#include "front/batch_start.hpp"

namespace cornelloom::front {

namespace {

batch_header make_header(host& self, const caller_request& facts, const std::string& path,
                         std::string account) {
    const auto runner = choose_runner(self);
    batch_header out;
    out.id = facts.id;
    out.host = facts.host;
    out.path = path;
    out.account = std::move(account);
    out.owner = runner.name;
    out.owner_at = runner.where;
    out.received_ms = self.clock.wall_now().unix_ms;
    return out;
}

/// Tells the caller that the batch is not accepted.
loop::task<void> turn_away(std::shared_ptr<batch_desk> desk, loop::served_request& request,
                           batch_header header, early_start_ptr early, store_fault stored) {
    auto& self = *desk->self;
    const auto outcome = co_await withdraw_start(desk, header, early);
    const bool refused = judge_submission(stored, outcome) == submission_answer::refuse;
    note(self, batch_refused,
         {{"id", header.id},
          {"why", refused ? "store out of reach" : "store does not answer"},
          {"fault", to_string(stored)},
          {"nothing_sent", outcome == early_outcome::nothing_sent}});
    if (refused) {
        co_await refuse(self, request, header.id, "platform_unavailable", come_back_later);
    } else {
        co_await fail(self, request, header.id, "store did not answer", true);
    }
}

} // namespace

loop::task<void> submit_batch(std::shared_ptr<batch_desk> desk, loop::served_request& request,
                              caller_request facts, std::string account) {
    auto self = desk->self;
    auto& submission = request.message.body;
    const auto spec = self->wire.submission(nlohmann::json::parse(submission, nullptr, false));
    if (!spec) {
        co_await reject(*self, request, facts.id, spec.error().detail, 400);
        co_return;
    }
    const auto received = self->now();
    const auto header = make_header(*self, facts, request.message.path, std::move(account));
    const auto early = ask_early_start(desk, header, submission);
    const auto until = received + storing_time(facts.time_left);
    const auto stored = co_await store_batch(self, header, submission, until);
    const bool accepted = stored == store_fault::none || stored == store_fault::conflict;
    if (!accepted) {
        co_await turn_away(desk, request, header, early, stored);
        co_return;
    }
    note(*self, batch_accepted,
         {{"id", facts.id},
          {"account", header.account},
          {"again", stored == store_fault::conflict},
          {"owner", header.owner},
          {"items", static_cast<std::uint64_t>(spec.value().items.size())},
          {"oldest_version", spec.value().oldest_version},
          {"wanted", spec.value().groups_wanted},
          {"bytes", static_cast<std::uint64_t>(submission.size())},
          {"ms", ms_between(received, self->now())}});
    loop::asio::co_spawn(self->io,
                         confirm_start(desk, header, std::move(submission), early, stored),
                         loop::asio::detached);
    co_await answer_status(request, 202);
}

} // namespace cornelloom::front
