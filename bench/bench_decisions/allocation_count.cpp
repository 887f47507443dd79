#include "allocation_count.hpp"

#include <atomic>
#include <cstdlib>
#include <new>

namespace
{
std::atomic<std::uint64_t> allocation_counter{0};
} // namespace

namespace pomelorouter::bench
{

std::uint64_t allocation_count()
{
    return allocation_counter.load(std::memory_order_relaxed);
}

} // namespace pomelorouter::bench

// The array forms of the standard library call these operators, so that allocations of
// arrays are counted too.
void* operator new(std::size_t size)
{
    allocation_counter.fetch_add(1, std::memory_order_relaxed);
    if (void* memory = std::malloc(size == 0 ? 1 : size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}
