#include "decide/memory_room.hpp"

namespace cornelloom::decide {

double expected_memory(const text_size& text) {
    return text.prompt_tokens + text.done_tokens + text.left_tokens / 2;
}

bool has_memory_for(double run_tokens, double used_tokens, double capacity_tokens) {
    return capacity_tokens <= 0 || used_tokens <= 0 || used_tokens + run_tokens <= capacity_tokens;
}

} // namespace cornelloom::decide
