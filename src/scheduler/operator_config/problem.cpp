#include "scheduler/operator_config/problem.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace willowrill::operator_config {
namespace {

std::size_t distance(std::string_view a, std::string_view b) { // Levenshtein's, one row at a time
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < a.size(); ++i) {
        std::size_t diagonal = std::exchange(row[0], i + 1);
        for (std::size_t j = 0; j < b.size(); ++j) {
            const std::size_t change = diagonal + (a[i] == b[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({row[j + 1] + 1, row[j] + 1, change});
        }
    }
    return row.back();
}

} // namespace

std::string Problem::text() const {
    std::string out = file;
    if (line > 0) out += ":" + std::to_string(line);
    out += ": ";
    if (!key.empty()) out += key + ": ";
    return out + message;
}

std::string nearest(std::string_view word, const std::vector<std::string_view>& known) {
    std::string_view best;
    std::size_t least = std::max<std::size_t>(2, word.size() / 3) + 1;
    for (const std::string_view one : known) {
        if (const std::size_t away = distance(word, one); away < least) {
            least = away;
            best = one;
        }
    }
    return std::string(best);
}

} // namespace willowrill::operator_config
