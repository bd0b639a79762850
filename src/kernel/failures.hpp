#pragma once

#include <cstdint>
#include <exception>
#include <map>
#include <string>
#include <string_view>

namespace cornelloom::kernel {

/// What the exception says of itself; "unknown error" if it is no std::exception.
[[nodiscard]] std::string describe(const std::exception_ptr& error);

/// Logs and counts an error that left a task. Does not throw: without memory only the count is
/// kept.
void report_failure(std::string_view task, const std::exception_ptr& error) noexcept;

/// Logs and counts a task that has ended although it is to go on as long as the process.
void report_end(std::string_view task) noexcept;

/// Reported failures since the start, by task.
[[nodiscard]] std::map<std::string, std::uint64_t> failure_counts();

} // namespace cornelloom::kernel
