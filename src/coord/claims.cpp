#include "coord/claims.hpp"

#include "coord/internal/claims_step.hpp"
#include "coord/internal/json.hpp"
#include "kernel/hash.hpp"

#include <boost/algorithm/hex.hpp>

#include <algorithm>
#include <iterator>
#include <stdexcept>

namespace cornelloom::coord {

namespace {

using internal::json;

/// Answers may be any bytes, JSON text may not: plain text is kept as it is behind a `t`, which
/// takes half the bytes, all else in hexadecimal behind an `x`.
std::string to_text(std::string_view bytes) {
    const bool plain = std::ranges::all_of(
        bytes, [](char byte) { return static_cast<unsigned char>(byte) < 0x80U; });
    if (plain) {
        return "t" + std::string(bytes);
    }
    std::string hex = "x";
    boost::algorithm::hex_lower(bytes.begin(), bytes.end(), std::back_inserter(hex));
    return hex;
}

std::string from_text(const std::string& text) {
    if (text.starts_with('t')) {
        return text.substr(1);
    }
    if (!text.starts_with('x')) {
        throw std::invalid_argument("neither text nor hexadecimal");
    }
    std::string bytes;
    boost::algorithm::unhex(text.begin() + 1, text.end(), std::back_inserter(bytes));
    return bytes;
}

json to_json(const claim_entry& entry) {
    auto line = json::array({static_cast<unsigned>(entry.state), to_text(entry.key.caller.str()),
                             to_text(entry.key.key), entry.issued_ms});
    if (entry.outcome) {
        line.push_back(entry.outcome->status);
        line.push_back(to_text(entry.outcome->body));
    }
    return line;
}

claim_entry entry_from(const json& line) {
    const auto state = line.at(0).get<unsigned>();
    if (state > static_cast<unsigned>(claim_state::not_sent)) {
        throw std::invalid_argument("no such claim state");
    }
    claim_entry entry{.key = {kernel::caller_id{from_text(line.at(1).get<std::string>())},
                              from_text(line.at(2).get<std::string>())},
                      .issued_ms = line.at(3).get<std::int64_t>(),
                      .state = static_cast<claim_state>(state),
                      .outcome = {}};
    if (line.size() > 4) {
        entry.outcome =
            claim_outcome{line.at(4).get<int>(), from_text(line.at(5).get<std::string>())};
    }
    return entry;
}

json entries_to_json(const std::vector<claim_entry>& entries) {
    auto lines = json::array();
    for (const auto& entry : entries) {
        lines.push_back(to_json(entry));
    }
    return lines;
}

std::vector<claim_entry> entries_from(const json& lines) {
    std::vector<claim_entry> entries;
    for (const auto& line : lines) {
        entries.push_back(entry_from(line));
    }
    return entries;
}

} // namespace

std::uint32_t shard_of(const claim_key& key, std::uint32_t shards) {
    return static_cast<std::uint32_t>(kernel::hash64(key.key, kernel::hash64(key.caller.str())) %
                                      shards);
}

std::string encode(const claims_head& head) {
    auto archives = json::array();
    for (const auto& range : head.archives) {
        archives.push_back({range.fence, range.first, range.end});
    }
    return json{{"fence", head.fence},
                {"commit", head.commit},
                {"archives", std::move(archives)},
                {"entries", entries_to_json(head.entries)}}
        .dump();
}

std::optional<claims_head> decode_claims_head(std::string_view text) {
    return internal::decode_json(text, [](const json& value) {
        claims_head head{.fence = value.at("fence").get<std::uint64_t>(),
                         .commit = value.at("commit").get<std::uint64_t>(),
                         .archives = {},
                         .entries = entries_from(value.at("entries"))};
        for (const auto& range : value.at("archives")) {
            head.archives.push_back({range.at(0).get<std::uint64_t>(),
                                     range.at(1).get<std::uint64_t>(),
                                     range.at(2).get<std::uint64_t>()});
        }
        return head;
    });
}

std::string encode(const std::vector<claim_entry>& entries) {
    return entries_to_json(entries).dump();
}

std::optional<std::vector<claim_entry>> decode_entries(std::string_view text) {
    return internal::decode_json(text, [](const json& lines) { return entries_from(lines); });
}

claims make_claims(const claims_settings& settings) {
    claims state;
    state.settings = settings;
    return state;
}

claims_effects step(claims& state, const claims_event& event, kernel::time_point now,
                    kernel::wall_time wall) {
    return internal::claims_machine<internal::claims_rules>::step(state, event, now, wall);
}

std::size_t memory_estimate(const claims& state) {
    // Two tree nodes, each with a key, and the allocator's overhead.
    constexpr std::size_t record_overhead = 2 * (sizeof(claim_key) + 64) + sizeof(claim_record);
    return state.records.size() * record_overhead + state.outcome_bytes;
}

} // namespace cornelloom::coord
