#pragma once

#include "soak/internal/day.hpp"

namespace cornelloom::soak {

/// A caller of plain requests and streams, until the day is over.
loop::task<void> run_caller(day& self);

/// A caller that sends one request again and again, at any host, until `stop`. The request crashes
/// each target that runs it.
loop::task<void> run_crashing_caller(day& self, const bool& stop);

/// A trainer of one model, step after step, until the day is over.
loop::task<void> run_trainer(day& self, std::string model);

/// Reads every accepted step once more from two hosts, as its trainer first read it.
loop::task<void> read_all_again(day& self, deadline until);

/// Whether a lookup is answered by some host before `until`.
loop::task<bool> is_served(day& self, deadline until);

} // namespace cornelloom::soak
