#include "rollout/token_account.hpp"

#include <numeric>

namespace cornelloom::rollout {

namespace {

token_count& counter(token_account& account, waste_cause cause) {
    return account.wasted[static_cast<std::size_t>(cause)];
}

} // namespace

std::string_view to_string(waste_cause cause) {
    constexpr std::array<std::string_view, waste_cause_count> names{
        "stale", "lost", "hedged", "cancelled", "crashed", "unusable"};
    return names[static_cast<std::size_t>(cause)];
}

token_count total_wasted(const token_account& account) {
    return std::accumulate(account.wasted.begin(), account.wasted.end(), token_count{0});
}

void pay(token_account& account, token_count tokens) {
    account.paid += tokens;
    account.in_flight += tokens;
}

void waste_in_flight(token_account& account, token_count tokens, waste_cause cause) {
    account.in_flight -= tokens;
    counter(account, cause) += tokens;
}

void waste_held(token_account& account, token_count tokens, waste_cause cause) {
    account.held -= tokens;
    counter(account, cause) += tokens;
}

void finish(token_account& account, token_count tokens) {
    account.in_flight -= tokens;
    account.held += tokens;
}

void deliver(token_account& account, token_count tokens) {
    account.held -= tokens;
    account.delivered += tokens;
}

void take_back(token_account& account, token_count tokens) {
    account.delivered -= tokens;
    account.held += tokens;
}

kernel::findings check(const token_account& account, std::string_view place) {
    kernel::findings faults;
    const auto placed =
        account.delivered + total_wasted(account) + account.in_flight + account.held;
    if (placed != account.paid) {
        faults.add({std::string(place), 0, "/tokens/paid"},
                   "is " + std::to_string(account.paid) + " but " + std::to_string(placed) +
                       " are accounted for",
                   "paid = delivered + wasted + in flight + held");
    }
    return faults;
}

} // namespace cornelloom::rollout
