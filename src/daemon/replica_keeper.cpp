#include "daemon/replica_keeper.hpp"

namespace cornelloom::daemon {

namespace {

using namespace std::chrono_literals;

// A sample of 32k tokens is some 200 KB; slow links between regions carry it in well under a
// second.
constexpr kernel::duration peer_timeout = 2s;
constexpr int bad_request = 400;
constexpr int ok = 200;

constexpr std::size_t bytes_per_mb = std::size_t{1} << 20U;

} // namespace

replica_keeper::replica_keeper(context& shared, peers& others, tasks& background)
    : shared_(shared), peers_(others), tasks_(background) {
    store_.max_bytes = shared.settings.limits.sample_memory_mb * bytes_per_mb / 2;
}

peer_reply replica_keeper::handle(const std::string& path, const std::string& body) {
    const std::lock_guard lock(mutex_);
    if (path == paths::hold) {
        const auto request = rollout::decode_hold_request(body);
        if (request) {
            return {ok, rollout::encode(rollout::hold(store_, request.value()))};
        }
        return {bad_request, request.error().detail};
    }
    if (path == paths::release) {
        const auto request = rollout::decode_release_request(body);
        if (request) {
            rollout::release(store_, request.value());
            return {ok, {}};
        }
        return {bad_request, request.error().detail};
    }
    const auto request = rollout::decode_collect_request(body);
    if (request) {
        return {ok, rollout::encode(rollout::collect(store_, request.value()))};
    }
    return {bad_request, request.error().detail};
}

void replica_keeper::keep(std::span<const rollout::hold_request> requests) {
    const std::lock_guard lock(mutex_);
    for (const auto& one : requests) {
        static_cast<void>(rollout::hold(store_, one));
    }
}

void replica_keeper::send_hold(const rollout::hold_request& request,
                               const std::weak_ptr<step_runner>& owner) {
    tasks_.run([this, request, owner] {
        const auto slot = request.sample.slot;
        const auto origin = request.sample.body->origin;
        const auto host = peers_.choose_replica(rollout::to_string(request.key));
        std::optional<rollout::hold_answer> answer;
        if (host) {
            const auto reply =
                peers_.call(*host, paths::hold, rollout::encode(request), peer_timeout);
            if (reply && reply.value().status == ok) {
                if (auto decoded = rollout::decode_hold_answer(reply.value().body)) {
                    answer = decoded.value();
                }
            }
        }
        const auto step = owner.lock();
        if (!step) {
            return;
        }
        if (answer && answer->outcome == rollout::hold_outcome::deposed) {
            step->supersede(answer->epoch);
            return;
        }
        const bool held = answer && answer->outcome == rollout::hold_outcome::held;
        step->on_hold_answer(slot, origin, held ? host : std::nullopt, host.has_value());
    });
}

void replica_keeper::send_release(const kernel::host_id& host,
                                  const rollout::release_request& request) {
    tasks_.run([this, host, request] {
        // A lost release costs memory until the step expires, nothing else.
        static_cast<void>(
            peers_.call(host, paths::release, rollout::encode(request), peer_timeout));
    });
}

void replica_keeper::send_collect(const kernel::host_id& host,
                                  const rollout::collect_request& request,
                                  const std::weak_ptr<step_runner>& owner) {
    tasks_.run([this, host, request, owner] {
        auto next = request;
        while (true) {
            const auto answer = ask_for_samples(host, next);
            const auto step = owner.lock();
            if (!step) {
                return;
            }
            step->on_collected(host, answer);
            if (!answer || !answer->next_slot) {
                return;
            }
            next.from_slot = *answer->next_slot;
        }
    });
}

std::optional<rollout::collect_answer>
replica_keeper::ask_for_samples(const kernel::host_id& host,
                                const rollout::collect_request& request) const {
    const auto reply = peers_.call(host, paths::collect, rollout::encode(request), peer_timeout);
    if (!reply || reply.value().status != ok) {
        return std::nullopt;
    }
    auto decoded = rollout::decode_collect_answer(reply.value().body);
    return decoded ? std::optional(std::move(decoded.value())) : std::nullopt;
}

void replica_keeper::tick() {
    const std::lock_guard lock(mutex_);
    rollout::expire(store_, shared_.clock.wall_now());
}

std::size_t replica_keeper::held_bytes() const {
    const std::lock_guard lock(mutex_);
    return store_.bytes;
}

} // namespace cornelloom::daemon
