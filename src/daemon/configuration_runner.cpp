#include "daemon/configuration_runner.hpp"

#include "config/load.hpp"
#include "daemon/events.hpp"
#include "targets/target_kind.hpp"

#include <algorithm>
#include <condition_variable>
#include <deque>

namespace cornelloom::daemon {

namespace {

using namespace std::chrono_literals;

config::load_options linked_kinds() {
    return {.target_kinds = kernel::plugin_registry<targets::target_kind>::instance().names()};
}

std::vector<config::config_file> to_files(const coord::configuration_set& set) {
    std::vector<config::config_file> files;
    std::ranges::transform(set.files, std::back_inserter(files),
                           [](const auto& one) { return config::config_file{one.path, one.text}; });
    return files;
}

coord::configuration_set to_set(std::span<const config::config_file> files) {
    coord::configuration_set set;
    std::ranges::transform(files, std::back_inserter(set.files), [](const auto& one) {
        return coord::configuration_file{one.path, one.text};
    });
    return set;
}

// Answers of the platform for one apply, handed from the platform's threads to the waiting one.
struct answer_box {
    std::mutex mutex;
    std::condition_variable arrived;
    std::deque<coord::platform_answer> answers;
};

} // namespace

configuration_runner::configuration_runner(context& shared, platform_runner& platform,
                                           tasks& background, peer_fetcher fetch,
                                           std::function<void()> changed)
    : shared_(shared), platform_(platform), background_(background), fetch_(std::move(fetch)),
      changed_(std::move(changed)),
      state_(coord::make_follow(
          {.self = shared.settings.host, .peers_expected = !shared.settings.seeds.empty()},
          shared.clock.now())) {}

void configuration_runner::on_hint(const coord::hint_heard& hint) {
    step(hint);
}

void configuration_runner::set_watch_duty(bool watch) {
    step(coord::watch_duty{watch});
}

void configuration_runner::tick() {
    step(coord::follow_tick{});
}

bool configuration_runner::is_ready() const {
    const std::lock_guard lock(mutex_);
    return coord::is_ready(state_, shared_.clock.now());
}

coord::configuration_hint configuration_runner::own_hint() const {
    const std::lock_guard lock(mutex_);
    return coord::own_hint(state_);
}

std::optional<std::string> configuration_runner::serve(std::string_view digest) const {
    const std::lock_guard lock(mutex_);
    return coord::serve(state_, digest);
}

void configuration_runner::step(const coord::follow_event& event) {
    coord::follow_effects effects;
    {
        const std::lock_guard lock(mutex_);
        effects = coord::step(state_, event, shared_.clock.now());
    }
    for (const auto alarm : effects.alarms) {
        const kernel::label labels[] = {{"alarm", coord::to_string(alarm)}};
        shared_.metrics.count("cornelloom_configuration_alarms_total", labels);
        kernel::log(events::configuration_alarm, {{"alarm", coord::to_string(alarm)}});
    }
    if (effects.now_in_force) {
        put_in_force();
    }
    for (auto& call : effects.calls) {
        platform_.start(std::move(call),
                        [this](const coord::platform_answer& answer) { step(answer); });
    }
    for (const auto& wanted : effects.fetches) {
        // A fetch waits for another host; the thread that brought the hint must not.
        background_.run([this, wanted] {
            step(coord::peer_answer{wanted.token, fetch_(wanted.peer, wanted.digest)});
        });
    }
}

void configuration_runner::put_in_force() {
    const std::lock_guard publishing(publishing_);
    auto next = std::make_shared<active_configuration>();
    std::string body;
    {
        const std::lock_guard lock(mutex_);
        next->generation = state_.in_force.generation;
        next->digest = state_.in_force.set_digest;
        body = state_.body;
    }
    if (next->generation <= shared_.configuration.read()->generation) {
        return;
    }
    const auto set = coord::decode_set(body);
    if (set) {
        next->files = to_files(*set);
    }
    auto declared = config::load_configuration(next->files, linked_kinds());
    if (!set || !declared) {
        // Only a host of another version, or with other plug-ins, can have accepted it. The set in
        // force stays: half a configuration is worse than an old one.
        kernel::log(events::configuration_refused,
                    {{"generation", next->generation},
                     {"first_finding", declared || declared.error().empty()
                                           ? std::string("not a set of files")
                                           : kernel::to_string(declared.error().items().front())}});
        return;
    }
    next->declared = std::move(declared.value());
    kernel::log(events::configuration_in_force,
                {{"generation", next->generation}, {"digest", next->digest}});
    shared_.metrics.set("cornelloom_configuration_generation",
                        static_cast<double>(next->generation));
    shared_.configuration.publish(std::move(next));
    changed_();
}

apply_outcome configuration_runner::apply(const std::string& apply_id, std::uint64_t based_on,
                                          const std::vector<config::config_file>& files) {
    const auto set = to_set(files);
    auto body = coord::encode(set);
    if (!body) {
        return {coord::apply_status::not_applied, 0, {}};
    }
    auto machine = coord::make_apply({}, {apply_id, based_on, own_hint().generation, body.value()},
                                     shared_.clock.now());
    const auto box = std::make_shared<answer_box>();
    coord::apply_event event = coord::apply_tick{};
    while (true) {
        auto effects = coord::step(machine, event, shared_.clock.now());
        for (auto& call : effects.calls) {
            platform_.start(std::move(call), [box](const coord::platform_answer& answer) {
                const std::lock_guard lock(box->mutex);
                box->answers.push_back(answer);
                box->arrived.notify_one();
            });
        }
        if (effects.finished) {
            apply_outcome outcome{effects.finished->status, effects.finished->generation, {}};
            if (outcome.status == coord::apply_status::lost_race) {
                const auto in_force = shared_.configuration.read();
                outcome.generation = effects.finished->current.generation;
                outcome.differs = coord::differences(set, to_set(in_force->files));
            }
            return outcome;
        }
        std::unique_lock lock(box->mutex);
        box->arrived.wait_for(lock, 50ms, [&] { return !box->answers.empty(); });
        event = coord::apply_tick{};
        if (!box->answers.empty()) {
            event = box->answers.front();
            box->answers.pop_front();
        }
    }
}

} // namespace cornelloom::daemon
