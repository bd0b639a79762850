#include "kernel/metrics.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <mutex>
#include <vector>

namespace cornelloom::kernel {

namespace {

namespace acc = boost::accumulators;
using quantile_accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum, acc::tag::p_square_quantile>>;
using label_list = std::vector<prometheus::ClientMetric::Label>;

constexpr double median = 0.5;
constexpr double tail = 0.99;

/// Upper bounds of a histogram's buckets, in seconds: from an answer of the platform (4 ms) to the
/// longest wait of a trainer (12 s), close to each other at the latency objectives (0.2 to 0.5 s).
constexpr std::array bucket_bounds{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4,
                                   0.5,   0.75, 1.0,   2.0,  4.0, 8.0, 12.0};

struct distribution_cell {
    std::array<std::uint64_t, bucket_bounds.size()> in_bucket{}; ///< Larger values are in none.
    quantile_accumulator p50{acc::quantile_probability = median};
    quantile_accumulator p99{acc::quantile_probability = tail};
};

label_list copy_labels(std::span<const label> labels) {
    label_list copy;
    for (const auto& item : labels) {
        copy.push_back({std::string(item.name), std::string(item.value)});
    }
    return copy;
}

prometheus::ClientMetric::Histogram to_histogram(const distribution_cell& cell) {
    prometheus::ClientMetric::Histogram out;
    out.sample_count = acc::count(cell.p50);
    out.sample_sum = acc::sum(cell.p50);
    std::uint64_t up_to = 0;
    for (std::size_t at = 0; at < bucket_bounds.size(); ++at) {
        up_to += cell.in_bucket.at(at);
        out.bucket.push_back({up_to, bucket_bounds.at(at)});
    }
    out.bucket.push_back({out.sample_count, std::numeric_limits<double>::infinity()});
    return out;
}

void take_sample(distribution_cell& cell, double value) {
    cell.p50(value);
    cell.p99(value);
    const auto* const bound = std::ranges::lower_bound(bucket_bounds, value);
    if (bound != bucket_bounds.end()) {
        ++cell.in_bucket.at(static_cast<std::size_t>(bound - bucket_bounds.begin()));
    }
}

template <class Cell> using family = std::map<label_list, Cell>;
template <class Cell> using families = std::map<std::string, family<Cell>, std::less<>>;

template <class Cell>
Cell& find_cell(families<Cell>& all, std::string_view name, std::span<const label> labels) {
    auto it = all.find(name);
    if (it == all.end()) {
        it = all.emplace(std::string(name), family<Cell>{}).first;
    }
    return it->second[copy_labels(labels)];
}

/// The quantiles of each distribution, as gauges beside its histogram.
families<double> quantiles_of(const families<distribution_cell>& all) {
    families<double> out;
    for (const auto& [name, cells] : all) {
        for (const auto& [labels, cell] : cells) {
            auto with = labels;
            with.push_back({"quantile", "0.5"});
            out[name + "_quantile"][with] = acc::p_square_quantile(cell.p50);
            with.back().value = "0.99";
            out[name + "_quantile"][with] = acc::p_square_quantile(cell.p99);
        }
    }
    return out;
}

template <class Cell, class Fill>
void collect(const families<Cell>& all, prometheus::MetricType type,
             std::vector<prometheus::MetricFamily>& into, Fill fill) {
    for (const auto& [name, cells] : all) {
        prometheus::MetricFamily out;
        out.name = name;
        out.help = "See docs/METRICS.md";
        out.type = type;
        for (const auto& [labels, cell] : cells) {
            prometheus::ClientMetric metric;
            metric.label = labels;
            fill(metric, cell);
            out.metric.push_back(std::move(metric));
        }
        into.push_back(std::move(out));
    }
}

} // namespace

struct metrics::state {
    mutable std::mutex mutex;
    families<double> counters;
    families<double> gauges;
    families<distribution_cell> distributions;
};

metrics::metrics() : state_(std::make_unique<state>()) {}

metrics::~metrics() = default;

void metrics::count(std::string_view name, std::span<const label> labels, double by) {
    const std::lock_guard lock(state_->mutex);
    find_cell(state_->counters, name, labels) += by;
}

void metrics::set(std::string_view name, double value, std::span<const label> labels) {
    const std::lock_guard lock(state_->mutex);
    find_cell(state_->gauges, name, labels) = value;
}

void metrics::record(std::string_view name, double value, std::span<const label> labels) {
    const std::lock_guard lock(state_->mutex);
    auto& cell = find_cell(state_->distributions, name, labels);
    take_sample(cell, value);
}

double metrics::value(std::string_view name, std::span<const label> labels) const {
    const std::lock_guard lock(state_->mutex);
    const auto wanted = copy_labels(labels);
    for (const auto* all : {&state_->counters, &state_->gauges}) {
        const auto it = all->find(name);
        if (it == all->end()) {
            continue;
        }
        const auto cell = it->second.find(wanted);
        return cell == it->second.end() ? 0 : cell->second;
    }
    return 0;
}

std::string metrics::text() const {
    std::vector<prometheus::MetricFamily> all;
    {
        const std::lock_guard lock(state_->mutex);
        using prometheus::MetricType;
        collect(state_->counters, MetricType::Counter, all,
                [](auto& metric, double cell) { metric.counter.value = cell; });
        collect(state_->gauges, MetricType::Gauge, all,
                [](auto& metric, double cell) { metric.gauge.value = cell; });
        collect(state_->distributions, MetricType::Histogram, all,
                [](auto& metric, const auto& cell) { metric.histogram = to_histogram(cell); });
        collect(quantiles_of(state_->distributions), MetricType::Gauge, all,
                [](auto& metric, double cell) { metric.gauge.value = cell; });
    }
    return prometheus::TextSerializer{}.Serialize(all);
}

} // namespace cornelloom::kernel
