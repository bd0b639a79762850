#include "client/trainer_client.hpp"

#include "client/internal/json.hpp"
#include "client/internal/link.hpp"

#include <algorithm>
#include <limits>
#include <mutex>

namespace cornelloom::client {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// How long a daemon may hold a pull that has nothing to give, and how much longer the client waits
/// for the answer before it asks another daemon.
constexpr auto pull_wait = std::chrono::seconds{10};
constexpr auto pull_slack = std::chrono::seconds{5};
constexpr auto control_timeout = std::chrono::seconds{10};

/// Time between pulls that gave nothing new, should a daemon answer at once instead of waiting.
constexpr auto empty_pull_pause = milliseconds{20};

/// Pulls that one millisecond has room for in the order of pulls.
constexpr std::int64_t orders_per_ms = 1000;

/// Calls of a trainer may all be repeated, and a step is worth waiting for: the deadline alone ends
/// them.
constexpr internal::repeat_rules control_rules{.idempotent = true,
                                               .max_attempts = std::numeric_limits<unsigned>::max(),
                                               .attempt_timeout = control_timeout,
                                               .final_statuses = {}};
constexpr internal::repeat_rules pull_rules{.idempotent = true,
                                            .max_attempts = std::numeric_limits<unsigned>::max(),
                                            .attempt_timeout = pull_wait + pull_slack,
                                            .final_statuses = {}};

json groups_json(const std::vector<prompt_group>& groups) {
    auto list = json::array();
    for (const auto& group : groups) {
        list.push_back({{"prompt", group.prompt}, {"samples", group.samples}});
    }
    return list;
}

json open_json(const step_request& step, kernel::wall_time deadline) {
    return {{"trainer", step.trainer.str()},
            {"step", step.step},
            {"version", step.version},
            {"staleness_bound", step.staleness_bound},
            {"deadline_unix_ms", deadline.unix_ms},
            {"groups", groups_json(step.groups)},
            {"sampling",
             {{"max_tokens", step.sampling.max_tokens},
              {"temperature", step.sampling.temperature},
              {"seed", step.sampling.seed}}}};
}

json pull_json(const step_request& step, const step_progress& progress, std::int64_t order) {
    auto held = json::array();
    for (const auto& [slot, delivered] : progress.held) {
        held.push_back(slot);
    }
    return {{"trainer", step.trainer.str()},
            {"held", std::move(held)},
            {"epoch", progress.epoch},
            {"order", order},
            {"wait_ms", duration_cast<milliseconds>(pull_wait).count()}};
}

std::string steps_path(const step_request& step) {
    return "/v1/pools/" + step.pool.str() + "/steps";
}

transport::http_request json_request(std::string_view method, std::string path, std::string body) {
    return {.method = std::string(method),
            .path = std::move(path),
            .query = {},
            .headers = {{"Content-Type", "application/json"}},
            .body = std::move(body)};
}

/// Parses one sample; nothing when it does not name its slot or its versions.
std::optional<sample> parse_sample(const json& from) {
    const auto slot = internal::unsigned_member(from, "slot");
    auto text = internal::text_member(from, "text");
    if (!slot || !text) {
        return std::nullopt;
    }
    auto spans = internal::parse_spans(from);
    if (!spans) {
        return std::nullopt;
    }
    sample parsed{.slot = *slot,
                  .group = internal::unsigned_member(from, "group").value_or(0),
                  .text = *std::move(text),
                  .spans = *std::move(spans),
                  .score = {}};
    if (const auto score = from.find("score"); score != from.end() && score->is_number()) {
        parsed.score = score->get<double>();
    }
    return parsed;
}

/// How many versions the sample lags behind the newest that the trainer has announced.
std::uint64_t staleness(const sample& taken, std::uint64_t newest) {
    const auto oldest = std::ranges::min(taken.spans, {}, &version_span::version).version;
    return oldest < newest ? newest - oldest : 0;
}

} // namespace

struct trainer_client::state {
    explicit state(client_options options) : link(std::move(options)) {}

    std::uint64_t newest(const step_request& step) {
        const std::lock_guard lock(versions_lock);
        return std::max(step.version, versions[step.pool]);
    }

    /// The same for each opening of a step, or its content would differ.
    kernel::wall_time deadline_of(const step_request& step) {
        const auto length = duration_cast<milliseconds>(step.deadline).count();
        const std::lock_guard lock(versions_lock);
        auto& opened = openings[{step.pool, step.step}];
        if (opened.unix_ms == 0) {
            opened = step.opened.unix_ms != 0 ? step.opened : link.wall_now();
        }
        return {opened.unix_ms + length};
    }

    /// Takes one answer; returns whether the step is complete, or nothing if it was not understood.
    std::optional<bool> take(const step_request& step, const json& answer, step_progress& progress,
                             step_result& result, const sample_sink& sink);

    void take_sample(const step_request& step, const json& from, step_progress& progress,
                     step_result& result, const sample_sink& sink);

    internal::link link;
    std::mutex versions_lock;
    std::map<kernel::pool_id, std::uint64_t> versions; ///< Newest announced.
    std::map<std::pair<kernel::pool_id, std::string>, kernel::wall_time> openings; ///< By step.
};

