#include "front/feed.hpp"

#include "front/age_plan.hpp"
#include "front/count_exchange.hpp"
#include "front/json.hpp"

#include "kernel/number.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

using json = nlohmann::json;

/// How long a host watches the store after it got a request that it could not serve: as long as
/// the host that asked avoids it.
constexpr milliseconds watch_after_unserved_poll = feeder_avoidance_time;
/// Response header with the time from when the data are, in milliseconds after the request arrived.
constexpr std::string_view as_of_header = "Cornelloom-As-Of-Ms";
/// Longer ages overflow when they are subtracted from a time of a clock.
constexpr std::int64_t longest_age_ms = 1'000'000'000'000;
/// Steps of changes that a feeder keeps for each kind. A host that asks for older ones gets the
/// names of all objects and the objects that changed.
constexpr std::size_t max_history_steps = 256;
/// Changes in one response, unless a single step has more. Hosts request the rest immediately.
/// Larger responses would block the feeder: encoding thousands of changes for one host keeps all
/// others waiting.
constexpr std::size_t max_response_changes = 500;
/// Encoded responses that are cached. Hosts receive the same steps, so most poll from the same
/// revisions.
constexpr std::size_t max_encoded_responses = 16;

feed_response full_list(const feed_cache& cache) {
    feed_response out;
    out.at = cache.at;
    for (const auto& [name, object] : cache.objects) {
        out.changes.push_back({object, false});
    }
    return out;
}

feed_response history_since(const feed_cache& cache, std::uint64_t since) {
    feed_response out;
    for (const auto& step : cache.history) {
        if (step.at <= since) {
            continue;
        }
        if (!out.changes.empty() &&
            out.changes.size() + step.changes.size() > max_response_changes) {
            out.partial = true;
            return out;
        }
        out.changes.insert(out.changes.end(), step.changes.begin(), step.changes.end());
        out.at = step.at;
    }
    out.at = cache.at;
    return out;
}

/// The updates after `since` when the history doesn't reach back that far, as on a new feeder. Most
/// objects are unchanged, so only their names are sent.
feed_response names_and_changes_since(const feed_cache& cache, std::uint64_t since) {
    feed_response out;
    out.at = cache.at;
    out.names.emplace();
    for (const auto& [name, object] : cache.objects) {
        out.names->push_back(name);
        if (object.revision > since) {
            out.changes.push_back({object, false});
        }
    }
    return out;
}

