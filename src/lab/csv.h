// Tables of the laboratory as they are read again, and plots of them by gnuplot.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace willowrill::lab {

using CsvRow = std::map<std::string, std::string>; // by column

// A cell that is missing at a row's end is empty. No rows where the file is not there.
std::vector<CsvRow> read_csv(const std::string& file);

// False, with a line on standard error, where gnuplot is missing or turns the script down.
bool draw(const std::string& script);

} // namespace willowrill::lab
