#include "standins/internal/engine_model.hpp"

#include "kernel/hash.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <ranges>
#include <sstream>

namespace cornelloom::standins {

struct sequence {
    generate_order order;
    int length = 0;      ///< Tokens of the whole text.
    int generated = 0;   ///< Tokens given, those of `so_far` included.
    double progress = 0; ///< Fractions of a token.
    double prefill_left = 0;
    double slowdown = 1;
    bool over = false;
    bool cancelled = false;
    std::deque<piece> pieces;
};

namespace {

constexpr auto tick = std::chrono::milliseconds{5};
constexpr std::size_t prefix_length = 64;
constexpr std::size_t kept_reports = 4096;
constexpr std::size_t kept_events = 512;
constexpr double straggler_slowdown = 10;

std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::string word(const std::string& prompt, std::uint64_t seed, int position) {
    constexpr std::uint64_t words = 10'000;
    const auto mixed = kernel::hash64(prompt, seed * words + static_cast<std::uint64_t>(position));
    return "w" + std::to_string(mixed % words) + " ";
}

// Between half and all of what was asked for, the same on every engine.
int text_length(const std::string& prompt, std::uint64_t seed, int max_tokens) {
    const int least = std::max(1, max_tokens / 2);
    const auto spread =
        static_cast<std::uint64_t>(max_tokens) - static_cast<std::uint64_t>(least) + 1;
    return least + static_cast<int>(kernel::hash64(prompt, seed ^ 0x5eedU) % spread);
}

int count_words(const std::string& text) {
    std::istringstream in(text);
    int count = 0;
    for (std::string one; in >> one;) {
        ++count;
    }
    return count;
}

} // namespace

std::string expected_text(const std::string& prompt, std::uint64_t seed, int max_tokens) {
    std::string text;
    for (int i = 0; i < text_length(prompt, seed, max_tokens); ++i) {
        text += word(prompt, seed, i);
    }
    return text;
}

engine_model::engine_model(const engine_settings& settings)
    : settings_(settings), random_(settings.seed), version_(settings.first_version),
      thread_([this] { loop(); }) {}

engine_model::~engine_model() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    thread_.join();
}

std::shared_ptr<sequence> engine_model::start(const generate_order& order) {
    auto one = std::make_shared<sequence>();
    one->order = order;
    one->length = text_length(order.prompt, order.seed, order.max_tokens);
    one->generated = count_words(order.so_far);
    const std::lock_guard lock(mutex_);
    std::bernoulli_distribution straggles(settings_.straggler_share);
    one->slowdown = straggles(random_) ? straggler_slowdown : 1;
    ++paid_.requests;
    queued_.push_back(one);
    return one;
}

bool engine_model::next_piece(sequence& of, piece& into) {
    std::unique_lock lock(mutex_);
    constexpr auto longest_wait = std::chrono::milliseconds{100};
    changed_.wait_for(lock, longest_wait, [&] { return !of.pieces.empty() || of.over; });
    if (of.pieces.empty()) {
        into = {};
        into.done = of.over;
        return of.over;
    }
    into = std::move(of.pieces.front());
    of.pieces.pop_front();
    return true;
}

std::int64_t engine_model::cancel(const std::string& request_id) {
    const std::lock_guard lock(mutex_);
    for (auto* list : {&running_, &queued_}) {
        const auto it = std::ranges::find_if(
            *list, [&](const auto& one) { return one->order.request_id == request_id; });
        if (it == list->end()) {
            continue;
        }
        (*it)->cancelled = true;
        (*it)->over = true;
        const auto tokens = (*it)->generated;
        paid_.cancelled_tokens += tokens;
        list->erase(it);
        changed_.notify_all();
        return tokens;
    }
    return -1;
}

engine_model::order_outcome engine_model::load_version(std::int64_t version, std::int64_t fence) {
    const std::lock_guard lock(mutex_);
    if (settings_.checks_fence && fence < highest_fence_) {
        return {false, highest_fence_};
    }
    highest_fence_ = std::max(highest_fence_, fence);
    loading_version_ = version;
    load_done_ms_ = now_ms() + settings_.load_ms;
    return {true, highest_fence_};
}

