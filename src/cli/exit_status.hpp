#pragma once

namespace cornelloom::cli {

/// What a script learns from a run; docs/OPERATIONS.md lists them.
enum class exit_status {
    done = 0,
    findings = 1,       ///< The files have faults; nothing was applied.
    usage = 2,          ///< The command line itself is wrong.
    conflict = 3,       ///< Another generation is in force than expected; nothing was applied.
    unreachable = 4,    ///< No daemon could be reached; nothing happened.
    refused = 5,        ///< A daemon refused, such as for the token; nothing happened.
    unknown = 6,        ///< Something was sent and no whole answer came; it may have taken effect.
    not_everywhere = 7, ///< Applied, but not in force on all hosts within the time to wait.
    differs = 8,        ///< `diff` found differences.
    not_found = 9,      ///< None of the daemons asked knows the request, or remembers it.
};

} // namespace cornelloom::cli
