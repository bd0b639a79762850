#include "front/order_lease.hpp"

namespace cornelloom::front {

namespace {

/// When a new holder may give its first order.
time_point first_order(const lease_view& view, const lease_rules& rules, std::string_view self,
                       time_point sent) {
    // Another process of this same host is the same holder.
    if (view.revision == 0 || view.holder == self) {
        return sent;
    }
    // Given back: the last order left before that was seen here.
    if (view.holder.empty()) {
        return view.seen_first + rules.turn;
    }
    // The last renewal was sent before it was seen here, so the last order left by then plus
    // `valid`.
    return view.seen_first + rules.valid + rules.turn;
}

} // namespace

bool holds(const lease_view& view, std::string_view self) {
    return view.holder == self && view.renewed != time_point{};
}

lease_step next_step(const lease_view& view, const lease_rules& rules, std::string_view self,
                     time_point now) {
    if (holds(view, self)) {
        return now - view.renewed >= rules.renew_every ? lease_step::renew : lease_step::none;
    }
    // After a restart the own name stands there, but this process holds nothing: it takes the lease
    // anew, with a new fence. The same goes when nobody has it.
    if (view.holder == self || view.holder.empty()) {
        return lease_step::take;
    }
    return now - view.seen_first >= rules.silent ? lease_step::take : lease_step::none;
}

bool may_have_to_order(const lease_view& view, const lease_rules& rules, std::string_view self,
                       time_point now) {
    const auto missed = rules.renew_every * 3 / 2;
    return view.holder.empty() || view.holder == self || now - view.seen_first >= missed;
}

void note_seen(lease_view& view, std::uint64_t revision, std::string_view holder, time_point now) {
    if (revision <= view.revision) {
        return;
    }
    view.revision = revision;
    view.holder = holder;
    view.seen_first = now;
    view.renewed = {};
}

void note_written(lease_view& view, const lease_rules& rules, std::uint64_t revision,
                  std::string_view self, time_point sent) {
    if (!holds(view, self)) {
        view.fence = revision;
        view.orders_from = first_order(view, rules, self, sent);
    }
    view.revision = revision;
    view.holder = self;
    view.renewed = sent;
    view.seen_first = sent;
}

bool may_order(const lease_view& view, const lease_rules& rules, std::string_view self,
               time_point now) {
    return holds(view, self) && now - view.renewed < rules.valid && now >= view.orders_from;
}

} // namespace cornelloom::front
