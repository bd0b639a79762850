/// What the rollout library costs at the stated size: 12 trainers with 512 samples a step, and
/// weight orders for 600 workers. Prints one JSON object a line.

#include "rollout/rollout.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>

using namespace cornelloom;
using namespace cornelloom::rollout;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t trainers = 12;
constexpr std::uint32_t groups = 64;
constexpr std::uint32_t samples_per_group = 8;
constexpr std::uint32_t samples = groups * samples_per_group;
constexpr token_count tokens_per_piece = 16;
constexpr std::uint32_t pieces_per_sample = 32;
constexpr token_count tokens_per_sample = tokens_per_piece * pieces_per_sample;
constexpr std::size_t bytes_per_token = 4;
constexpr std::size_t prompt_bytes = 2048;

/// Nanoseconds of one call, over `count` of them.
template <class Work> double nanoseconds(std::size_t count, const Work& work) {
    const auto start = std::chrono::steady_clock::now();
    work();
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - start;
    return took.count() / static_cast<double>(count);
}

void print(const nlohmann::json& line) {
    std::cout << line.dump() << '\n';
}

step_request request_of(std::size_t trainer) {
    step_request request;
    request.key = {kernel::trainer_id{"trainer-" + std::to_string(trainer)}, step_id{"1"}};
    request.pool = kernel::pool_id{"leaf-models"};
    for (std::uint32_t i = 0; i < groups; ++i) {
        request.groups.push_back({std::string(prompt_bytes, 'p'), samples_per_group});
    }
    request.deadline.unix_ms = 19LL * 60 * 1000;
    request.trainer_version = 5;
    return request;
}

std::vector<attempt_ref> submit_all(step& open) {
    std::vector<attempt_ref> refs;
    for (const auto& item : next_work(open, {}, samples)) {
        refs.push_back({item.slot, item.attempt});
    }
    return refs;
}

void stream_all(step& open, const std::vector<attempt_ref>& refs) {
    const std::string text(tokens_per_piece * bytes_per_token, 't');
    for (std::uint32_t piece = 0; piece < pieces_per_sample; ++piece) {
        for (const auto& ref : refs) {
            on_piece(open, ref, {text, tokens_per_piece, 5, ""}, {});
        }
    }
}

std::vector<step> open_all() {
    std::vector<step> steps;
    steps.reserve(trainers);
    for (std::size_t i = 0; i < trainers; ++i) {
        steps.push_back(open_step(request_of(i), {}, 1, {}, {0}).value());
    }
    return steps;
}

void bench_work(std::vector<step>& steps) {
    constexpr std::size_t all = trainers * samples;
    std::vector<std::vector<attempt_ref>> refs;
    const auto submit = nanoseconds(all, [&] {
        for (auto& open : steps) {
            refs.push_back(submit_all(open));
        }
    });
    const auto piece = nanoseconds(all * pieces_per_sample, [&] {
        for (std::size_t i = 0; i < trainers; ++i) {
            stream_all(steps[i], refs[i]);
        }
    });
    const auto finish = nanoseconds(all, [&] {
        for (std::size_t i = 0; i < trainers; ++i) {
            for (const auto& ref : refs[i]) {
                on_done(steps[i], ref, {});
            }
        }
    });
    print({{"bench", "rollout"},
           {"case", "work"},
           {"ns_per_submit", submit},
           {"ns_per_piece", piece},
           {"ns_per_finish", finish},
           {"memory_bytes_per_step", memory_bytes(steps.front())},
           {"text_bytes_per_step", samples * tokens_per_sample * bytes_per_token}});
}

void bench_pull(std::vector<step>& steps) {
    std::vector<trainer_view> views(trainers);
    std::vector<pull_request> requests;
    for (std::size_t i = 0; i < trainers; ++i) {
        views[i].key = steps[i].request.key;
        views[i].newest = 5;
        requests.push_back(next_pull(views[i], 1));
    }
    std::vector<pull_answer> answers;
    const auto full = nanoseconds(trainers, [&] {
        for (std::size_t i = 0; i < trainers; ++i) {
            answers.push_back(pull(steps[i], requests[i], {}).value());
        }
    });
    std::size_t bytes = 0;
    const auto encoding = nanoseconds(trainers, [&] {
        for (const auto& answer : answers) {
            bytes += encode(answer).size();
        }
    });
    std::size_t committed = 0;
    for (std::size_t i = 0; i < trainers; ++i) {
        committed += commit(views[i], answers[i]).size();
    }
    const auto last = nanoseconds(trainers, [&] {
        for (std::size_t i = 0; i < trainers; ++i) {
            committed += pull(steps[i], next_pull(views[i], 2), {}).value().samples.size();
        }
    });
    print({{"bench", "rollout"},
           {"case", "pull"},
           {"samples", answers.front().samples.size()},
           {"committed", committed},
           {"ns_per_pull_of_all", full},
           {"ns_per_encode_of_all", encoding},
           {"answer_bytes", bytes / trainers},
           {"ns_per_pull_acknowledging_all", last}});
}

