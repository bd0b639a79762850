#pragma once

/// All of the command line library; apps/cornelloom.cpp is a thin main around it.

#include "cli/command_line.hpp"
#include "cli/exit_status.hpp"
#include "cli/output.hpp"
