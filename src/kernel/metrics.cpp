#include "kernel/metrics.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

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

struct distribution_cell {
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

prometheus::ClientMetric::Summary to_summary(const distribution_cell& cell) {
    prometheus::ClientMetric::Summary summary;
    summary.sample_count = acc::count(cell.p50);
    summary.sample_sum = acc::sum(cell.p50);
    summary.quantile = {{median, acc::p_square_quantile(cell.p50)},
                        {tail, acc::p_square_quantile(cell.p99)}};
    return summary;
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
    cell.p50(value);
    cell.p99(value);
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
        collect(state_->distributions, MetricType::Summary, all,
                [](auto& metric, const auto& cell) { metric.summary = to_summary(cell); });
    }
    return prometheus::TextSerializer{}.Serialize(all);
}

} // namespace cornelloom::kernel
