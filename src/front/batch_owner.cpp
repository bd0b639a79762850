#include "front/batch_owner.hpp"

#include "loop/spawn.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

/// Usual response time of an owner in addition to the wait of a read, even if the owner has just
/// started and has to load the batch itself.
constexpr milliseconds usual_owner_latency{400};

/// Loads the batch unless its owner has answered within `delay`.
loop::task<void> load_unless_answered(std::shared_ptr<batch_registry> registry, std::string id,
                                      milliseconds delay, std::shared_ptr<const bool> answered) {
    co_await loop::pause_for(registry->self->io, delay);
    if (!*answered) {
        co_await get_batch(registry, std::move(id));
    }
}

transport::http_request make_forwarded_request(const transport::http_request& received,
                                               const std::string& account) {
    auto out = received;
    out.path.insert(0, forward_path);
    out.body.clear(); // calls on batches have none
    std::erase_if(out.headers, [](const transport::http_header& header) {
        return header.name == account_header;
    });
    out.headers.push_back({std::string(account_header), account});
    return out;
}

} // namespace

loop::task<bool> forward_to_host(std::shared_ptr<batch_registry> registry,
                                 loop::served_request& request, const batch_call& call,
                                 transport::endpoint owner, forwarding_attempts& attempts) {
    auto self = registry->self;
    ++attempts.owners_asked;
    const auto wait = std::min(call.wait, max_forwarded_wait);
    const auto answered = std::make_shared<bool>(false);
    loop::spawn(self->io, "load unless answered",
                load_unless_answered(registry, call.batch, wait + usual_owner_latency, answered));
    auto forwarded = make_forwarded_request(request.message, call.account);
    auto outcome =
        co_await loop::call(self->connections, owner, std::move(forwarded),
                            loop::after(wait + owner_response_allowance), owner_connect_timeout);
    *answered = true;
    auto& answer = outcome.answer;
    const bool unresponsive = outcome.fault != loop::exchange_fault::none || answer.status >= 500;
    if (unresponsive) {
        report_unresponsive_owner(*self, call.batch, owner, outcome);
    }
    if (unresponsive || answer.status == status_not_owner) {
        registry->owners.erase(call.batch);
        co_return false;
    }
    std::erase_if(answer.headers, [](const transport::http_header& header) {
        return header.name != "Content-Type";
    });
    co_await request.answer(std::move(answer));
    record_owner(*registry, call.batch, owner);
    co_return true;
}

void report_unresponsive_owner(host& self, std::string_view batch, const transport::endpoint& owner,
                               const loop::call_outcome& outcome) {
    log_event(self, read_forwarded_failed,
              {{"id", batch},
               {"owner_at", to_string(owner)},
               {"fault", to_string(outcome.fault)},
               {"status", status_of(outcome)}});
}

} // namespace cornelloom::front