/// Chooses a seed host as feeder. A host that has just started knows only the seeds and learns of
/// its other peers from one of them. Nothing if this host is a seed or all seeds are avoided.
std::optional<host_entry> choose_seed(const host& self) {
    std::vector<host_entry> usable;
    for (const auto& seed : self.settings.seeds) {
        const auto name = to_string(seed);
        const auto avoided = self.avoided.find(name);
        if (seed == self.settings.peer_endpoint) {
            return std::nullopt; // this host is a seed
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

/// Until when this host may serve the kind unless its copy is confirmed again. No bound depends on
/// the age of the list of hosts, so that is served while the host follows the configuration.
loop::deadline servable_until(host& self, object_kind kind) {
    const auto judged = kind == object_kind::hosts ? object_kind::configuration : kind;
    const auto until = servable_until(self.copies[judged], plan_age(judged, self.settings));
    return loop::steady_clock::now() +
           std::chrono::duration_cast<loop::steady_clock::duration>(until - self.clock.boot_now());
}

/// Whether this host may serve a kind now: it watches the kind itself and its copy is not too old.
bool can_serve(host& self, object_kind kind) {
    const auto& cache = self.caches[kind];
    return cache.at != 0 && cache.watching &&
           servable_until(self, kind) >= loop::steady_clock::now();
}

/// Whether there are updates for a host that is current up to revision `since`.
bool has_updates(const feed_cache& cache, std::uint64_t since) {
    const bool history_too_short = since == 0 || since < cache.history_start;
    return history_too_short ||
           std::ranges::any_of(cache.history, [since](const feed_cache::change_set& step) {
               return step.at > since;
           });
}

/// Adds a step to the history, which brings hosts from the revision before to that of the cache.
void append_step(feed_cache& cache, std::vector<object_change> changes) {
    if (changes.empty()) {
        return;
    }
    cache.history.push_back({cache.at, std::move(changes)});
    if (cache.history.size() > max_history_steps) {
        cache.history_start = cache.history.front().at;
        cache.history.pop_front();
    }
}

} // namespace

std::optional<host_entry> choose_feeder(host& self, object_kind kind) {
    const auto& cache = self.caches[kind];
    if (cache.last_unserved_poll != time_point{} &&
        self.now() - cache.last_unserved_poll < watch_after_unserved_poll) {
        return std::nullopt;
    }
    if (self.peers.empty()) {
        return choose_seed(self);
    }
    return first_zone_host(host_entry_of(self), self.peers, self.avoided, self.now());
}

bool watches_store(const host& self) {
    return std::ranges::any_of(self.caches.by_kind,
                               [](const auto& each) { return each.second.watching; });
}

void set_watching(feed_cache& cache, bool watching) {
    if (watching && !cache.watching) {
        cache.at = 0;
        cache.objects.clear();
        cache.history.clear();
    }
    cache.watching = watching;
}

void cache_list(host& self, object_kind kind, const std::vector<stored_object>& all,
                std::uint64_t as_of) {
    auto& cache = self.caches[kind];
    std::map<std::string, stored_object, std::less<>> listed;
    for (const auto& object : all) {
        listed.emplace(object.name, object);
    }
    if (cache.at == 0) {
        cache.history_start = as_of;
    }
    cache.at = std::max(cache.at, as_of);
    append_step(cache, find_differences(cache.objects, listed));
    cache.objects = std::move(listed);
    cache.changed.open();
}

void cache_changes(host& self, object_kind kind, const std::vector<object_change>& changes,
                   std::uint64_t as_of) {
    auto& cache = self.caches[kind];
    cache.at = std::max(cache.at, as_of);
    cache.changed.open();
    for (const auto& change : changes) {
        if (change.deleted) {
            cache.objects.erase(change.object.name);
        } else {
            cache.objects.insert_or_assign(change.object.name, change.object);
        }
    }
    append_step(cache, changes);
}

feed_response updates_since(const feed_cache& cache, std::uint64_t since) {
    if (since == 0) {
        return full_list(cache);
    }
    return since < cache.history_start ? names_and_changes_since(cache, since)
                                       : history_since(cache, since);
}

const std::string& encode_updates_once(feed_cache& cache, std::uint64_t since) {
    if (cache.encoded_revision != cache.at) {
        cache.encoded.clear();
        cache.encoded_revision = cache.at;
    }
    const auto cached = cache.encoded.find(since);
    if (cached != cache.encoded.end()) {
        return cached->second;
    }
    if (cache.encoded.size() >= max_encoded_responses) {
        cache.encoded.clear();
    }
    return cache.encoded.emplace(since, encode_feed_response(updates_since(cache, since)))
        .first->second;
}

std::vector<object_change>
find_differences(const std::map<std::string, stored_object, std::less<>>& known,
                 const std::map<std::string, stored_object, std::less<>>& listed) {
    std::vector<object_change> out;
    for (const auto& [name, object] : listed) {
        const auto before = known.find(name);
        if (before == known.end() || before->second.revision < object.revision) {
            out.push_back({object, false});
        }
    }
    for (const auto& [name, object] : known) {
        if (!listed.contains(name)) {
            out.push_back({object, true});
        }
    }
    return out;
}

std::vector<object_change> find_deletions(const std::set<std::string, std::less<>>& known,
                                          const std::vector<std::string>& names) {
    const std::set<std::string_view> existing(names.begin(), names.end());
    std::vector<object_change> out;
    for (const auto& name : known) {
        if (!existing.contains(name)) {
            object_change deletion;
            deletion.object.name = name;
            deletion.deleted = true;
            out.push_back(std::move(deletion));
        }
    }
    return out;
}

transport::http_request make_feed_request(object_kind kind, std::uint64_t since,
                                          std::optional<milliseconds> age) {
    transport::http_request out;
    out.path = feed_path;
    out.query = "kind=" + std::to_string(static_cast<int>(kind)) + "&at=" + std::to_string(since);
    if (age) {
        out.query += "&age=" + std::to_string(age->count());
    }
    out.headers.push_back({"Host", "peer"});
    return out;
}

void attach_counts(host& self, transport::http_request& poll_request) {
    poll_request.method = "POST";
    poll_request.body = encode_own_counts(self);
}

void state_as_of(transport::http_response& response, milliseconds since_arrival) {
    response.headers.push_back({std::string(as_of_header), std::to_string(since_arrival.count())});
}

std::optional<milliseconds> stated_as_of(const std::vector<transport::http_header>& headers) {
    const auto text = transport::find_header(headers, as_of_header).value_or("");
    const auto stated = kernel::parse_integer<std::int64_t>(text);
    const bool sound = stated && *stated >= -longest_age_ms && *stated <= longest_age_ms;
    return sound ? std::optional(milliseconds(*stated)) : std::nullopt;
}

std::string encode_feed_response(const feed_response& response) {
    json changes = json::array();
    for (const auto& change : response.changes) {
        json encoded = {{"name", change.object.name},
                        {"revision", change.object.revision},
                        {"specification", change.deleted ? json() : change.object.specification},
                        {"deleted", change.deleted}};
        if (!change.object.fault.empty()) {
            encoded["fault"] = change.object.fault;
        }
        changes.push_back(std::move(encoded));
    }
    json out = {{"at", response.at}, {"changes", std::move(changes)}};
    if (response.names) {
        out["names"] = *response.names;
    }
    if (response.partial) {
        out["partial"] = true;
    }
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

namespace {

/// Nothing if its name or revision can't be read. A specification beyond the limits makes a fault.
std::optional<object_change> decode_change(std::string_view text,
                                           const kernel::json_limits& limits) {
    const auto members = kernel::split_object(text);
    if (!members) {
        return std::nullopt;
    }
    const auto name = parse_json(kernel::find_member(*members, "name"));
    const auto revision = parse_json(kernel::find_member(*members, "revision"));
    if (!name.is_string() || !revision.is_number_unsigned()) {
        return std::nullopt;
    }
    object_change change;
    change.object.name = name.get<std::string>();
    change.object.revision = revision.get<std::uint64_t>();
    change.deleted = kernel::find_member(*members, "deleted") == "true";
    const auto fault = parse_json(kernel::find_member(*members, "fault"));
    change.object.fault = fault.is_string() ? fault.get<std::string>() : std::string();
    auto specification = parse_json(kernel::find_member(*members, "specification"), limits);
    if (!specification.is_discarded()) {
        change.object.specification = std::move(specification);
    } else if (change.object.fault.empty()) {
        change.object.fault = "can't be read";
    }
    return change;
}

} // namespace

kernel::result<feed_response> decode_feed_response(std::string_view body,
                                                   const kernel::json_limits& limits) {
    const auto members = kernel::split_object(body);
    const auto changes =
        members ? kernel::split_array(kernel::find_member(*members, "changes")) : std::nullopt;
    if (!changes) {
        return kernel::error{kernel::error_code::invalid_input, "no array of changes"};
    }
    feed_response out;
    try {
        out.at = parse_json(kernel::find_member(*members, "at")).get<std::uint64_t>();
        const auto names = kernel::find_member(*members, "names");
        if (!names.empty()) {
            out.names = parse_json(names).get<std::vector<std::string>>();
        }
        out.partial = kernel::find_member(*members, "partial") == "true";
    } catch (const json::exception& fault) {
        return kernel::error{kernel::error_code::invalid_input, fault.what()};
    }
    for (const auto text : *changes) {
        if (auto change = decode_change(text, limits)) {
            out.changes.push_back(std::move(*change));
        } else {
            ++out.unnamed;
        }
    }
    return out;
}

loop::task<void> serve_feed(std::shared_ptr<host> self, loop::served_request& request) {
    const auto find_number = [&request](std::string_view name) {
        const auto text = transport::find_query(request.message.query, name).value_or("");
        return kernel::parse_integer<std::uint64_t>(text);
    };
    const auto arrived = self->clock.boot_now();
    const auto kind = find_number("kind").value_or(0);
    if (kind > static_cast<std::uint64_t>(object_kind::order_lease)) {
        co_await request.answer({404, {}, {}});
        co_return;
    }
    merge_counts(*self, request.message.body);
    const auto requested = static_cast<object_kind>(kind);
    auto& cache = self->caches[requested];
    const auto since = find_number("at").value_or(0);
    const auto hold_deadline = loop::after(feed_poll_wait);
    const auto& copy = self->copies[requested];
    const auto stated_age = find_number("age");
    const auto known_as_of =
        stated_age ? arrived - milliseconds(std::min<std::uint64_t>(*stated_age, longest_age_ms))
                   : copy.confirmed_at;
    // A host is told when this host's copy is confirmed again, not only of changes.
    while (can_serve(*self, requested) && !has_updates(cache, since) &&
           copy.confirmed_at <= known_as_of + min_age_gain &&
           loop::steady_clock::now() < hold_deadline) {
        co_await cache.changed.wait(std::min(hold_deadline, servable_until(*self, requested)));
    }
    // When many hosts start, or lose their feeder, at the same time, they all poll this one before
    // it has its first list. Refusing them would send them all to one host after another.
    while (!can_serve(*self, requested) && (!cache.watching || cache.at == 0) &&
           loop::steady_clock::now() < hold_deadline) {
        cache.last_unserved_poll = self->now();
        co_await cache.changed.wait(hold_deadline);
    }
    transport::http_response response{status_stale, {}, {}};
    if (can_serve(*self, requested)) {
        response.status = 200;
        response.body = encode_updates_once(cache, since);
        // A configuration that this host can't parse counts as well: each host parses it itself.
        state_as_of(response, std::chrono::floor<milliseconds>(copy.confirmed_at - arrived));
    }
    co_await request.answer(std::move(response));
}

} // namespace cornelloom::front