load_report engine_model::report() const {
    const std::lock_guard lock(mutex_);
    const auto wanted = now_ms() - settings_.report_lag_ms;
    const auto it = std::ranges::find_if(reports_ | std::views::reverse,
                                         [&](const auto& one) { return one.at_ms <= wanted; });
    return it == std::ranges::rend(reports_) ? load_report{now_ms(), version_, 0, 0, false} : *it;
}

std::vector<cache_event> engine_model::cache_events_after(std::int64_t id) const {
    const std::lock_guard lock(mutex_);
    std::vector<cache_event> found;
    std::ranges::copy_if(events_, std::back_inserter(found),
                         [&](const auto& one) { return one.id > id; });
    return found;
}

engine_model::totals engine_model::paid() const {
    const std::lock_guard lock(mutex_);
    return paid_;
}

void engine_model::loop() {
    auto next = std::chrono::steady_clock::now();
    const double seconds = std::chrono::duration<double>(tick).count();
    while (true) {
        next += tick;
        std::this_thread::sleep_until(next);
        const std::lock_guard lock(mutex_);
        if (stopping_) {
            return;
        }
        finish_load();
        admit_queued();
        for (const auto& one : running_) {
            advance(*one, seconds);
        }
        std::erase_if(running_, [](const auto& one) { return one->over; });
        record_report();
        changed_.notify_all();
    }
}

void engine_model::admit_queued() {
    std::ranges::stable_sort(queued_, std::greater{},
                             [](const auto& one) { return one->order.priority; });
    while (!queued_.empty() && running_.size() < static_cast<std::size_t>(settings_.slots)) {
        auto one = queued_.front();
        queued_.erase(queued_.begin());
        const auto prefix = one->order.prompt.substr(0, prefix_length);
        const bool cached = std::ranges::find(prefixes_, prefix) != prefixes_.end();
        const double prompt_tokens = count_words(one->order.prompt);
        one->prefill_left = cached ? 0 : prompt_tokens / settings_.prefill_per_second;
        remember_prefix(prefix);
        running_.push_back(std::move(one));
    }
}

void engine_model::advance(sequence& one, double seconds) {
    if (one.prefill_left > 0) {
        one.prefill_left -= seconds;
        return;
    }
    one.progress += seconds * settings_.tokens_per_second / (one.slowdown * settings_.slow_factor);
    const int ready = std::min(static_cast<int>(one.progress), one.length - one.generated);
    one.progress -= std::floor(one.progress);
    if (ready > 0) {
        piece next{"", ready, version_, false};
        for (int i = 0; i < ready; ++i) {
            next.text += word(one.order.prompt, one.order.seed, one.generated + i);
        }
        one.generated += ready;
        paid_.tokens += ready;
        one.pieces.push_back(std::move(next));
    }
    one.over = one.generated >= one.length;
}

void engine_model::finish_load() {
    if (loading_version_ == 0 || now_ms() < load_done_ms_) {
        return;
    }
    std::bernoulli_distribution fails(settings_.failed_load_share);
    if (!fails(random_)) {
        version_ = loading_version_;
        // New weights make every cached prefix worthless.
        for (const auto& prefix : prefixes_) {
            events_.push_back({next_event_++, false, prefix});
        }
        prefixes_.clear();
    }
    loading_version_ = 0;
}

void engine_model::remember_prefix(const std::string& prefix) {
    const auto it = std::ranges::find(prefixes_, prefix);
    if (it != prefixes_.end()) {
        prefixes_.splice(prefixes_.begin(), prefixes_, it);
        return;
    }
    prefixes_.push_front(prefix);
    events_.push_back({next_event_++, true, prefix});
    if (prefixes_.size() > static_cast<std::size_t>(settings_.cached_prefixes)) {
        events_.push_back({next_event_++, false, prefixes_.back()});
        prefixes_.pop_back();
    }
    while (events_.size() > kept_events) {
        events_.pop_front();
    }
}

void engine_model::record_report() {
    reports_.push_back({now_ms(), version_, static_cast<int>(running_.size()),
                        static_cast<int>(queued_.size()), loading_version_ != 0});
    if (reports_.size() > kept_reports) {
        reports_.pop_front();
    }
}

} // namespace cornelloom::standins
