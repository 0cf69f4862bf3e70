#include "scheduler/operator_config/problem.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace willowrill::operator_config {
namespace {

// Levenshtein distance, computed with a single row of the matrix.
std::size_t edit_distance(std::string_view a, std::string_view b) {
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < a.size(); ++i) {
        std::size_t diagonal = std::exchange(row[0], i + 1);
        for (std::size_t j = 0; j < b.size(); ++j) {
            const std::size_t substitution = diagonal + (a[i] == b[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({row[j + 1] + 1, row[j] + 1, substitution});
        }
    }
    return row.back();
}

} // namespace

std::string Problem::text() const {
    std::string result = file;
    if (line > 0) result += ":" + std::to_string(line);
    result += ": ";
    if (!key.empty()) result += key + ": ";
    return result + message;
}

std::string closest_match(std::string_view word, const std::vector<std::string_view>& candidates) {
    std::string_view best;
    std::size_t best_distance = std::max<std::size_t>(2, word.size() / 3) + 1;
    for (const std::string_view candidate : candidates) {
        if (const std::size_t distance = edit_distance(word, candidate); distance < best_distance) {
            best_distance = distance;
            best = candidate;
        }
    }
    return std::string(best);
}

} // namespace willowrill::operator_config
