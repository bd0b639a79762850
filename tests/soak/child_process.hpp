#pragma once

#include "loop/task.hpp"
#include "transport/http.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/process/child.hpp>

#include <filesystem>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <sys/resource.h>

namespace cornelloom::soak {

/// A program that a test starts, with its output in files. Is killed when the test ends.
struct child_process {
    explicit child_process(std::string_view name);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void start(const std::string& program, const std::vector<std::string>& arguments);

    /// A file of this process, such as "out", "err" and those that the test writes.
    [[nodiscard]] std::filesystem::path file(std::string_view kind) const;
    void write(std::string_view kind, std::string_view text) const;
    [[nodiscard]] std::string read(std::string_view kind) const;

    void signal(int number) const;

    [[nodiscard]] pid_t id() const { return process.id(); }

    /// The status that wait() gives; nothing while the process runs.
    [[nodiscard]] std::optional<int> status();
    [[nodiscard]] std::optional<int> wait_for_end(loop::milliseconds patience);

    /// Resource limits, such as RLIMIT_NOFILE, that the program starts with.
    std::map<__rlimit_resource, rlimit> limits{};
    std::filesystem::path folder;
    std::string name;
    boost::process::child process{};
    std::optional<int> end{};
};

inline constexpr loop::milliseconds usual_patience{5000};

/// Whether the predicate holds before the patience is over.
[[nodiscard]] bool eventually(const std::function<bool()>& holds,
                              loop::milliseconds patience = usual_patience);

/// The status of the answer to a GET; 0: none.
[[nodiscard]] int get_status(const transport::endpoint& where, std::string_view path);

/// A pipe in place of a file of a process; it is full, and nobody reads it.
struct full_pipe {
    explicit full_pipe(std::filesystem::path where);
    ~full_pipe();
    full_pipe(const full_pipe&) = delete;
    full_pipe& operator=(const full_pipe&) = delete;

    std::filesystem::path file;
    int descriptor = -1;
};

/// Lets that process write no more to files, as if they had reached the limit of their size.
void end_file_growth(pid_t process);

/// Whether that process has run so far that this signal is ignored or handled.
[[nodiscard]] bool survives(pid_t process, int signal);

} // namespace cornelloom::soak
