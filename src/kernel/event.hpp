#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace cornelloom::kernel {

enum class event_level { debug, info, warning, error };

/// A kind of log line. Every definition stands in a file `src/<library>/events.hpp` and in
/// docs/EVENTS.md; CI compares the two. Number ranges: kernel 1000, decide 2000, coord 3000,
/// rollout 4000, transport 5000, loop 5500, config 6000, daemon 7000, command line 8000, front
/// 9000.
struct event {
    int number;
    std::string_view name;
    event_level level;
    std::string_view text;
};

/// A typed field of a log line. Never a prompt, a sample's body or a key.
struct field {
    std::string_view name;
    std::variant<std::int64_t, double, bool, std::string> value;

    field(std::string_view n, std::int64_t v) : name(n), value(v) {}

    field(std::string_view n, int v) : name(n), value(std::int64_t{v}) {}

    field(std::string_view n, std::uint64_t v) : name(n), value(static_cast<std::int64_t>(v)) {}

    field(std::string_view n, double v) : name(n), value(v) {}

    field(std::string_view n, bool v) : name(n), value(v) {}

    field(std::string_view n, std::string_view v) : name(n), value(std::string(v)) {}

    field(std::string_view n, const std::string& v) : name(n), value(v) {}

    field(std::string_view n, const char* v) : name(n), value(std::string(v)) {}
};

enum class log_format { text, json };

enum class log_sink {
    standard_error,
    /// Written by a thread of its own from a bounded queue: a line never waits for a slow reader.
    /// When the queue is full, the oldest lines are lost; `lost_lines` counts them.
    standard_output_async,
};

/// Sends the log to that sink in this format. Call once, before threads start.
void configure_log(log_format format, event_level least, log_sink sink = log_sink::standard_error);

/// Waits until every queued line is written. Call before the process ends.
void close_log();

/// Lines that a full queue has cost so far.
[[nodiscard]] std::size_t lost_lines();

void log(const event& kind, std::initializer_list<field> fields);

/// The line as it is written, without time; for tests.
[[nodiscard]] std::string format_event(const event& kind, std::initializer_list<field> fields,
                                       log_format format);

} // namespace cornelloom::kernel
