#include "front/feed.hpp"

#include "kernel/number.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

using json = nlohmann::json;

/// A feeder that failed is left alone for so long.
constexpr milliseconds avoid_for{4000};
/// Changes that a feeder remembers of each kind; who asks for older ones gets the list.
constexpr std::size_t remembered_most = 256;
constexpr int status_list_again = 410;
constexpr int status_out_of_touch = 503;

bool goes_before(const host_entry& a, const host_entry& b) {
    return a.processor != b.processor ? a.processor > b.processor : a.name < b.name;
}

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
    out.at = kept.at;
    for (const auto& step : kept.recent) {
        if (step.at > at) {
            out.changes.insert(out.changes.end(), step.changes.begin(), step.changes.end());
        }
    }
    return out;
}

} // namespace

namespace {

/// A host that has just started knows only the seeds: it learns of the others from one of these.
std::optional<host_entry> choose_seed(const host& self) {
    std::vector<host_entry> usable;
    for (const auto& seed : self.settings.seeds) {
        const auto name = to_string(seed);
        const auto avoided = self.avoided_feeders.find(name);
        if (seed == self.settings.peers) {
            return std::nullopt; // this host is one
        }
        if (avoided == self.avoided_feeders.end() || avoided->second <= self.now()) {
            usable.push_back({name, {}, seed});
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    return usable[self.salt % usable.size()];
}

} // namespace

std::optional<host_entry> choose_feeder(host& self) {
    const auto own = own_entry(self);
    if (self.peers.empty()) {
        return choose_seed(self);
    }
    std::vector<host_entry> feeders;
    for (const auto& [name, peer] : self.peers) {
        const auto avoided = self.avoided_feeders.find(name);
        const bool usable = avoided == self.avoided_feeders.end() || avoided->second <= self.now();
        if (peer.zone == own.zone && usable && goes_before(peer, own)) {
            feeders.push_back(peer);
        }
    }
    if (feeders.size() < feeders_per_zone) {
        return std::nullopt;
    }
    std::ranges::sort(feeders, goes_before);
    return feeders[self.salt % feeders_per_zone];
}

void avoid_feeder(host& self, std::string_view name) {
    self.avoided_feeders[std::string(name)] = self.now() + avoid_for;
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
    kept.changed.open();
}

transport::http_request feed_question(object_kind kind, std::uint64_t at) {
    transport::http_request out;
    out.path = feed_path;
    out.query = "kind=" + std::to_string(static_cast<int>(kind)) + "&at=" + std::to_string(at);
    out.headers.push_back({"Host", "peer"});
    return out;
}

std::string encode_feed(const feed_answer& answer) {
    json changes = json::array();
    for (const auto& change : answer.changes) {
        changes.push_back({{"name", change.object.name},
                           {"revision", change.object.revision},
                           {"specification", change.object.specification},
                           {"deleted", change.deleted}});
    }
    const json out = {{"at", answer.at}, {"changes", std::move(changes)}};
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
    const auto found = self->kept.find(static_cast<object_kind>(number("kind")));
    const auto touched = [&self] {
        return loop::steady_clock::now() - self->store.last_direct_answer <= feed_touch;
    };
    transport::http_response answer{status_out_of_touch, {}, {}};
    // What this host knows from others, or knew when it watched the store, is not its to pass on.
    if (found == self->kept.end() || found->second.at == 0 || !found->second.live || !touched()) {
        co_await request.answer(std::move(answer));
        co_return;
    }
    auto& kept = found->second;
    const auto at = number("at");
    if (at != 0 && at < kept.oldest) {
        answer.status = status_list_again;
        co_await request.answer(std::move(answer));
        co_return;
    }
    auto reply = at == 0 ? list_of(kept) : changes_since(kept, at);
    if (at != 0 && reply.changes.empty()) {
        co_await kept.changed.wait(loop::after(feed_wait));
        if (at < kept.oldest) {
            answer.status = status_list_again;
            co_await request.answer(std::move(answer));
            co_return;
        }
        reply = changes_since(kept, at);
    }
    if (touched() && kept.live) {
        answer.status = 200;
        answer.body = encode_feed(reply);
    }
    co_await request.answer(std::move(answer));
}

} // namespace cornelloom::front
