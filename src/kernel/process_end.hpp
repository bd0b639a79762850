#pragma once

#include "kernel/event.hpp"

#include <initializer_list>
#include <optional>

#include <sys/types.h>

namespace cornelloom::kernel {

/// Writes a log line to that descriptor when the process is ended by a fatal signal or by an error
/// that nothing handles, before it ends as it would otherwise. The line is written directly, since
/// the log may be unusable by then; a descriptor that takes no bytes loses it. The calling thread
/// gets a signal stack of its own, so that the line is written after a stack overflow, too.
void report_fatal_ends(int descriptor, log_format format);

/// Ignores the signals of writes that fail, which end a process: the write returns an error.
void ignore_write_signals();

/// Ends the process without destructors, once the log is written or its reader is too slow. Call
/// when nothing else writes to the log.
[[noreturn]] void end_process(int status);

struct signal_sender {
    pid_t process = 0; ///< 0: the kernel, such as a terminal or a timer.
    uid_t user = 0;
};

/// Records who sends these signals, which have a handler already; it is called as before.
void record_signal_senders(std::initializer_list<int> signals);

/// Who sent that signal last; nothing if it did not arrive or is not recorded.
[[nodiscard]] std::optional<signal_sender> last_sender(int signal);

/// The name of a signal, such as "SIGTERM".
[[nodiscard]] const char* signal_name(int signal);

} // namespace cornelloom::kernel
