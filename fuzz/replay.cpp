// Runs a fuzz target over its corpus, without a fuzzer: the files of the folders named, in order.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <vector>

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls it by this name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

int main(int count, char** arguments) {
    std::vector<std::filesystem::path> files;
    for (int i = 1; i < count; ++i)
        for (const auto& entry : std::filesystem::directory_iterator(arguments[i]))
            files.push_back(entry.path());
    std::ranges::sort(files);
    for (const auto& file : files) {
        std::ifstream in(file, std::ios::binary);
        const std::vector<char> bytes{std::istreambuf_iterator<char>(in), {}};
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    }
    std::cout << files.size() << " inputs replayed\n";
    return files.empty() ? 1 : 0; // a corpus that is missing must not look like a good run
}
