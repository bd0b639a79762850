#include "front/leadership.hpp"

#include "front/feed.hpp"
#include "front/host.hpp"
#include "front/records.hpp"
#include "loop/spawn.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

constexpr std::string_view lease_name = "loads";
/// How often the lease of another host is read. Stale reads suffice and cost a tenth of a call.
constexpr milliseconds lease_poll_interval{700};
/// Random addition to the poll interval, so that one host takes over before the others try.
constexpr int lease_poll_jitter_ms = 300;
/// By these reads a feeder also detects whether it is connected to the store.
constexpr loop::milliseconds lease_read_timeout{600};
/// How often the holder checks whether a renewal is due.
constexpr loop::milliseconds renewal_check_interval{150};

/// Whether there is anything for a leader to do.
bool has_leader_work(const host& self) {
    const bool loads = std::ranges::any_of(self.published_versions,
                                           [](const auto& each) { return each.second > 1; });
    return loads || self.settings.duties.has_value();
}

void apply_lease_read(host& self, const stored_object& object) {
    auto& view = self.lead.view;
    const auto read = decode_lease(object.specification);
    if (!read && object.revision > view.revision) {
        report_unreadable(self, "order_lease", object.name,
                          object.fault.empty() ? read.error().detail : object.fault);
    }
    const auto record = read ? read.value() : lease_record{};
    const auto before = view.holder;
    record_lease_read(view, object.revision, record.holder, self.clock.boot_now());
    self.lead.loads_at_once = record.loads_at_once;
    if (before != view.holder) {
        log_event(self, order_lease_changed,
                  {{"holder", view.holder}, {"before", before}, {"revision", object.revision}});
    }
}

loop::task<void> read_lease(std::shared_ptr<host> self) {
    auto answer = co_await call_store(
        self->store, self->platform_adapter.get(object_kind::order_lease, lease_name, true),
        lease_read_timeout);
    if (answer.fault != store_outcome::none) {
        co_return;
    }
    const auto object = self->platform_adapter.object(answer.body);
    if (object) {
        apply_lease_read(*self, object.value());
    }
}

store_request lease_write_request(host& self) {
    auto& lead = self.lead;
    const auto value = encode_lease(
        {self.settings.host, ++lead.renewals ^ self.random() << 16U, lead.loads_at_once});
    return lead.view.revision == 0
               ? self.platform_adapter.create(object_kind::order_lease, lease_name, value)
               : self.platform_adapter.replace(object_kind::order_lease, lease_name, value,
                                               lead.view.revision);
}

void apply_lease_write(host& self, std::uint64_t revision, time_point sent) {
    auto& view = self.lead.view;
    const auto before = view.holder;
    const bool was_holder = is_holder(view, self.settings.host);
    record_lease_write(view, self.lead.rules, revision, self.settings.host, sent);
    if (was_holder) {
        return;
    }
    log_event(self, order_lease_changed,
              {{"holder", self.settings.host},
               {"before", before},
               {"fence", view.fence},
               {"orders_in_ms", ms_between(sent, view.orders_allowed_from)}});
    self.lead.lease_acquired.open();
}

loop::task<void> write_lease(std::shared_ptr<host> self) {
    const auto sent = self->clock.boot_now();
    const auto answer = co_await call_store(self->store, lease_write_request(*self),
                                            self->lead.rules.renewal_timeout);
    const auto object = self->platform_adapter.object(answer.body);
    if (answer.fault == store_outcome::conflict && object) {
        apply_lease_read(*self, object.value());
    } else if (answer.fault == store_outcome::not_found) {
        self->lead.view = {};
    } else if (answer.fault == store_outcome::none && object) {
        apply_lease_write(*self, object.value().revision, sent);
    }
}

loop::task<void> maintain_lease(std::shared_ptr<host> self) {
    const auto& name = self->settings.host;
    const auto& lead = self->lead;
    for (;;) {
        const bool holding = holds_lease(*self);
        // One host per zone is enough to take over, and each read is billed.
        const bool candidate = holding || watches_store(*self);
        if (candidate && !holding) {
            co_await read_lease(self);
        }
        const auto now = self->clock.boot_now();
        self->sends_load_orders = candidate && may_schedule_soon(lead.view, lead.rules, name, now);
        const bool action_due =
            next_lease_action(lead.view, lead.rules, name, now) != lease_action::none;
        if (candidate && action_due && has_leader_work(*self) && !self->stopping) {
            co_await write_lease(self);
        }
        const auto jitter = milliseconds(self->random() % lease_poll_jitter_ms);
        co_await loop::pause_for(self->io, lead.view.holder == name ? renewal_check_interval
                                                                    : lease_poll_interval + jitter);
    }
}

} // namespace

bool is_leader(const host& self) {
    return may_send_orders(self.lead.view, self.lead.rules, self.settings.host,
                           self.clock.boot_now()) &&
           !self.stopping;
}

bool holds_lease(const host& self) {
    return is_holder(self.lead.view, self.settings.host);
}

loop::task<void> wait_for_lease(std::shared_ptr<host> self) {
    while (!holds_lease(*self)) {
        co_await self->lead.lease_acquired.wait(loop::deadline::max());
    }
}

void start_leader_election(const std::shared_ptr<host>& self) {
    self->lead.rules.handover_delay = self->settings.handover_delay + self->settings.resume_margin;
    loop::keep_running(self->io, "lease", [self] { return maintain_lease(self); });
}

} // namespace cornelloom::front
