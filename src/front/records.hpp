#pragma once

#include "front/batch.hpp"
#include "kernel/result.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

/// JSON encoding of the objects that the system keeps in the platform's store.
namespace cornelloom::front {

[[nodiscard]] std::string encode_header(const batch_header& header);
[[nodiscard]] kernel::result<batch_header> decode_header(std::string_view id,
                                                         const nlohmann::json& value);

[[nodiscard]] std::string encode_entry(const log_entry& entry);
[[nodiscard]] kernel::result<log_entry> decode_entry(const nlohmann::json& value);

[[nodiscard]] std::string encode_host(const host_entry& host);
[[nodiscard]] kernel::result<host_entry> decode_host(std::string_view name,
                                                     const nlohmann::json& value);

/// The lease of the host that acts for all hosts, as it is stored.
struct lease_record {
    std::string holder;
    std::uint64_t renewal = 0; ///< Differs for each renewal, so that each gets a new revision.
    double loads_at_once = 0;  ///< Parallel weight loads that the holder found the source to
                               ///< sustain.
};

[[nodiscard]] std::string encode_lease(const lease_record& lease);
[[nodiscard]] kernel::result<lease_record> decode_lease(const nlohmann::json& value);

/// Splits a submission into JSON strings that each fit into one object of the store.
[[nodiscard]] std::vector<std::string> split_submission(std::string_view text,
                                                        std::size_t max_object_bytes);

/// Name of the object with this number. Numbers have six digits, so that names sort numerically.
[[nodiscard]] std::string numbered_name(std::string_view batch, std::uint64_t number);

} // namespace cornelloom::front
