/// Plain services: the caller's request is passed on, and the answer passed back, whole.

#include "targets/target_kind.hpp"

namespace cornelloom::targets {

namespace {

work_result run_service(const transport::endpoint& to, const work& item, const piece_sink&,
                        const transport::call_options& options) {
    transport::http_request request;
    request.method = item.method;
    request.path = item.path;
    request.query = item.query;
    request.headers = item.headers;
    request.body = item.body;
    auto answer = call(to, request, options);
    if (!answer) {
        return {to_ending(answer.error()), {}, answer.error().detail};
    }
    return {ending::whole, std::move(answer.value()), {}};
}

const kernel::registration<target_kind> registered{"service", {.run = run_service}};

} // namespace

} // namespace cornelloom::targets
