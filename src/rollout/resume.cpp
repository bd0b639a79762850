#include "rollout/resume.hpp"

#include <limits>

namespace cornelloom::rollout {

namespace {

constexpr double impossible = std::numeric_limits<double>::infinity();

double resume_cost(const resume_case& broken, const resume_prices& prices) {
    const auto tokens = static_cast<double>(broken.prompt_tokens + tokens_of(broken.so_far));
    return tokens * prices.prompt_token + tokens / broken.read_tokens_per_second * prices.second;
}

double restart_cost(const resume_case& broken, const resume_prices& prices) {
    const auto prompt = static_cast<double>(broken.prompt_tokens);
    const auto again = static_cast<double>(tokens_of(broken.so_far));
    const auto time =
        prompt / broken.read_tokens_per_second + again / broken.generate_tokens_per_second;
    return prompt * prices.prompt_token + again * prices.generated_token + time * prices.second;
}

double import_cost(const resume_case& broken, const resume_prices& prices) {
    if (!broken.kv || broken.kv->version != broken.engine_version) {
        return impossible;
    }
    const auto bytes = broken.kv->bytes;
    const auto transfer = broken.kv->cross_region ? bytes * prices.cross_region_byte : 0;
    return transfer + bytes / broken.link_bytes_per_second * prices.second;
}

} // namespace

resume_decision decide_resume(const resume_case& broken, const resume_prices& prices) {
    resume_decision made{.choice = resume_choice::restart,
                         .resume_cost = impossible,
                         .import_cost = impossible,
                         .restart_cost = restart_cost(broken, prices)};
    const auto newest_then = broken.newest + broken.versions_until_done;
    if (broken.so_far.empty() || is_stale(broken.so_far, newest_then, broken.bound)) {
        return made;
    }
    made.resume_cost = resume_cost(broken, prices);
    made.import_cost = import_cost(broken, prices);
    if (made.import_cost < made.resume_cost && made.import_cost < made.restart_cost) {
        made.choice = resume_choice::import_kv;
    } else if (made.resume_cost < made.restart_cost) {
        made.choice = resume_choice::resume_text;
    }
    return made;
}

} // namespace cornelloom::rollout
