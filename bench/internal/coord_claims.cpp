#include "bench/internal/coord_claims.hpp"

#include "tests/coord/fake_platform.hpp"

#include <chrono>
#include <map>

namespace cornelloom::coord_bench {

namespace {

using namespace std::chrono_literals;

constexpr kernel::duration platform_latency = 5ms;
constexpr kernel::duration target_time = 30ms;
constexpr kernel::duration slice = 1ms;
constexpr std::int64_t epoch_ms = 1'800'000'000'000;

class claims_run {
public:
    explicit claims_run(const claims_load& load) : load_(load) {
        coord::claims_settings settings;
        settings.commit_every = load.commit_every;
        settings.head_limit = load.head_limit;
        shard_ = coord::make_claims(settings);
    }

    claims_report run() {
        send(coord::claims_opened{1});
        double due = 0;
        const double per_slice =
            load_.claims_per_second * std::chrono::duration<double>(slice).count();
        while (now_.time_since_epoch() < load_.span) {
            now_ += slice;
            for (due += per_slice; due >= 1; due -= 1) {
                ask();
            }
            deliver();
            send(coord::claims_tick{});
        }
        report_.ns_per_claim = static_cast<double>(machine_ns_) /
                               static_cast<double>(std::max<std::uint64_t>(report_.claims, 1));
        report_.memory = coord::memory_estimate(shard_);
        report_.takeover_reads = take_over();
        return report_;
    }

private:
    [[nodiscard]] kernel::wall_time wall() const {
        const auto passed =
            std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch());
        return {epoch_ms + passed.count()};
    }

    void ask() {
        const auto request = ++report_.claims;
        asked_[request] = now_;
        send(coord::claim_asked{
            request,
            {kernel::caller_id{"price-sync"}, "2026-12-02/lot-" + std::to_string(request)},
            wall(),
            now_ + 10s});
    }

    void send(const coord::claims_event& event) {
        const auto before = std::chrono::steady_clock::now();
        auto out = coord::step(shard_, event, now_, wall());
        machine_ns_ +=
            static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::nanoseconds>(
                                           std::chrono::steady_clock::now() - before)
                                           .count());
        for (auto& call : out.calls) {
            calls_.emplace(now_ + platform_latency, std::move(call));
        }
        for (const auto& grant : out.grants) {
            report_.added_ms.push_back(
                std::chrono::duration<double, std::milli>(now_ - asked_.at(grant.request)).count());
            runs_.emplace(now_ + target_time, grant.key);
        }
        report_.refused += out.answers.size();
    }

    void deliver() {
        while (!calls_.empty() && calls_.begin()->first <= now_) {
            const auto call = std::move(calls_.begin()->second);
            calls_.erase(calls_.begin());
            if (const auto* put = std::get_if<coord::put_object>(&call.operation)) {
                ++report_.writes;
                report_.written_bytes += put->value.size();
                report_.largest_value =
                    std::max<std::uint64_t>(report_.largest_value, put->value.size());
            } else if (std::holds_alternative<coord::delete_object>(call.operation)) {
                ++report_.writes;
            }
            send(coord::platform_answer{call.token, platform_.apply(call.operation)});
        }
        while (!runs_.empty() && runs_.begin()->first <= now_) {
            const auto key = std::move(runs_.begin()->second);
            runs_.erase(runs_.begin());
            send(coord::claim_ran{key, {200, std::string(load_.outcome_bytes, 'x')}});
        }
    }

    std::uint64_t take_over() {
        auto next = coord::make_claims(shard_.settings);
        std::uint64_t calls = 0;
        auto out = coord::step(next, coord::claims_opened{2}, now_, wall());
        while (!out.opened && !out.calls.empty()) {
            ++calls;
            const auto& call = out.calls.front();
            const coord::platform_answer answer{call.token, platform_.apply(call.operation)};
            out = coord::step(next, answer, now_, wall());
        }
        return calls;
    }

    claims_load load_;
    coord::claims shard_;
    test::fake_platform platform_;
    kernel::time_point now_{};
    std::multimap<kernel::time_point, coord::platform_call> calls_;
    std::multimap<kernel::time_point, coord::claim_key> runs_;
    std::map<std::uint64_t, kernel::time_point> asked_;
    std::uint64_t machine_ns_ = 0;
    claims_report report_;
};

} // namespace

claims_report run_claims(const claims_load& load) {
    return claims_run{load}.run();
}

} // namespace cornelloom::coord_bench
