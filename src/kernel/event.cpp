#include "kernel/event.hpp"

#include <fmt/format.h>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <memory>

namespace cornelloom::kernel {

namespace {

/// Lines that wait for the log's thread: some seconds of a busy host, under 2 MB.
constexpr std::size_t queued_lines = 2048;

std::atomic<log_format> current_format{log_format::text};

spdlog::level::level_enum to_spdlog(event_level level) {
    switch (level) {
    case event_level::debug:
        return spdlog::level::debug;
    case event_level::info:
        return spdlog::level::info;
    case event_level::warning:
        return spdlog::level::warn;
    case event_level::error:
        return spdlog::level::err;
    }
    return spdlog::level::err;
}

std::string quote(std::string_view text) {
    std::string out = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (static_cast<unsigned char>(c) < 0x20) {
            out += fmt::format("\\u{:04x}", static_cast<unsigned>(c));
        } else {
            out += c;
        }
    }
    return out + '"';
}

std::string format_value(const field& item) {
    return std::visit(
        [](const auto& value) -> std::string {
            if constexpr (std::is_same_v<std::decay_t<decltype(value)>, std::string>) {
                return quote(value);
            } else {
                return fmt::format("{}", value);
            }
        },
        item.value);
}

std::string format_text(const event& kind, std::initializer_list<field> fields) {
    auto line = fmt::format("{} {}: {}", kind.number, kind.name, kind.text);
    for (const auto& item : fields) {
        line += fmt::format(" {}={}", item.name, format_value(item));
    }
    return line;
}

std::string format_json(const event& kind, std::initializer_list<field> fields) {
    auto line = fmt::format(R"("event":{},"name":{},"text":{})", kind.number, quote(kind.name),
                            quote(kind.text));
    for (const auto& item : fields) {
        line += fmt::format(",{}:{}", quote(item.name), format_value(item));
    }
    return line;
}

} // namespace

void configure_log(log_format format, event_level least, log_sink sink) {
    current_format = format;
    std::shared_ptr<spdlog::logger> logger;
    if (sink == log_sink::standard_output_async) {
        spdlog::init_thread_pool(queued_lines, 1);
        logger = std::make_shared<spdlog::async_logger>(
            "cornelloom", std::make_shared<spdlog::sinks::stdout_sink_mt>(), spdlog::thread_pool(),
            spdlog::async_overflow_policy::overrun_oldest);
    } else {
        logger = std::make_shared<spdlog::logger>(
            "cornelloom", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    }
    logger->set_pattern(format == log_format::json
                            ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v})"
                            : "%Y-%m-%dT%H:%M:%S.%e %l %v");
    logger->set_level(to_spdlog(least));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

void close_log() {
    spdlog::shutdown();
}

std::size_t lost_lines() {
    const auto pool = spdlog::thread_pool();
    return pool ? pool->overrun_counter() : 0;
}

void log(const event& kind, std::initializer_list<field> fields) {
    const auto level = to_spdlog(kind.level);
    // There is no logger any more once the log is closed.
    if (spdlog::default_logger_raw() == nullptr || !spdlog::should_log(level)) {
        return;
    }
    spdlog::log(level, "{}", format_event(kind, fields, current_format));
}

std::string format_event(const event& kind, std::initializer_list<field> fields,
                         log_format format) {
    return format == log_format::json ? format_json(kind, fields) : format_text(kind, fields);
}

} // namespace cornelloom::kernel
