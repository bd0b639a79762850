#include "config/internal/json_tree.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <limits>
#include <memory>

namespace cornelloom::config::internal {

namespace {

/// Counts the lines that the parser has consumed.
struct line_counter {
    std::size_t line = 1; ///< Line of the last character taken.
    bool after_feed = false;

    void take(char c) {
        // The feed itself belongs to the line it ends: a number is known to end only once the
        // character after it has been taken, and must still be placed on its own line.
        if (after_feed) {
            ++line;
        }
        after_feed = c == '\n';
    }
};

class counting_iterator {
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    counting_iterator(const char* at, line_counter* lines) : at_(at), lines_(lines) {}

    reference operator*() const { return *at_; }

    counting_iterator& operator++() {
        lines_->take(*at_);
        ++at_;
        return *this;
    }

    counting_iterator operator++(int) {
        auto before = *this;
        ++*this;
        return before;
    }

    bool operator==(const counting_iterator& other) const { return at_ == other.at_; }

private:
    const char* at_;
    line_counter* lines_;
};

json_node node_of(json_kind kind, std::string text = {}) {
    json_node node;
    node.kind = kind;
    node.text = std::move(text);
    return node;
}

/// Builds the tree from the parser's events. The names are those that nlohmann_json calls.
class tree_builder {
public:
    using json = nlohmann::json;

    tree_builder(std::string_view file, const line_counter& lines, kernel::findings& faults)
        : file_(file), lines_(&lines), faults_(&faults) {}

    bool null() { return put(node_of(json_kind::null)); }

    bool boolean(bool value) {
        auto node = node_of(json_kind::boolean);
        node.boolean = value;
        return put(std::move(node));
    }

    bool number_integer(std::int64_t value) { return put_integer(value); }

    bool number_unsigned(std::uint64_t value) {
        constexpr auto most = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        if (value > most) {
            return number_float(static_cast<double>(value), std::to_string(value));
        }
        return put_integer(static_cast<std::int64_t>(value));
    }

    bool number_float(double value, const std::string& written) {
        auto node = node_of(json_kind::number, written);
        node.number = value;
        return put(std::move(node));
    }

    bool string(std::string& value) { return put(node_of(json_kind::text, std::move(value))); }

    bool binary(json::binary_t&) { return false; }

    bool start_object(std::size_t) { return open(json_kind::object); }

    bool start_array(std::size_t) { return open(json_kind::array); }

    bool end_object() { return close(); }

    bool end_array() { return close(); }

    bool key(std::string& name) {
        auto& top = stack_.back();
        top.name.clear();
        const auto* earlier = find_member(*top.node, name);
        if (earlier != nullptr) {
            faults_->add({file_, lines_->line, child_path(path(), name)},
                         fmt::format("stands twice, first in line {}", earlier->line),
                         "each key once");
        }
        top.name = std::move(name);
        return true;
    }

    bool parse_error(std::size_t, const std::string& last, const json::exception& problem) {
        std::string_view what = problem.what();
        // The library's prefix repeats the place in its own words.
        if (const auto at = what.find(": "); at != std::string_view::npos) {
            what.remove_prefix(at + 2);
        }
        const auto overflow = problem.id == number_out_of_range;
        const std::string problem_text =
            overflow ? fmt::format("the number {} is too large", last) : std::string(what);
        faults_->add({file_, lines_->line, path()}, problem_text,
                     overflow ? "numbers that fit in 64 bits" : "JSON in UTF-8");
        return false;
    }

    json_node take_root() { return std::move(root_); }

private:
    static constexpr int number_out_of_range = 406;

    struct frame {
        json_node* node;
        std::string name; ///< Of the member being read.
    };

    bool put_integer(std::int64_t value) {
        auto node = node_of(json_kind::integer, std::to_string(value));
        node.number = static_cast<double>(value);
        node.integer = value;
        return put(std::move(node));
    }

    bool put(json_node value) {
        static_cast<void>(place(std::move(value)));
        return true;
    }

    json_node* place(json_node value) {
        value.line = lines_->line;
        if (stack_.empty()) {
            root_ = std::move(value);
            return &root_;
        }
        auto& top = stack_.back();
        if (top.node->kind == json_kind::array) {
            return &top.node->items.emplace_back(std::move(value));
        }
        return &top.node->members.emplace_back(top.name, std::move(value)).value;
    }

    bool open(json_kind kind) {
        if (stack_.size() == max_depth) {
            faults_->add({file_, lines_->line, path()}, "is nested too deep",
                         fmt::format("at most {} levels", max_depth));
            return false;
        }
        stack_.push_back({place(node_of(kind)), {}});
        return true;
    }

    bool close() {
        stack_.pop_back();
        return true;
    }

    [[nodiscard]] std::string path() const {
        std::string all;
        for (const auto& step : stack_) {
            if (step.node->kind == json_kind::array) {
                const bool at_open_child = &step != &stack_.back();
                const auto count = step.node->items.size();
                all = child_path(all, at_open_child ? count - 1 : count);
            } else if (!step.name.empty()) {
                all = child_path(all, step.name);
            }
        }
        return all;
    }

    std::string file_;
    const line_counter* lines_;
    kernel::findings* faults_;
    json_node root_;
    std::vector<frame> stack_;
};

} // namespace

const json_node* find_member(const json_node& object, std::string_view name) {
    const auto it = std::ranges::find(object.members, name, &json_member::name);
    return it == object.members.end() ? nullptr : &it->value;
}

std::string describe(const json_node& value) {
    constexpr std::size_t shown = 40;
    switch (value.kind) {
    case json_kind::null:
        return "null";
    case json_kind::boolean:
        return value.boolean ? "true" : "false";
    case json_kind::integer:
    case json_kind::number:
        return value.text;
    case json_kind::text:
        return value.text.size() <= shown
                   ? "the text \"" + value.text + "\""
                   : "a text of " + std::to_string(value.text.size()) + " bytes";
    case json_kind::array:
        return "a list";
    case json_kind::object:
        return "an object";
    }
    return "";
}

std::string child_path(std::string_view path, std::string_view name) {
    std::string all(path);
    all += '/';
    for (const char c : name) {
        if (c == '~') {
            all += "~0";
        } else if (c == '/') {
            all += "~1";
        } else {
            all += c;
        }
    }
    return all;
}

std::string child_path(std::string_view path, std::size_t index) {
    return child_path(path, std::to_string(index));
}

std::optional<json_node> parse_json(std::string_view file, std::string_view text,
                                    kernel::findings& faults) {
    line_counter lines;
    tree_builder builder(file, lines, faults);
    const counting_iterator first(std::to_address(text.begin()), &lines);
    const counting_iterator last(std::to_address(text.end()), &lines);
    if (!nlohmann::json::sax_parse(first, last, &builder)) {
        return std::nullopt;
    }
    return builder.take_root();
}

} // namespace cornelloom::config::internal
