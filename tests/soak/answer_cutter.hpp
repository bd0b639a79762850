#pragma once

#include "loop/loop.hpp"
#include "transport/http.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace cornelloom::soak {

enum class cut_form { closes, resets };

/// What happens to the next answers to requests of one path.
struct answer_cut {
    std::size_t bytes_passed = 0; ///< Of head and body; then the connection ends.
    int answers = 1;
    cut_form form = cut_form::closes;
};

/// Shared by the relays in front of several targets.
struct answer_cuts {
    std::map<std::string, answer_cut, std::less<>> by_path{};
    int made_on_new = 0;            ///< At the first answer of a connection.
    int made_on_used = 0;           ///< At a later one.
    std::size_t longest_passed = 0; ///< Bytes of the longest answer that was not cut.
    std::string removed{};          ///< Answers that were cut, as far as they were read.
};

using answer_cuts_ptr = std::shared_ptr<answer_cuts>;

/// Passes on to `server` what comes to `where`, and its answers up to their cuts.
void start_cutting(loop::io_context& io, const answer_cuts_ptr& cuts,
                   const transport::endpoint& where, transport::endpoint server);

} // namespace cornelloom::soak
