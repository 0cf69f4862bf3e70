// An error in an operators' file, described so that an operator can correct it without reading the source.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace willowrill::operator_config {

struct Problem {
    std::string file;
    int line = 0;        // 1-based; 0 if the problem concerns the file as a whole
    std::string key;     // path of the key, such as `mesh.keys[0].file`; empty for the file as a whole
    std::string message; // what was found and what is allowed

    std::string text() const; // `FILE:LINE: KEY: MESSAGE`, on one line
};

// Returns the candidate with the smallest edit distance to `word`, or an empty string if none is within a
// third of the word's length (at least two edits).
std::string closest_match(std::string_view word, const std::vector<std::string_view>& candidates);

} // namespace willowrill::operator_config
