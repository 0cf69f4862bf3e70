// What is wrong with an operators' file, said so that it can be put right without reading the program.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace willowrill::operator_config {

struct Problem {
    std::string file;
    int line = 0;    // from 1; 0: the file as a whole
    std::string key; // the path of the key, such as `mesh.keys[0].file`; empty: the file as a whole
    std::string message;

    std::string text() const; // `FILE:LINE: KEY: WHAT`, one line
};

// The nearest of `known` to a mistyped word, empty where none is near enough to be meant.
std::string nearest(std::string_view word, const std::vector<std::string_view>& known);

} // namespace willowrill::operator_config
