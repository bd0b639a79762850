#include "kernel/failures.hpp"

#include "kernel/events.hpp"

#include <mutex>

namespace cornelloom::kernel {

namespace {

struct failure_table {
    std::mutex guard;
    std::map<std::string, std::uint64_t, std::less<>> by_task;
};

failure_table& table() {
    static failure_table only;
    return only;
}

void report(std::string_view task, std::string_view problem) {
    {
        auto& failures = table();
        const std::lock_guard lock(failures.guard);
        ++failures.by_task.try_emplace(std::string(task)).first->second;
    }
    log(events::task_failed, {{"task", task}, {"problem", problem}});
}

} // namespace

std::string describe(const std::exception_ptr& error) {
    try {
        std::rethrow_exception(error);
    } catch (const std::exception& problem) {
        return problem.what();
    } catch (...) {
        return "unknown error";
    }
}

void report_failure(std::string_view task, const std::exception_ptr& error) noexcept {
    try {
        report(task, describe(error));
    } catch (...) { // NOLINT(bugprone-empty-catch): no memory for the report
    }
}

void report_end(std::string_view task) noexcept {
    try {
        report(task, "has ended");
    } catch (...) { // NOLINT(bugprone-empty-catch): no memory for the report
    }
}

std::map<std::string, std::uint64_t> failure_counts() {
    auto& failures = table();
    const std::lock_guard lock(failures.guard);
    return {failures.by_task.begin(), failures.by_task.end()};
}

} // namespace cornelloom::kernel