void bench_waiting() {
    auto steps = open_all();
    constexpr std::size_t rounds = 1000;
    std::size_t news = 0;
    for (auto& open : steps) {
        (void)submit_all(open);
    }
    const auto news_ns = nanoseconds(rounds * trainers, [&] {
        for (std::size_t i = 0; i < rounds; ++i) {
            news += static_cast<std::size_t>(
                std::ranges::count_if(steps, [](const step& open) { return has_news(open, {}); }));
        }
    });
    const auto time_ns = nanoseconds(rounds * trainers, [&] {
        for (std::size_t i = 0; i < rounds; ++i) {
            std::ranges::for_each(steps, [](step& open) { on_time(open, {}); });
        }
    });
    print({{"bench", "rollout"},
           {"case", "waiting"},
           {"news", news},
           {"ns_per_has_news", news_ns},
           {"ns_per_on_time", time_ns}});
}

void bench_messages() {
    auto open = open_step(request_of(0), {}, 1, {}, {0}).value();
    stream_all(open, {submit_all(open).front()});
    on_done(open, {0, {1, 1}}, {});
    const auto chunks = chunks_of(open.request);
    std::size_t largest = 0;
    std::vector<std::string> digests(chunks.size(), std::string(32, '0'));
    for (const auto& chunk : chunks) {
        largest = std::max(largest, encode(chunk).size());
    }
    const hold_request request{
        open.request.key, 1, {0}, open.tokens, {0, open.slots[0].body, std::nullopt, true}};
    print({{"bench", "rollout"},
           {"case", "messages"},
           {"manifest_bytes", encode(manifest_of(open, digests, {})).size()},
           {"prompt_chunks", chunks.size()},
           {"largest_chunk_bytes", largest},
           {"hold_request_bytes", encode(request).size()},
           {"sample_text_bytes", open.slots[0].body->output.text.size()}});
}

constexpr std::uint32_t zones = 10;
constexpr std::uint32_t workers_per_zone = 60;

struct modelled_engine {
    engine_report report;
    kernel::time_point ready;
    weight_version loads = 0;
};

/// Runs a rollout in modelled time: engines load for `load_seconds` and report every 500 ms with no
/// further lag. Gives modelled seconds and the real cost of a call.
void bench_weights(double store_rate, double floor, double load_seconds) {
    const weight_limits limits{
        .store_bytes_per_second = store_rate, .weight_bytes = 16e9, .serving_floor = floor};
    kernel::time_point now{1h};
    auto steward = make_steward(kernel::pool_id{"leaf-models"}, 1, limits, now);
    std::map<kernel::target_id, modelled_engine> engines;
    for (std::uint32_t i = 0; i < zones * workers_per_zone; ++i) {
        const kernel::target_id id{"engine-" + std::to_string(i)};
        const kernel::zone_id zone{std::to_string(i % zones)};
        engines[id].report = {
            .engine = id, .zone = zone, .version = 1, .role = "", .adapters = {}, .as_of = now};
        on_report(steward, engines[id].report, now);
    }
    announce(steward, 2);
    const auto start = now;
    std::size_t calls = 0;
    double spent = 0;
    while (!progress(steward).done && now - start < 10min) {
        std::vector<engine_order> orders;
        spent += nanoseconds(1, [&] { orders = next_orders(steward, now); });
        ++calls;
        for (const auto& order : orders) {
            auto& engine = engines.at(order.engine);
            engine.report.loading = true;
            engine.ready = now + std::chrono::duration_cast<kernel::duration>(
                                     std::chrono::duration<double>(load_seconds));
        }
        now += 100ms;
        if ((now - start) % 500ms != 0ms) {
            continue;
        }
        for (auto& [id, engine] : engines) {
            if (engine.report.loading && engine.ready <= now) {
                engine.report.loading = false;
                engine.report.version = 2;
            }
            engine.report.as_of = now;
            on_report(steward, engine.report, now);
        }
    }
    const std::vector<std::uint32_t> sizes(zones, workers_per_zone);
    const auto expected = estimate(sizes, limits, {16e9 / load_seconds, 0.1, 0.5});
    print({{"bench", "rollout"},
           {"case", "weights"},
           {"workers", zones * workers_per_zone},
           {"store_bytes_per_second", store_rate},
           {"serving_floor", floor},
           {"load_seconds", load_seconds},
           {"modelled_seconds", std::chrono::duration<double>(now - start).count()},
           {"estimated_seconds", expected.seconds},
           {"waves", expected.waves},
           {"store_rate_needed", expected.store_rate_needed},
           {"ns_per_next_orders", spent / static_cast<double>(calls)}});
}

} // namespace

int main() {
    std::vector<step> steps;
    const auto open = nanoseconds(trainers, [&] { steps = open_all(); });
    print({{"bench", "rollout"}, {"case", "open"}, {"ns_per_open", open}, {"samples", samples}});
    bench_work(steps);
    bench_pull(steps);
    bench_waiting();
    bench_messages();
    for (const double rate : {300e9, 600e9, 1200e9}) {
        bench_weights(rate, 0.75, 3);
    }
    bench_weights(1200e9, 0.9, 3);
    return 0;
}
