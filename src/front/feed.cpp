#include "front/feed.hpp"

#include "front/count_exchange.hpp"

#include "kernel/number.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

using json = nlohmann::json;

/// A host that was asked in vain watches the store itself for so long.
constexpr milliseconds watch_when_asked = feeder_avoidance;
/// Changes that a feeder remembers of each kind; who asks for older ones gets the list.
constexpr std::size_t remembered_most = 256;
/// Changes of one answer, unless a single step has more. What is left is asked for at once: a
/// feeder that writes thousands of them to each host of its zone has no time for the others.
constexpr std::size_t changes_most = 500;
/// Answers that are kept encoded. Hosts follow the same steps, so most ask from the same revisions.
constexpr std::size_t encoded_most = 16;

feed_answer list_of(const kept_kind& kept) {
    feed_answer out;
    out.at = kept.at;
    for (const auto& [name, object] : kept.objects) {
        out.changes.push_back({object, false});
    }
    return out;
}

feed_answer changes_since(const kept_kind& kept, std::uint64_t at) {
    feed_answer out;
    for (const auto& step : kept.recent) {
        if (step.at <= at) {
            continue;
        }
        if (!out.changes.empty() && out.changes.size() + step.changes.size() > changes_most) {
            return out;
        }
        out.changes.insert(out.changes.end(), step.changes.begin(), step.changes.end());
        out.at = step.at;
    }
    out.at = kept.at;
    return out;
}

/// All that a host must learn which knows everything up to `at`, when the steps since are dropped:
/// a feeder that has just begun has none. Most objects are as they were, so their names suffice.
feed_answer catch_up_since(const kept_kind& kept, std::uint64_t at) {
    feed_answer out;
    out.at = kept.at;
    out.names.emplace();
    for (const auto& [name, object] : kept.objects) {
        out.names->push_back(name);
        if (object.revision > at) {
            out.changes.push_back({object, false});
        }
    }
    return out;
}

