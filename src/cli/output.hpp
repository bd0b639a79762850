#pragma once

#include <nlohmann/json.hpp>

#include <iosfwd>

namespace cornelloom::cli {

enum class output_format { table, json };

/// Writes a document on one line, or for people: plain members as `name: value`, a list of objects
/// as a table with a column for each member.
void write(std::ostream& out, const nlohmann::json& document, output_format format);

} // namespace cornelloom::cli
