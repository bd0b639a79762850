#pragma once

#include <utility>

namespace cornelloom::kernel {

/// Calls the function at the end of its scope, also if an exception leaves it. The function must
/// not throw.
template <class Function> class finally {
public:
    explicit finally(Function function) : function_(std::move(function)) {}

    ~finally() { function_(); }

    finally(const finally&) = delete;
    finally& operator=(const finally&) = delete;
    finally(finally&&) = delete;
    finally& operator=(finally&&) = delete;

private:
    Function function_;
};

} // namespace cornelloom::kernel
