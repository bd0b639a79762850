#include "front/log_reader.hpp"

#include "loop/gather.hpp"

namespace cornelloom::front {

loop::task<log_read_status> read_log(loop::io_context& io, std::uint64_t from,
                                     std::size_t concurrency, entry_reader read,
                                     entry_handler handle) {
    for (auto next = from;; next += concurrency) {
        std::vector<loop::task<read_entry_result>> calls;
        calls.reserve(concurrency);
        for (std::uint64_t number = next; number < next + concurrency; ++number) {
            calls.push_back(read(number));
        }
        const auto results = co_await loop::gather(io, std::move(calls));
        for (std::size_t index = 0; index < results.size(); ++index) {
            if (results[index].status != log_read_status::entry) {
                co_return results[index].status;
            }
            handle(next + index, results[index].entry);
        }
    }
}

} // namespace cornelloom::front
