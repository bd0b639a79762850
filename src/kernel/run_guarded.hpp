#pragma once

#include "kernel/failures.hpp"

#include <exception>
#include <functional>
#include <string_view>
#include <utility>

namespace cornelloom::kernel {

/// Calls the function; false if an error left it, which is reported under the name of the task.
template <class Function> bool run_guarded(std::string_view task, Function&& function) noexcept {
    try {
        std::invoke(std::forward<Function>(function));
        return true;
    } catch (...) {
        report_failure(task, std::current_exception());
        return false;
    }
}

} // namespace cornelloom::kernel
