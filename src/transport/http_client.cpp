#include "transport/http_client.hpp"

#include "transport/internal/http_exchange.hpp"
#include "transport/internal/http_transaction.hpp"

namespace cornelloom::transport {

kernel::result<http_response> call(const endpoint& to, const http_request& request,
                                   const call_options& options) {
    internal::http_exchange exchange(options);
    return internal::transact(exchange, to, request, nullptr, options, false);
}

kernel::result<http_response> call_streaming(const endpoint& to, const http_request& request,
                                             const line_sink& sink, const call_options& options) {
    internal::http_exchange exchange(options);
    return internal::transact(exchange, to, request, &sink, options, false);
}

} // namespace cornelloom::transport
