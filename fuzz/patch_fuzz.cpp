// Feeds arbitrary bytes to the operators' changes of a configuration, and what is taken to the check of whole
// configurations: nothing crashes, and the same change made twice gives the same text.
#include "system/configuration/configuration.h"
#include "system/configuration/patch.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

namespace {

constexpr std::string_view base =
    R"({"configVersion":2,"routes":[{"name":"a","host":"h","pathPrefix":"/a/","routeClass":"safe",)"
    R"("timeoutMs":9,"service":"s"}],"services":[{"name":"s"},{"name":"t","engine":{"capacity":4}}],)"
    R"("limits":{}})";

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls it by this name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace willowrill::configuration;
    const std::string patch(reinterpret_cast<const char*>(data), size);
    const auto first = apply_patch(base, patch);
    if (!first) return 0;
    const auto again = apply_patch(first.value(), patch);
    const auto parsed = parse(first.value());
    if (!again || !parsed) return 0;
    if (!parse(again.value())) std::abort();
    return 0;
}
