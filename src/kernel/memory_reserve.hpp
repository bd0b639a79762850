#pragma once

#include <cstddef>

namespace cornelloom::kernel {

/// Keeps some memory that is freed when an allocation fails, so that what is in progress can end:
/// Asio starts operations in functions that an exception must not leave, and an allocation that
/// fails there ends the process. Serves small allocations only. Once for a process.
void keep_memory_reserve();

/// Whether most of the reserve is unused; takes memory to fill it up where there is some. True for
/// a process that keeps none.
[[nodiscard]] bool fill_memory_reserve() noexcept;

/// Whether so many bytes can be allocated without use of the reserve.
[[nodiscard]] bool has_memory_for(std::size_t bytes) noexcept;

} // namespace cornelloom::kernel
