#include "front/batch_owner.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

/// An owner answers within this beyond the wait of a read, also one that has to load the batch
/// itself because it has just started.
constexpr milliseconds owner_usual{400};

/// Begins to load the batch unless its owner has answered by then.
loop::task<void> load_after(std::shared_ptr<batch_desk> desk, std::string id, milliseconds pause,
                            std::shared_ptr<const bool> answered) {
    co_await loop::pause_for(desk->self->io, pause);
    if (!*answered) {
        co_await get_batch(desk, std::move(id));
    }
}

transport::http_request passed_on(const transport::http_request& received,
                                  const std::string& account) {
    auto out = received;
    out.path.insert(0, passed_path);
    std::erase_if(out.headers, [](const transport::http_header& header) {
        return header.name == account_header;
    });
    out.headers.push_back({std::string(account_header), account});
    return out;
}

} // namespace

loop::task<bool> try_owner(std::shared_ptr<batch_desk> desk, loop::served_request& request,
                           const batch_call& call, transport::endpoint owner, call_tries& tries) {
    auto self = desk->self;
    ++tries.owners_asked;
    const auto wait = std::min(call.wait, passed_wait);
    const auto answered = std::make_shared<bool>(false);
    loop::asio::co_spawn(self->io, load_after(desk, call.batch, wait + owner_usual, answered),
                         loop::asio::detached);
    auto message = passed_on(request.message, call.account);
    auto outcome = co_await loop::call(self->connections, owner, std::move(message),
                                       loop::after(wait + owner_allowance), owner_connect);
    *answered = true;
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

void note_silent_owner(host& self, std::string_view batch, const transport::endpoint& owner,
                       const loop::call_outcome& outcome) {
    note(self, read_forwarded_failed,
         {{"id", batch},
          {"owner_at", to_string(owner)},
          {"fault", to_string(outcome.fault)},
          {"status", status_of(outcome)}});
}

} // namespace cornelloom::front
