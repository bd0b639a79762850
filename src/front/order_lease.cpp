#include "front/order_lease.hpp"

namespace cornelloom::front {

namespace {

/// When a new holder may send its first order.
time_point first_order_time(const lease_view& view, const lease_rules& rules, std::string_view self,
                            time_point sent) {
    // Another process of the same host is the same holder.
    if (view.revision == 0 || view.holder == self) {
        return sent;
    }
    // Released: the last order was sent before the release was read here.
    if (view.holder.empty()) {
        return view.first_seen + rules.handover_delay;
    }
    // The last renewal was sent before it was read here, so the last order was sent at most
    // `validity` after that.
    return view.first_seen + rules.validity + rules.handover_delay;
}

} // namespace

bool is_holder(const lease_view& view, std::string_view self) {
    return view.holder == self && view.last_renewal != time_point{};
}

lease_action next_lease_action(const lease_view& view, const lease_rules& rules,
                               std::string_view self, time_point now) {
    if (is_holder(view, self)) {
        return now - view.last_renewal >= rules.renew_interval ? lease_action::renew
                                                               : lease_action::none;
    }
    // The record may name this host although this process doesn't hold the lease: the process was
    // restarted and needs a new fencing token. Without a holder the lease is free.
    if (view.holder == self || view.holder.empty()) {
        return lease_action::acquire;
    }
    return now - view.first_seen >= rules.takeover_timeout ? lease_action::acquire
                                                           : lease_action::none;
}

bool may_schedule_soon(const lease_view& view, const lease_rules& rules, std::string_view self,
                       time_point now) {
    const auto missed_renewal_after = rules.renew_interval * 3 / 2;
    return view.holder.empty() || view.holder == self ||
           now - view.first_seen >= missed_renewal_after;
}

void record_lease_read(lease_view& view, std::uint64_t revision, std::string_view holder,
                       time_point now) {
    if (revision <= view.revision) {
        return;
    }
    view.revision = revision;
    view.holder = holder;
    view.first_seen = now;
    view.last_renewal = {};
}

void record_lease_write(lease_view& view, const lease_rules& rules, std::uint64_t revision,
                        std::string_view self, time_point sent) {
    if (!is_holder(view, self)) {
        view.fence = revision;
        view.orders_allowed_from = first_order_time(view, rules, self, sent);
    }
    view.revision = revision;
    view.holder = self;
    view.last_renewal = sent;
    view.first_seen = sent;
}

bool may_send_orders(const lease_view& view, const lease_rules& rules, std::string_view self,
                     time_point now) {
    return is_holder(view, self) && now - view.last_renewal < rules.validity &&
           now >= view.orders_allowed_from;
}

} // namespace cornelloom::front
