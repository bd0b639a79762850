#include "coord/internal/claims_table.hpp"

#include <algorithm>
#include <numeric>

namespace cornelloom::coord::internal {

namespace {

std::int64_t in_ms(kernel::duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

/// Before this issue time every host refuses a key by its age alone, whatever its clock says
/// within the bound on clock skew; its record can be forgotten.
std::int64_t forget_before(const claims_settings& settings, kernel::wall_time wall) {
    return wall.unix_ms - in_ms(settings.retention) - 2 * in_ms(settings.clock_skew);
}

std::string shard_name(const claims& state) {
    return std::to_string(state.settings.shard);
}

std::size_t body_bytes(const claim_record& record) {
    return record.outcome ? record.outcome->body.size() : 0;
}

void forget(claims& state, std::multimap<std::int64_t, claim_key>::iterator oldest) {
    const auto found = state.records.find(oldest->second);
    if (found != state.records.end()) {
        state.outcome_bytes -= body_bytes(found->second);
        state.records.erase(found);
    }
    state.by_issue.erase(oldest);
}

} // namespace

object_key head_key(const claims& state) {
    return {"claims-head", shard_name(state)};
}

object_key archive_key(const claims& state, std::uint64_t fence, std::uint64_t number) {
    return {"claims-archive-" + shard_name(state),
            std::to_string(fence) + "-" + std::to_string(number)};
}

bool is_expired(const claims_settings& settings, std::int64_t issued_ms, kernel::wall_time wall) {
    return issued_ms < wall.unix_ms - in_ms(settings.retention);
}

bool is_from_future(const claims_settings& settings, std::int64_t issued_ms,
                    kernel::wall_time wall) {
    return issued_ms > wall.unix_ms + in_ms(settings.clock_skew);
}

bool is_full(const claims& state) {
    return state.records.size() + state.queue.size() >= state.settings.record_limit;
}

claim_record& remember(claims& state, const claim_entry& entry) {
    const auto [found, added] = state.records.try_emplace(entry.key);
    auto& record = found->second;
    if (added) {
        state.by_issue.emplace(entry.issued_ms, entry.key);
        record.issued_ms = entry.issued_ms;
    }
    state.outcome_bytes -= body_bytes(record);
    record.state = entry.state;
    record.running = false;
    record.outcome = entry.outcome;
    state.outcome_bytes += body_bytes(record);
    return record;
}

void keep_outcome(claims& state, claim_record& record, const claim_outcome& outcome) {
    const auto size = outcome.body.size();
    const bool fits = size <= state.settings.outcome_limit &&
                      state.outcome_bytes + size <= state.settings.outcomes_limit;
    record.running = false;
    record.state = claim_state::ran;
    record.outcome = fits ? std::optional(outcome) : std::nullopt;
    state.outcome_bytes += body_bytes(record);
}

void forget_expired(claims& state, kernel::wall_time wall) {
    const auto limit = forget_before(state.settings, wall);
    while (!state.by_issue.empty() && state.by_issue.begin()->first < limit) {
        forget(state, state.by_issue.begin());
    }
}

claims_head successor(const claims& state, kernel::wall_time wall) {
    auto next = state.head;
    next.fence = state.fence;
    ++next.commit;
    if (state.archiving && state.archiving->durable) {
        const auto covered = static_cast<std::ptrdiff_t>(state.archiving->covers);
        next.entries.erase(next.entries.begin(), next.entries.begin() + covered);
        const auto number = state.archiving->number;
        auto& ranges = next.archives;
        if (!ranges.empty() && ranges.back().fence == state.fence && ranges.back().end == number) {
            ++ranges.back().end;
        } else {
            ranges.push_back({state.fence, number, number + 1});
        }
    }
    const auto limit = forget_before(state.settings, wall);
    while (!next.archives.empty()) {
        auto& oldest = next.archives.front();
        const auto newest = state.archive_newest.find({oldest.fence, oldest.first});
        if (newest == state.archive_newest.end() || newest->second >= limit) {
            break;
        }
        ++oldest.first;
        if (oldest.first == oldest.end) {
            next.archives.erase(next.archives.begin());
        }
    }
    return next;
}

std::size_t size_estimate(const claim_entry& entry) {
    constexpr std::size_t punctuation = 40;
    const auto body = entry.outcome ? entry.outcome->body.size() : 0;
    return punctuation + entry.key.caller.str().size() + entry.key.key.size() + body;
}

void plan_archive(claims& state) {
    if (state.archiving) {
        return;
    }
    const auto bytes = std::transform_reduce(state.head.entries.begin(), state.head.entries.end(),
                                             std::size_t{0}, std::plus<>{}, size_estimate);
    if (bytes <= state.settings.head_limit) {
        return;
    }
    std::map<claim_key, claim_entry> last;
    for (const auto& entry : state.head.entries) {
        last.insert_or_assign(entry.key, entry);
    }
    archive_write archive;
    archive.number = state.next_archive;
    archive.covers = state.head.entries.size();
    for (auto& [key, entry] : last) {
        archive.entries.push_back(std::move(entry));
    }
    state.archiving = std::move(archive);
}

void note_archive(claims& state, std::pair<std::uint64_t, std::uint64_t> name,
                  const std::vector<claim_entry>& entries) {
    std::int64_t newest = 0;
    for (const auto& entry : entries) {
        newest = std::max(newest, entry.issued_ms);
    }
    state.archive_newest[name] = newest;
}

void note_dropped_archives(claims& state, const claims_head& next) {
    const auto named = [&](const auto& name) {
        return std::ranges::any_of(next.archives, [&](const archive_range& range) {
            return range.fence == name.first && name.second >= range.first &&
                   name.second < range.end;
        });
    };
    for (const auto& range : state.head.archives) {
        for (auto number = range.first; number < range.end; ++number) {
            const std::pair name{range.fence, number};
            if (!named(name)) {
                state.droppable.push_back(name);
                state.archive_newest.erase(name);
            }
        }
    }
}

} // namespace cornelloom::coord::internal