void trainer_client::state::take_sample(const step_request& step, const json& from,
                                        step_progress& progress, step_result& result,
                                        const sample_sink& sink) {
    const auto parsed = parse_sample(from);
    if (!parsed) {
        ++result.rejected.without_versions;
        return;
    }
    if (progress.held.contains(parsed->slot)) {
        ++result.rejected.duplicates;
        return;
    }
    // Not held, so the daemon runs the slot again instead of losing it.
    if (staleness(*parsed, newest(step)) > step.staleness_bound) {
        ++result.rejected.stale;
        return;
    }
    sink(*parsed);
    progress.held.emplace(parsed->slot, true);
    ++result.delivered;
}

std::optional<bool> trainer_client::state::take(const step_request& step, const json& answer,
                                                step_progress& progress, step_result& result,
                                                const sample_sink& sink) {
    const auto epoch = internal::unsigned_member(answer, "epoch");
    if (!epoch || !answer.contains("samples") || !answer["samples"].is_array()) {
        return std::nullopt;
    }
    if (*epoch < progress.epoch) {
        // From a daemon that was paused or cut off and does not know yet that another took over.
        // Its samples may differ from those of the new owner, which counts them as not delivered.
        result.rejected.older_epoch += answer["samples"].size();
        return false;
    }
    progress.epoch = *epoch;
    for (const auto& from : answer["samples"]) {
        take_sample(step, from, progress, result, sink);
    }
    if (const auto failed = answer.find("failed"); failed != answer.end() && failed->is_array()) {
        for (const auto& each : *failed) {
            const auto slot = internal::unsigned_member(each, "slot");
            if (slot && progress.held.emplace(*slot, false).second) {
                ++result.failed;
            }
        }
    }
    const auto complete = answer.find("complete");
    return complete != answer.end() && complete->is_boolean() && complete->get<bool>();
}

trainer_client::trainer_client(client_options options)
    : state_(std::make_unique<state>(std::move(options))) {}

trainer_client::~trainer_client() = default;

answered<void> trainer_client::open(const step_request& step) {
    auto body = internal::dump(open_json(step, state_->deadline_of(step)));
    if (!body) {
        return internal::malformed("a prompt is not UTF-8");
    }
    auto& link = state_->link;
    const auto got = link.send(json_request("POST", steps_path(step), *std::move(body)),
                               link.now() + step.deadline, control_rules);
    if (!got.has_value()) {
        return got.error();
    }
    return boost::outcome_v2::success();
}

answered<step_result> trainer_client::pull(const step_request& step, step_progress& progress,
                                           const sample_sink& sink) {
    auto& link = state_->link;
    const auto path = steps_path(step) + "/" + step.step + "/pull";
    const auto deadline = link.now() + step.deadline;
    step_result result;
    std::int64_t order = 0;
    while (link.now() < deadline) {
        // Grows with each pull, also over a restart, so that a pull that was held up on its way is
        // not taken for a newer one.
        order = std::max(order + 1, link.wall_now().unix_ms * orders_per_ms);
        auto body = internal::dump(pull_json(step, progress, order));
        const auto got =
            link.send(json_request("POST", path, body.value_or("")), deadline, pull_rules);
        if (!got.has_value() && got.error().reason == kernel::refusal_reason::no_such_step) {
            // Its owner died before the step was stored: opened again it is the same step, and what
            // other hosts hold of it is collected.
            if (auto opened = open(step); !opened.has_value()) {
                return opened.error();
            }
            continue;
        }
        if (!got.has_value()) {
            return got.error();
        }
        const auto before = progress.held.size();
        const auto answer = json::parse(got.value().response.body, nullptr, false);
        const auto complete = state_->take(step, answer, progress, result, sink);
        if (complete.value_or(false)) {
            return result;
        }
        if (progress.held.size() == before) {
            link.wait(empty_pull_pause);
        }
    }
    return kernel::refusal{.reason = kernel::refusal_reason::deadline_passed,
                           .state = kernel::run_state::unknown,
                           .retry_after = {},
                           .detail = "the step is not complete"};
}

answered<void> trainer_client::announce(const kernel::pool_id& pool, std::uint64_t version) {
    auto& link = state_->link;
    {
        const std::lock_guard lock(state_->versions_lock);
        auto& newest = state_->versions[pool];
        newest = std::max(newest, version);
    }
    const auto body = json{{"version", version}}.dump();
    const auto got = link.send(json_request("POST", "/v1/pools/" + pool.str() + "/versions", body),
                               link.now() + std::chrono::minutes{1}, control_rules);
    if (!got.has_value()) {
        return got.error();
    }
    return boost::outcome_v2::success();
}

answered<void> trainer_client::close(const step_request& step) {
    auto& link = state_->link;
    const auto body = json{{"trainer", step.trainer.str()}, {"held", json::array()}}.dump();
    const auto got = link.send(json_request("DELETE", steps_path(step) + "/" + step.step, body),
                               link.now() + std::chrono::minutes{1}, control_rules);
    if (!got.has_value()) {
        return got.error();
    }
    return boost::outcome_v2::success();
}

} // namespace cornelloom::client
