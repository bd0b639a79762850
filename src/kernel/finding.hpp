#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::kernel {

/// Where a fault in some input is.
struct source_place {
    std::string file;
    std::size_t line = 0; ///< Counted from 1; 0 when the input has no lines.
    std::string path;     ///< JSON pointer inside the file, such as /pools/0/staleness_bound.
};

/// One fault: where, what is wrong, what would be allowed.
struct finding {
    source_place place;
    std::string problem;
    std::string allowed;
};

/// `file:line: path: what is wrong, what is allowed`
[[nodiscard]] std::string to_string(const finding& fault);

/// Collects every fault of an input, so that all are reported together.
class findings {
public:
    void add(source_place place, std::string_view problem, std::string_view allowed);
    void append(std::span<const finding> others);

    [[nodiscard]] bool empty() const { return items_.empty(); }

    [[nodiscard]] std::span<const finding> items() const { return items_; }

private:
    std::vector<finding> items_;
};

} // namespace cornelloom::kernel
