#pragma once

/// Kinds of targets as plug-ins. A program has those kinds whose objects it links.

#include "targets/target_kind.hpp"
