#pragma once

/// All of the configuration library: what operators declare and what a daemon is started with.

#include "config/diff.hpp"
#include "config/file.hpp"
#include "config/load.hpp"
#include "config/model.hpp"
#include "config/schema.hpp"
#include "config/settings.hpp"
