#include "fuzz/platform_inputs.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size)
{
    goldcrestgate::fuzz::run_store_records(
        std::string_view{reinterpret_cast<char const*>(data), size});
    return 0;
}
