#include "front/crash_exchange.hpp"

#include "front/json.hpp"
#include "loop/gather.hpp"
#include "loop/spawn.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>
#include <vector>

namespace cornelloom::front {

namespace {

using json = nlohmann::json;

/// How often a host exchanges with another one. Two of them, and a failed one between, fit into the
/// time in which a host that returns must keep all bounds.
constexpr loop::milliseconds exchange_interval{1500};
/// News of several targets that crash together go out in one message.
constexpr loop::milliseconds collect_delay{30};
constexpr loop::milliseconds exchange_timeout{600};
constexpr loop::milliseconds exchange_connect_timeout{250};
/// Records in one message. One target has a few dozen requests in flight, and a message must not
/// block the receiver.
constexpr std::size_t max_records_sent = 256;
/// Targets of one record that are read; a host sends no more.
constexpr std::size_t max_targets_read = 64;

/// Values of a message that is read. The largest that a host sends has a third of it.
constexpr std::size_t max_values_read = 500'000;

/// Name of the sender, in the query.
constexpr std::string_view sender_field = "from";

std::set<std::uint64_t> quarantined_digests(const host& self) {
    std::set<std::uint64_t> out;
    for (const auto& [digest, record] : self.crashes.ledger.digests) {
        if (record.quarantined_until > self.now()) {
            out.insert(digest);
        }
    }
    return out;
}

std::int64_t to_ms(kernel::duration time) {
    return std::chrono::duration_cast<milliseconds>(time).count();
}

/// Reads an age. It is never negative, so that nothing happens in the future.
kernel::duration read_ms(const json& value) {
    constexpr milliseconds longest = std::chrono::hours(24); // nothing is remembered for so long
    const auto given = std::clamp(value.get<double>(), 0.0, static_cast<double>(longest.count()));
    return milliseconds(static_cast<std::int64_t>(given));
}

std::optional<kernel::duration> read_optional_ms(const json& record, const char* field) {
    return record.contains(field) ? std::optional(read_ms(record.at(field))) : std::nullopt;
}

json encode_record(const decide::shared_crash_record& record) {
    json crashes = json::array();
    for (const auto& crash : record.crashes) {
        crashes.push_back({{"target", crash.target},
                           {"age_ms", to_ms(crash.age)},
                           {"run_ms", to_ms(crash.run_time)},
                           {"coincident", crash.coincident}});
    }
    json out = {{"digest", record.digest},
                {"crashes", std::move(crashes)},
                {"age_ms", to_ms(record.last_crash_age)},
                {"run_ms", to_ms(record.longest_run)}};
    if (record.quarantine_left > kernel::duration{}) {
        out["quarantine_ms"] = to_ms(record.quarantine_left);
        out["identified_age_ms"] = to_ms(record.identified_age);
        out["identified_by"] = record.identified_by;
    }
    if (record.cleared_age) {
        out["cleared_age_ms"] = to_ms(*record.cleared_age);
        out["clearance"] = record.clearance;
    }
    if (record.trials > 0) {
        out["trials"] = record.trials;
        out["unused_trials"] = record.unused_trials;
        out["first_trial_age_ms"] = to_ms(record.first_trial_age);
        out["trial_age_ms"] = to_ms(record.trial_age);
    }
    if (record.try_age) {
        out["try_age_ms"] = to_ms(*record.try_age);
    }
    if (record.try_ended_age) {
        out["try_ended_age_ms"] = to_ms(*record.try_ended_age);
    }
    return out;
}

decide::shared_crash_record decode_record(const json& value) {
    decide::shared_crash_record out;
    out.digest = value.at("digest").get<std::uint64_t>();
    for (const auto& crash : value.at("crashes") | std::views::take(max_targets_read)) {
        out.crashes.push_back({crash.at("target").get<std::uint64_t>(), read_ms(crash.at("age_ms")),
                               read_ms(crash.at("run_ms")), crash.value("coincident", false)});
    }
    out.last_crash_age = read_ms(value.at("age_ms"));
    out.longest_run = read_ms(value.at("run_ms"));
    if (value.contains("quarantine_ms")) {
        out.quarantine_left = read_ms(value.at("quarantine_ms"));
        out.identified_age = read_ms(value.at("identified_age_ms"));
        out.identified_by = value.at("identified_by").get<std::uint64_t>();
    }
    if (value.contains("cleared_age_ms")) {
        out.cleared_age = read_ms(value.at("cleared_age_ms"));
        out.clearance = value.value("clearance", std::uint64_t{0});
    }
    if (value.contains("trials")) {
        out.trials = value.at("trials").get<std::uint32_t>();
        out.unused_trials = value.at("unused_trials").get<std::uint32_t>();
        out.first_trial_age = read_ms(value.at("first_trial_age_ms"));
        out.trial_age = read_ms(value.at("trial_age_ms"));
    }
    out.try_age = read_optional_ms(value, "try_age_ms");
    out.try_ended_age = read_optional_ms(value, "try_ended_age_ms");
    return out;
}

/// Encodes what every host should know, and besides what this host knows of `digests`.
std::string encode_own_crashes(const host& self, const std::set<std::uint64_t>& digests) {
    const auto now = self.now();
    return encode_crashes(decide::export_crashes(
        self.crashes.ledger, now, max_records_sent,
        [&](std::uint64_t digest, const decide::crash_record& record) {
            return decide::is_repeated(record, now) || digests.contains(digest);
        }));
}

/// The hosts that are told at once: a few of each zone, or the seeds while no peer is known.
std::vector<transport::endpoint> all_partners(const host& self) {
    std::vector<transport::endpoint> out;
    if (self.peers.empty()) {
        std::ranges::copy_if(self.settings.seeds, std::back_inserter(out),
                             [&self](const transport::endpoint& seed) {
                                 return seed != self.settings.peer_endpoint;
                             });
        return out;
    }
    for (const auto& [zone, region] : self.settings.region_of_zone) {
        for (const auto& peer :
             ranked_zone_hosts(zone, self.peers) | std::views::take(zone_hosts_told)) {
            out.push_back(peer.address);
        }
    }
    return out;
}

/// The hosts that this host regularly asks. Traffic between zones is paid for, so only the hosts
/// that are told first exchange across zones.
std::vector<transport::endpoint> usual_partners(const host& self) {
    const auto own_zone = ranked_zone_hosts(self.settings.zone, self.peers);
    const bool is_told = own_zone.size() < zone_hosts_told ||
                         ranks_before(host_entry_of(self), own_zone[zone_hosts_told - 1]);
    if (is_told) {
        return all_partners(self);
    }
    std::vector<transport::endpoint> out;
    std::ranges::transform(own_zone | std::views::take(zone_hosts_told), std::back_inserter(out),
                           &host_entry::address);
    return out;
}

loop::task<bool> exchange_with(std::shared_ptr<host> self, transport::endpoint partner,
                               std::string knowledge) {
    transport::http_request message;
    message.method = "POST";
    message.path = crashes_path;
    message.query = std::string(sender_field) + "=" + self->settings.host;
    message.headers.push_back({"Host", "peer"});
    message.body = std::move(knowledge);
    const auto partner_name = to_string(partner);
    auto outcome = co_await loop::call(self->connections, std::move(partner), std::move(message),
                                       loop::after(exchange_timeout), exchange_connect_timeout);
    const bool answered = status_of(outcome) == 200;
    if (answered) {
        merge_crashes_of(*self, outcome.answer.body, partner_name);
    }
    co_return answered;
}

/// Tells other hosts at once what this host has found out.
loop::task<void> tell_news(std::shared_ptr<host> self) {
    for (;;) {
        while (self->crashes.news.empty()) {
            co_await self->crashes.changed.wait(loop::deadline::max());
        }
        co_await loop::pause_for(self->io, collect_delay);
        const auto knowledge = encode_own_crashes(*self, std::exchange(self->crashes.news, {}));
        for (auto& partner : all_partners(*self)) {
            loop::spawn(self->io, "exchange crashes",
                        loop::ignore_result(exchange_with(self, std::move(partner), knowledge)));
        }
    }
}

loop::task<void> exchange_periodically(std::shared_ptr<host> self) {
    bool answered = true;
    for (;;) {
        // Those of this zone may all be lost.
        const auto partners = answered ? usual_partners(*self) : all_partners(*self);
        if (!partners.empty()) {
            auto knowledge = encode_own_crashes(*self, {});
            answered = co_await exchange_with(self, partners[self->random() % partners.size()],
                                              std::move(knowledge));
        }
        co_await loop::pause_for(self->io, exchange_interval);
    }
}

} // namespace

std::string encode_crashes(const decide::shared_crashes& crashes) {
    json records = json::array();
    std::ranges::transform(crashes.records, std::back_inserter(records), encode_record);
    json targets = json::array();
    for (const auto& crash : crashes.crashes) {
        targets.push_back({{"target", crash.target}, {"age_ms", to_ms(crash.age)}});
    }
    return json{{"records", std::move(records)}, {"crashes", std::move(targets)}}.dump();
}

kernel::result<decide::shared_crashes> decode_crashes(std::string_view text) {
    try {
        const auto value = parse_json(text, {.values = max_values_read});
        decide::shared_crashes out;
        for (const auto& record : value.at("records") | std::views::take(max_records_sent)) {
            out.records.push_back(decode_record(record));
        }
        for (const auto& crash : value.at("crashes") | std::views::take(max_records_sent)) {
            out.crashes.push_back(
                {crash.at("target").get<std::uint64_t>(), read_ms(crash.at("age_ms"))});
        }
        return out;
    } catch (const json::exception& fault) {
        return kernel::error{kernel::error_code::invalid_input, fault.what()};
    }
}

void merge_crashes_of(host& self, const decide::shared_crashes& received, std::string_view from) {
    auto& watch = self.crashes;
    const auto before = quarantined_digests(self);
    decide::merge_crashes(watch.ledger, watch.rules, received, self.now());
    for (const auto digest : quarantined_digests(self)) {
        if (before.contains(digest)) {
            continue;
        }
        const auto told =
            std::ranges::find(received.records, digest, &decide::shared_crash_record::digest);
        const bool is_told =
            told != received.records.end() && told->quarantine_left > kernel::duration{};
        if (is_told) {
            report_quarantine(self, digest, from, quarantine_basis::told);
        } else {
            announce_quarantine(self, digest, quarantine_basis::merged);
        }
    }
    watch.evidence_changed.open();
}

std::set<std::uint64_t> merge_crashes_of(host& self, std::string_view text, std::string_view from) {
    const auto received = decode_crashes(text);
    if (!received) {
        report_unreadable(self, "crashes", {}, received.error().detail);
        return {};
    }
    merge_crashes_of(self, received.value(), from);
    std::set<std::uint64_t> told;
    std::ranges::transform(received.value().records, std::inserter(told, told.end()),
                           &decide::shared_crash_record::digest);
    return told;
}

loop::task<void> serve_crashes(std::shared_ptr<host> self, loop::served_request& request) {
    const auto from = transport::find_query(request.message.query, sender_field).value_or("");
    const auto told = merge_crashes_of(*self, request.message.body, from);
    transport::http_response answer{200, {}, encode_own_crashes(*self, told)};
    co_await request.answer(std::move(answer));
}

void start_crash_exchange(const std::shared_ptr<host>& self) {
    loop::keep_running(self->io, "announce crashes", [self] { return tell_news(self); });
    loop::keep_running(self->io, "crash exchange", [self] { return exchange_periodically(self); });
}

} // namespace cornelloom::front
