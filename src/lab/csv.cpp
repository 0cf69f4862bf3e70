#include "lab/csv.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace willowrill::lab {
namespace {

std::vector<std::string> cells_of(const std::string& line) {
    std::vector<std::string> out;
    std::stringstream parts(line);
    for (std::string cell; std::getline(parts, cell, ',');)
        out.push_back(cell);
    return out;
}

} // namespace

std::vector<CsvRow> read_csv(const std::string& file) {
    std::ifstream in(file);
    std::string line;
    if (!std::getline(in, line)) return {};
    const std::vector<std::string> head = cells_of(line);
    std::vector<CsvRow> rows;
    while (std::getline(in, line)) {
        std::vector<std::string> cells = cells_of(line);
        cells.resize(head.size());
        CsvRow row;
        for (std::size_t i = 0; i < head.size(); ++i)
            row[head[i]] = cells[i];
        rows.push_back(std::move(row));
    }
    return rows;
}

bool draw(const std::string& script) {
    FILE* gnuplot = ::popen("gnuplot", "w");
    if (gnuplot != nullptr) std::fwrite(script.data(), 1, script.size(), gnuplot);
    if (gnuplot != nullptr && ::pclose(gnuplot) == 0) return true;
    std::cerr << "gnuplot has failed; is the package gnuplot-nox installed?\n";
    return false;
}

} // namespace willowrill::lab
