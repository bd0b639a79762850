#include "front/watch.hpp"

#include "front/feed.hpp"

#include <algorithm>
#include <iterator>

namespace cornelloom::front {

namespace {

/// A waiting call costs as much as any other: the longer it waits, the cheaper.
constexpr loop::milliseconds longest_wait{20000};
constexpr loop::milliseconds shortest_wait{1000};
/// Through a peer, whose own way may fail as well, the wait is short.
constexpr loop::milliseconds watch_wait_by_peer{2000};
constexpr loop::milliseconds watch_allowance{1500};
/// After a watch that was lost: a pause, a list, and the way of the news to the hosts of the zone.
constexpr loop::milliseconds catch_up_allowance{1000};
/// Beyond its wait a feeder needs a round trip within the zone and its turn on a small processor.
constexpr loop::milliseconds feed_allowance{500};
constexpr loop::milliseconds feed_connect{250};
/// How often a host looks whether it needs a kind that only some hosts need.
constexpr loop::milliseconds unwanted_pause{300};

using followed_ptr = std::shared_ptr<followed>;

void note_touch(host& self, followed& one, store_fault fault) {
    const bool lost = fault == store_fault::refused || fault == store_fault::unknown;
    if (lost == one.out_of_touch) {
        return;
    }
    one.out_of_touch = lost;
    if (lost) {
        self.store_failed = true;
        self.learned.open();
    }
    note(self, lost ? platform_lost : platform_back,
         {{"watch", to_string(one.kind)}, {"at", one.at}, {"fault", to_string(fault)}});
    if (!lost && one.kind == object_kind::targets) {
        note_return(self.targets, self.now());
    }
}

/// Reads all objects of a kind; false if the store or a page of the list failed. Changes since the
/// first page may be missing, so `at` is the revision of that.
loop::task<bool> read_list(std::shared_ptr<host> self, followed_ptr one, bool may_be_stale,
                           object_page& out) {
    std::string after;
    for (bool more = true; more;) {
        auto answer =
            co_await call_store(self->store, self->wire.list(one->kind, after, may_be_stale));
        note_touch(*self, *one, answer.fault);
        if (answer.fault != store_fault::none) {
            co_return false;
        }
        auto page = self->wire.page(answer.body);
        if (!page) {
            note(*self, object_unreadable,
                 {{"kind", to_string(one->kind)}, {"problem", page.error().detail}});
            co_return false;
        }
        out.at = out.at == 0 ? page.value().at : out.at;
        std::ranges::move(page.value().items, std::back_inserter(out.items));
        more = page.value().more && !out.items.empty();
        after = out.items.empty() ? std::string() : out.items.back().name;
    }
    co_return true;
}

void note_names(followed& one, std::span<const object_change> changes) {
    for (const auto& change : changes) {
        if (change.deleted) {
            one.names.erase(change.object.name);
        } else {
            one.names.insert(change.object.name);
        }
    }
}

loop::task<bool> list_all(std::shared_ptr<host> self, followed_ptr one) {
    object_page all;
    const auto asked = self->clock.boot_now();
    const bool whole = co_await read_list(self, one, false, all);
    if (!whole) {
        co_return false;
    }
    keep_list(*self, one->kind, all.items, all.at);
    one->names.clear();
    for (const auto& object : all.items) {
        one->names.insert(object.name);
    }
    one->replace(all.items);
    one->at = all.at;
    note_confirmed(*self, one->kind, asked);
    co_return true;
}

loop::task<bool> watch_once(std::shared_ptr<host> self, followed_ptr one) {
    const auto ways = plan_ways(self->store.ways, true, loop::steady_clock::now());
    const auto wait =
        ways.direct_first ? watch_wait(one->kind, self->settings) : watch_wait_by_peer;
    const auto asked = loop::steady_clock::now();
    const auto known_from = self->clock.boot_now();
    auto answer = co_await call_store(self->store, self->wire.watch(one->kind, one->at, wait),
                                      wait + watch_allowance, store_way::one);
    note_touch(*self, *one, answer.fault);
    if (answer.fault == store_fault::history_gone || answer.fault == store_fault::invalid ||
        answer.fault == store_fault::not_found) {
        one->at = 0;
        co_return true;
    }
    if (answer.fault != store_fault::none) {
        // A watch that was cut may have missed changes whose history is dropped, and one that
        // starts from before them may hear nothing: what there is now is listed.
        one->at = 0;
        co_return false;
    }
    auto changes = self->wire.changes(answer.body);
    if (!changes) {
        note(*self, object_unreadable,
             {{"kind", to_string(one->kind)}, {"problem", changes.error().detail}});
        one->at = 0;
        co_return false;
    }
    const bool early = loop::steady_clock::now() < asked + wait * 9 / 10;
    if (changes.value().changes.empty() && early) {
        note(*self, watch_cut,
             {{"watch", to_string(one->kind)},
              {"at", one->at},
              {"answered_at", changes.value().at}});
        one->at = 0;
        co_return true;
    }
    one->at = std::max(one->at, changes.value().at);
    keep_changes(*self, one->kind, changes.value().changes, one->at);
    if (!changes.value().changes.empty()) {
        note_names(*one, changes.value().changes);
        one->change(changes.value().changes);
    }
    note_confirmed(*self, one->kind, known_from);
    if (!changes.value().changes.empty()) {
        co_await loop::pause_for(self->io, one->pause());
    }
    co_return true;
}

/// Takes what a feeder has answered.
void take_news(followed& one, feed_answer& news) {
    if (one.at == 0) {
        std::vector<stored_object> all;
        all.reserve(news.changes.size());
        one.names.clear();
        note_names(one, news.changes);
        for (auto& change : news.changes) {
            all.push_back(std::move(change.object));
        }
        one.replace(all);
        return;
    }
    if (news.names) {
        std::ranges::move(removals(one.names, *news.names), std::back_inserter(news.changes));
    }
    if (!news.changes.empty()) {
        note_names(one, news.changes);
        one.change(news.changes);
    }
}

/// Asks a feeder for everything, or for changes.
loop::task<bool> ask_feeder(std::shared_ptr<host> self, followed_ptr one, host_entry feeder) {
    // Revisions are the store's, so what another feeder or the store itself said stays comparable.
    const auto asked = self->clock.boot_now();
    auto question = feed_question(one->kind, one->at);
    const auto told = self->usage.changes + self->demand.changes;
    const bool tells = one->kind == object_kind::configuration &&
                       (one->told_to != feeder.name || one->told != told);
    if (tells) {
        tell_counts(*self, question);
    }
    const auto limit = one->at == 0 ? list_time : feed_wait + feed_allowance;
    auto outcome = co_await loop::call(self->connections, feeder.where, std::move(question),
                                       loop::after(limit), feed_connect);
    if (tells && outcome.fault == loop::exchange_fault::none) {
        one->told_to = feeder.name;
        one->told = told;
    }
    const bool answered = outcome.fault == loop::exchange_fault::none;
    auto read = decode_feed(answered && outcome.answer.status == 200 ? outcome.answer.body : "");
    if (!read) {
        note(*self, feeder_lost,
             {{"watch", to_string(one->kind)},
              {"feeder", feeder.name},
              {"fault", to_string(outcome.fault)},
              {"status", status_of(outcome)}});
        avoid_feeder(self->avoided, feeder.name, self->now());
        co_return true;
    }
    auto& news = read.value();
    take_news(*one, news);
    one->at = std::max(one->at, news.at);
    if (news.age) {
        note_confirmed(*self, one->kind, asked - *news.age);
    }
    co_return true;
}

/// The next list or change, from a feeder or from the store; false if there was no answer.
loop::task<bool> follow_once(std::shared_ptr<host> self, followed_ptr one) {
    auto& kept = self->kept[one->kind];
    const auto feeder = one->wanted ? std::nullopt : choose_feeder(*self, one->kind);
    kept.live = !feeder && !one->wanted;
    if (feeder) {
        co_return co_await ask_feeder(self, one, *feeder);
    }
    // What this host passes on must be whole, so it starts from a list of its own.
    if (one->at == 0 || kept.at != one->at) {
        co_return co_await list_all(self, one);
    }
    co_return co_await watch_once(self, one);
}

loop::task<void> follow(std::shared_ptr<host> self, followed_ptr one) {
    for (;;) {
        if (one->wanted && !one->wanted()) {
            one->at = 0;
            co_await loop::pause_for(self->io, unwanted_pause);
            continue;
        }
        const bool done = co_await follow_once(self, one);
        if (!done) {
            co_await loop::pause_for(self->io, store_pause(*self, store_pause_most));
        }
    }
}

} // namespace

loop::milliseconds watch_wait(object_kind kind, const host_settings& settings) {
    if (kind == object_kind::hosts) {
        return longest_wait; // no bound depends on how soon a peer is known
    }
    const auto soonest_bound = settings.calm + std::min(settings.in_force, settings.drain);
    const auto usual = std::clamp(soonest_bound - watch_allowance - catch_up_allowance,
                                  shortest_wait, longest_wait);
    if (kind == object_kind::configuration && settings.revocation) {
        // Two hosts pass it on, each with a wait of its own, and a quarter is for their delays.
        return std::clamp(*settings.revocation / 4, shortest_wait, usual);
    }
    return usual;
}

void start_watch(const std::shared_ptr<host>& self, followed one) {
    auto shared = std::make_shared<followed>(std::move(one));
    loop::asio::co_spawn(self->io, follow(self, std::move(shared)), loop::asio::detached);
}

loop::task<void> look_once(std::shared_ptr<host> self, followed one, bool may_be_stale) {
    auto shared = std::make_shared<followed>(std::move(one));
    object_page all;
    const auto asked = self->clock.boot_now();
    const bool whole = co_await read_list(self, shared, may_be_stale, all);
    if (!whole) {
        co_return;
    }
    shared->replace(all.items);
    if (!may_be_stale) {
        note_confirmed(*self, shared->kind, asked);
    }
}

} // namespace cornelloom::front
