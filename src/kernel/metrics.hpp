#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace cornelloom::kernel {

struct label {
    std::string_view name;
    std::string_view value;
};

/// All counters, gauges and distributions of a process. Thread-safe. A name belongs to one of the
/// three kinds; distributions are of seconds and give a histogram, and p50 and p99 by
/// Boost.Accumulators.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    void count(std::string_view name, std::span<const label> labels = {}, double by = 1);
    void set(std::string_view name, double value, std::span<const label> labels = {});
    void record(std::string_view name, double value, std::span<const label> labels = {});

    /// The value of a counter or gauge, 0 if never touched; for tests and `status`.
    [[nodiscard]] double value(std::string_view name, std::span<const label> labels = {}) const;

    /// Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace cornelloom::kernel
