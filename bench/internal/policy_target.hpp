#pragma once

#include "decide/decide.hpp"

#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <vector>

namespace cornelloom::policy_bench {

/// One answer being generated, or one call being served.
struct fake_stream {
    kernel::request_id request;
    std::uint32_t attempt = 0;
    std::size_t host = 0;
    decide::priority_class priority = decide::priority_class::rollout;
    double read_left = 0; ///< Work before the first token, in token units; seconds for services.
    double generate_left = 0; ///< Tokens.
    double generated = 0;
    double speed = 1; ///< Under 1: this attempt straggles.
    std::uint64_t prefix = 0;
    std::uint64_t oldest_version = 0;
    std::uint64_t inherited = 0; ///< Oldest version of the tokens sent along; 0: none.
    bool crashes = false;        ///< Takes the target down once it generates.
};

/// A model engine (streams share its speed) or a plain service (each call takes its time).
struct fake_target {
    decide::target config;
    std::uint64_t version = 1;
    double slow = 1;
    bool down = false;
    bool leaving = false;
    bool loading = false;
    std::vector<fake_stream> running{};
    std::deque<fake_stream> waiting{};
    std::list<std::uint64_t> cache{}; ///< Prefixes, the latest used first.
    kernel::time_point advanced{};
    double generated = 0;      ///< Tokens in all.
    double read = 0;           ///< Prompt tokens read in, cache hits left out.
    std::uint64_t planned = 0; ///< Number of the latest planned wake-up.
};

/// Lets all streams progress up to `now`.
void advance(fake_target& target, kernel::time_point now);

/// Starts waiting streams, by priority, while there is room. Gives the prefixes newly cached.
std::vector<std::uint64_t> start_waiting(fake_target& target);

/// Streams that are whole; they are removed.
[[nodiscard]] std::vector<fake_stream> take_finished(fake_target& target);

/// Everything running and waiting, removed; after a crash, a swap or a cut.
[[nodiscard]] std::vector<fake_stream> take_all(fake_target& target);
[[nodiscard]] std::optional<fake_stream>
take(fake_target& target, const kernel::request_id& request, std::uint32_t attempt);

/// When the next stream is whole, if nothing changes until then.
[[nodiscard]] std::optional<kernel::time_point> next_finish(const fake_target& target);

} // namespace cornelloom::policy_bench