/// A host that has just started knows only the seeds: it learns of the others from one of these.
std::optional<host_entry> choose_seed(const host& self) {
    std::vector<host_entry> usable;
    for (const auto& seed : self.settings.seeds) {
        const auto name = to_string(seed);
        const auto avoided = self.avoided.find(name);
        if (seed == self.settings.peers) {
            return std::nullopt; // this host is one
        }
        if (avoided == self.avoided.end() || avoided->second <= self.now()) {
            usable.push_back({name, {}, seed});
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    return usable[self.salt % usable.size()];
}

/// When this host's news of the store are no longer fresh. An answer that a peer has passed on does
/// not count: the watches may hang on the direct way meanwhile.
loop::deadline fresh_until(const host& self) {
    return self.store.ways.last_direct + feed_touch;
}

/// Whether this host may say anything of a kind now: it has fresh news of its own.
bool may_answer(const host& self, const kept_kind& kept) {
    return kept.at != 0 && kept.live && fresh_until(self) >= loop::steady_clock::now();
}

/// Whether there is something to tell to a host that knows everything up to `at`.
bool has_news(const kept_kind& kept, std::uint64_t at) {
    const bool from_the_start = at == 0 || at < kept.oldest;
    return from_the_start || std::ranges::any_of(kept.recent, [at](const kept_kind::step& step) {
               return step.at > at;
           });
}

std::string encoded_news(const host& self, object_kind kind, kept_kind& kept, std::uint64_t at) {
    if (kind != object_kind::configuration) {
        return encode_news_once(kept, at);
    }
    auto news = news_since(kept, at);
    if (self.configuration_as_of != time_point{}) {
        news.age = configuration_age(self);
    }
    return encode_feed(news);
}

} // namespace

std::optional<host_entry> choose_feeder(host& self, object_kind kind) {
    const auto& kept = self.kept[kind];
    if (kept.asked != time_point{} && self.now() - kept.asked < watch_when_asked) {
        return std::nullopt;
    }
    if (self.peers.empty()) {
        return choose_seed(self);
    }
    return first_of_zone(own_entry(self), self.peers, self.avoided, self.now());
}

bool watches_store(const host& self) {
    return std::ranges::any_of(self.kept.by_kind,
                               [](const auto& each) { return each.second.live; });
}

void keep_list(host& self, object_kind kind, const std::vector<stored_object>& all,
               std::uint64_t at) {
    auto& kept = self.kept[kind];
    kept.objects.clear();
    for (const auto& object : all) {
        kept.objects.emplace(object.name, object);
    }
    // Who asks for changes since before this list may have missed a removal.
    kept.recent.clear();
    kept.oldest = at;
    kept.at = at;
    kept.changed.open();
}

void keep_changes(host& self, object_kind kind, const std::vector<object_change>& changes,
                  std::uint64_t at) {
    auto& kept = self.kept[kind];
    kept.at = std::max(kept.at, at);
    kept.changed.open();
    if (changes.empty()) {
        return;
    }
    for (const auto& change : changes) {
        if (change.deleted) {
            kept.objects.erase(change.object.name);
        } else {
            kept.objects.insert_or_assign(change.object.name, change.object);
        }
    }
    kept.recent.push_back({kept.at, changes});
    if (kept.recent.size() > remembered_most) {
        kept.oldest = kept.recent.front().at;
        kept.recent.pop_front();
    }
}

feed_answer news_since(const kept_kind& kept, std::uint64_t at) {
    if (at == 0) {
        return list_of(kept);
    }
    return at < kept.oldest ? catch_up_since(kept, at) : changes_since(kept, at);
}

const std::string& encode_news_once(kept_kind& kept, std::uint64_t at) {
    if (kept.encoded_at != kept.at) {
        kept.encoded.clear();
        kept.encoded_at = kept.at;
    }
    const auto known = kept.encoded.find(at);
    if (known != kept.encoded.end()) {
        return known->second;
    }
    if (kept.encoded.size() >= encoded_most) {
        kept.encoded.clear();
    }
    return kept.encoded.emplace(at, encode_feed(news_since(kept, at))).first->second;
}

std::vector<object_change> removals(const std::set<std::string, std::less<>>& known,
                                    const std::vector<std::string>& names) {
    const std::set<std::string_view> there(names.begin(), names.end());
    std::vector<object_change> out;
    for (const auto& name : known) {
        if (!there.contains(name)) {
            object_change gone;
            gone.object.name = name;
            gone.deleted = true;
            out.push_back(std::move(gone));
        }
    }
    return out;
}

transport::http_request feed_question(object_kind kind, std::uint64_t at) {
    transport::http_request out;
    out.path = feed_path;
    out.query = "kind=" + std::to_string(static_cast<int>(kind)) + "&at=" + std::to_string(at);
    out.headers.push_back({"Host", "peer"});
    return out;
}

void tell_counts(const host& self, transport::http_request& question) {
    question.method = "POST";
    question.body = encode_own_counts(self);
}

std::string encode_feed(const feed_answer& answer) {
    json changes = json::array();
    for (const auto& change : answer.changes) {
        changes.push_back({{"name", change.object.name},
                           {"revision", change.object.revision},
                           {"specification", change.object.specification},
                           {"deleted", change.deleted}});
    }
    json out = {{"at", answer.at}, {"changes", std::move(changes)}};
    if (answer.names) {
        out["names"] = *answer.names;
    }
    if (answer.age) {
        out["age_ms"] = answer.age->count();
    }
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

kernel::result<feed_answer> decode_feed(std::string_view body) {
    try {
        auto value = json::parse(body);
        feed_answer out;
        out.at = value.at("at").get<std::uint64_t>();
        for (auto& each : value.at("changes")) {
            object_change change;
            change.object.name = each.at("name").get<std::string>();
            change.object.revision = each.at("revision").get<std::uint64_t>();
            change.object.specification = std::move(each.at("specification"));
            change.deleted = each.at("deleted").get<bool>();
            out.changes.push_back(std::move(change));
        }
        if (value.contains("names")) {
            out.names = value["names"].get<std::vector<std::string>>();
        }
        if (value.contains("age_ms")) {
            out.age = milliseconds(value["age_ms"].get<std::int64_t>());
        }
        return out;
    } catch (const json::exception& fault) {
        return kernel::error{kernel::error_code::invalid_input, fault.what()};
    }
}

loop::task<void> serve_feed(std::shared_ptr<host> self, loop::served_request& request) {
    const auto number = [&request](std::string_view name) {
        const auto text = transport::find_query(request.message.query, name).value_or("");
        return kernel::parse_integer<std::uint64_t>(text).value_or(0);
    };
    const auto kind = number("kind");
    if (kind > static_cast<std::uint64_t>(object_kind::order_lease)) {
        co_await request.answer({404, {}, {}});
        co_return;
    }
    take_counts(*self, request.message.body);
    auto& kept = self->kept[static_cast<object_kind>(kind)];
    const auto at = number("at");
    const auto until = loop::after(feed_wait);
    while (may_answer(*self, kept) && !has_news(kept, at) && loop::steady_clock::now() < until) {
        co_await kept.changed.wait(std::min(until, fresh_until(*self)));
    }
    // Hosts that start together, or lose their feeder together, ask the next one before it has its
    // first list: a refusal would send them all on to one after another.
    while (!may_answer(*self, kept) && (!kept.live || kept.at == 0) &&
           loop::steady_clock::now() < until) {
        kept.asked = self->now();
        co_await kept.changed.wait(until);
    }
    transport::http_response answer{status_out_of_touch, {}, {}};
    if (may_answer(*self, kept)) {
        answer.status = 200;
        answer.body = encoded_news(*self, static_cast<object_kind>(kind), kept, at);
    }
    co_await request.answer(std::move(answer));
}

} // namespace cornelloom::front
