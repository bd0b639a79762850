#include "front/leadership.hpp"

#include "front/feed.hpp"
#include "front/host.hpp"
#include "front/records.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

constexpr std::string_view lease_name = "loads";
/// How often another host's lease is looked at: a stale read costs a tenth of a call.
constexpr milliseconds look_every{700};
/// Hosts look at different moments, so that one of them is first.
constexpr int look_spread_ms = 300;
/// The look is also the sign of the store by which a feeder knows that it is in touch.
constexpr loop::milliseconds look_limit{600};
/// How often the holder checks whether its lease is due.
constexpr loop::milliseconds renewal_check{150};

/// Whether anything has to be done for all hosts.
bool has_work(const host& self) {
    const bool loads =
        std::ranges::any_of(self.named_versions, [](const auto& each) { return each.second > 1; });
    return loads || self.settings.duties.has_value();
}

void take_seen(host& self, const stored_object& object) {
    auto& view = self.lead.view;
    const auto read = decode_lease(object.specification);
    const auto record = read ? read.value() : lease_record{};
    const auto before = view.holder;
    note_seen(view, object.revision, record.holder, self.clock.boot_now());
    self.lead.loads_at_once = record.loads_at_once;
    if (before != view.holder) {
        note(self, order_lease_changed,
             {{"holder", view.holder}, {"before", before}, {"revision", object.revision}});
    }
}

loop::task<void> look(std::shared_ptr<host> self) {
    auto answer = co_await call_store(
        self->store, self->wire.get(object_kind::order_lease, lease_name, true), look_limit);
    if (answer.fault != store_fault::none) {
        co_return;
    }
    const auto object = self->wire.object(answer.body);
    if (object) {
        take_seen(*self, object.value());
    }
}

store_request lease_write(host& self) {
    auto& lead = self.lead;
    const auto value = encode_lease(
        {self.settings.host, ++lead.renewals ^ self.random() << 16U, lead.loads_at_once});
    return lead.view.revision == 0
               ? self.wire.create(object_kind::order_lease, lease_name, value)
               : self.wire.replace(object_kind::order_lease, lease_name, value, lead.view.revision);
}

void take_written(host& self, std::uint64_t revision, time_point sent) {
    auto& view = self.lead.view;
    const auto before = view.holder;
    const bool held = holds(view, self.settings.host);
    note_written(view, self.lead.rules, revision, self.settings.host, sent);
    if (held) {
        return;
    }
    note(self, order_lease_changed,
         {{"holder", self.settings.host},
          {"before", before},
          {"fence", view.fence},
          {"orders_in_ms", ms_between(sent, view.orders_from)}});
    self.lead.taken.open();
}

loop::task<void> write_lease(std::shared_ptr<host> self) {
    const auto sent = self->clock.boot_now();
    const auto answer =
        co_await call_store(self->store, lease_write(*self), self->lead.rules.answer_most);
    const auto object = self->wire.object(answer.body);
    if (answer.fault == store_fault::conflict && object) {
        take_seen(*self, object.value());
    } else if (answer.fault == store_fault::not_found) {
        self->lead.view = {};
    } else if (answer.fault == store_fault::none && object) {
        take_written(*self, object.value().revision, sent);
    }
}

loop::task<void> keep_lease(std::shared_ptr<host> self) {
    const auto& name = self->settings.host;
    const auto& lead = self->lead;
    for (;;) {
        const bool mine = holds_lease(*self);
        // One host of a zone is enough to take over, and each look is paid for.
        const bool candidate = mine || watches_store(*self);
        if (candidate && !mine) {
            co_await look(self);
        }
        const auto now = self->clock.boot_now();
        self->wants_versions = candidate && may_have_to_order(lead.view, lead.rules, name, now);
        const bool due = next_step(lead.view, lead.rules, name, now) != lease_step::none;
        if (candidate && due && has_work(*self) && !self->stopping) {
            co_await write_lease(self);
        }
        const auto spread = milliseconds(self->random() % look_spread_ms);
        co_await loop::pause_for(self->io,
                                 lead.view.holder == name ? renewal_check : look_every + spread);
    }
}

} // namespace

bool leads(const host& self) {
    return may_order(self.lead.view, self.lead.rules, self.settings.host, self.clock.boot_now()) &&
           !self.stopping;
}

bool holds_lease(const host& self) {
    return holds(self.lead.view, self.settings.host);
}

loop::task<void> wait_for_lease(std::shared_ptr<host> self) {
    while (!holds_lease(*self)) {
        co_await self->lead.taken.wait(loop::deadline::max());
    }
}

void start_leadership(const std::shared_ptr<host>& self) {
    self->lead.rules.turn = self->settings.order_turn + self->settings.thaw;
    loop::asio::co_spawn(self->io, keep_lease(self), loop::asio::detached);
}

} // namespace cornelloom::front
