#include "lab/capacity_command.h"

#include "lab/csv.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <utility>
#include <vector>

namespace willowrill::lab {
namespace {

constexpr double low_percentile = 0.025, high_percentile = 0.975;

struct Point {
    double x = 0, y = 0;
};

struct Line {
    double at_zero = 0, slope = 0;
    double at(double x) const { return at_zero + slope * x; }
};

// Least squares; a level where all points share one x.
Line fit(const std::vector<Point>& points) {
    double x = 0, y = 0, xx = 0, xy = 0;
    for (const Point& point : points) {
        x += point.x;
        y += point.y;
    }
    const auto count = static_cast<double>(points.size());
    x /= count;
    y /= count;
    for (const Point& point : points) {
        xx += (point.x - x) * (point.x - x);
        xy += (point.x - x) * (point.y - y);
    }
    const double slope = xx > 0 ? xy / xx : 0;
    return {y - slope * x, slope};
}

// How fast it grows: the exponent of x between the medians at the least and the greatest x; 1 is linear.
double exponent(const std::vector<Point>& points) {
    const auto [least, most] = std::ranges::minmax(points, {}, &Point::x);
    const auto median_at = [&](double x) {
        std::vector<double> values;
        for (const Point& point : points)
            if (point.x == x) values.push_back(point.y);
        std::ranges::sort(values);
        return values[values.size() / 2];
    };
    const double low = median_at(least.x), high = median_at(most.x);
    if (low <= 0 || high <= 0 || most.x <= least.x) return 0;
    return std::log(high / low) / std::log(most.x / least.x);
}

struct Interval {
    double low = 0, high = 0;
};

struct Estimate {
    Line line;
    Interval slope, value;
};

Interval between_percentiles(std::vector<double> values) {
    std::ranges::sort(values);
    const auto at = [&](double share) {
        return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
    };
    return {at(low_percentile), at(high_percentile)};
}

// Intervals by resampling the points, always with the same seed.
Estimate estimate(const std::vector<Point>& points, double x, std::size_t resamples) {
    std::mt19937_64 random(1);
    std::vector<double> slopes, values;
    for (std::size_t i = 0; i < resamples; ++i) {
        std::vector<Point> some;
        for (std::size_t n = 0; n < points.size(); ++n)
            some.push_back(points[random() % points.size()]);
        const Line line = fit(some);
        slopes.push_back(line.slope);
        values.push_back(line.at(x));
    }
    return {fit(points), between_percentiles(slopes), between_percentiles(values)};
}

enum class Over { schedulers, workers };

// A figure of the table, and what it grows with.
struct Figure {
    std::string title, role, phase, column, unit;
    Over over;
};

const std::vector<Figure>& figures() {
    static const std::vector<Figure> all{
        {"Scheduler, control: messages sent", "real-scheduler", "steady", "messages_per_s", "/s",
         Over::workers},
        {"Scheduler, control: messages sent", "real-scheduler", "steady", "messages_per_s", "/s",
         Over::schedulers},
        {"Scheduler, control: bytes both ways", "real-scheduler", "steady", "bytes_per_s", "B/s",
         Over::workers},
        {"Scheduler, control: bytes both ways", "real-scheduler", "steady", "bytes_per_s", "B/s",
         Over::schedulers},
        {"Scheduler, control: processor time", "real-scheduler", "steady", "cpu_ms_per_s", "ms/s",
         Over::workers},
        {"Scheduler: resident memory", "real-scheduler", "steady", "memory_kb", "kB", Over::workers},
        {"Scheduler, data path: processor time of a job", "real-scheduler", "load", "cpu_us_per_job", "us",
         Over::workers},
        {"One decision of the module", "decision", "steady", "cpu_us_per_job", "us", Over::workers},
        {"Discovery: calls", "discovery", "steady", "messages_per_s", "/s", Over::schedulers},
        {"Discovery: bytes both ways", "discovery", "steady", "bytes_per_s", "B/s", Over::schedulers},
        {"Discovery: processor time of its stand-in", "discovery", "steady", "cpu_ms_per_s", "ms/s",
         Over::schedulers},
        {"Discovery: bytes of the list sent whole", "discovery", "steady", "state_bytes", "B", Over::workers},
        {"Worker: probes", "worker", "steady", "messages_per_s", "/s", Over::schedulers},
        {"Worker: bytes both ways", "worker", "steady", "bytes_per_s", "B/s", Over::schedulers},
        {"A change acts everywhere after", "discovery", "change", "act_ms", "ms", Over::schedulers},
        {"What an outage hid acts everywhere after its end by", "discovery", "outage", "act_ms", "ms",
         Over::schedulers},
        {"Seven in ten restarted: all hold the list after", "discovery", "restart", "act_ms", "ms",
         Over::schedulers},
    };
    return all;
}

// The rows in which the other figure stays as it is in most.
std::vector<Point> points_of(const std::vector<CsvRow>& rows, const Figure& figure) {
    const std::string x = figure.over == Over::workers ? "workers" : "schedulers",
                      held = figure.over == Over::workers ? "schedulers" : "workers";
    std::map<std::string, std::set<std::string>> sizes; // by what is held
    for (const CsvRow& row : rows)
        sizes[row.at(held)].insert(row.at(x));
    const auto most = std::ranges::max_element(sizes, {}, [](const auto& one) { return one.second.size(); });
    std::vector<Point> out;
    for (const CsvRow& row : rows) {
        const std::string& value = row.at(figure.column);
        if (row.at("role") != figure.role || row.at("phase") != figure.phase || value.empty()) continue;
        if (row.at(held) == most->first) out.push_back({std::stod(row.at(x)), std::stod(value)});
    }
    return out;
}

std::string number(double value) {
    char text[32];
    std::snprintf(text, sizeof text, std::abs(value) >= 100 ? "%.0f" : "%.3g", value);
    return text;
}

void write_table(std::ostream& out, const std::vector<CsvRow>& rows, const CapacityOptions& options) {
    out << "| figure | grows with | at zero | slope for each (95% interval) | exponent | at "
        << options.schedulers << " schedulers, " << options.workers << " workers (95%) |\n"
        << "| --- | --- | --- | --- | --- | --- |\n";
    for (const Figure& figure : figures()) {
        const std::vector<Point> points = points_of(rows, figure);
        if (points.size() < 2) continue;
        const bool by_workers = figure.over == Over::workers;
        const double x = static_cast<double>(by_workers ? options.workers : options.schedulers);
        const Estimate found = estimate(points, x, options.resamples);
        out << "| " << figure.title << " | " << (by_workers ? "workers" : "schedulers") << " | "
            << number(found.line.at_zero) << " " << figure.unit << " | " << number(found.line.slope) << " ("
            << number(found.slope.low) << " to " << number(found.slope.high) << ") | "
            << number(exponent(points)) << " | " << number(found.line.at(x)) << " ("
            << number(found.value.low) << " to " << number(found.value.high) << ") " << figure.unit << " |\n";
    }
}

// What hollow schedulers send beside real ones, by size: the check that they stand for them.
void write_check(std::ostream& out, const std::vector<CsvRow>& rows) {
    std::map<std::pair<int, int>, std::pair<Point, Point>> sums; // real and hollow: messages, bytes
    for (const CsvRow& row : rows) {
        if (row.at("phase") != "steady" || row.at("messages_per_s").empty()) continue;
        auto& [real, hollow] = sums[{std::stoi(row.at("schedulers")), std::stoi(row.at("workers"))}];
        Point* const sum = row.at("role") == "real-scheduler"     ? &real
                           : row.at("role") == "hollow-scheduler" ? &hollow
                                                                  : nullptr;
        if (sum == nullptr) continue;
        sum->x += std::stod(row.at("messages_per_s"));
        sum->y += std::stod(row.at("bytes_per_s"));
    }
    out << "\n| schedulers | workers | hollow to real: messages | bytes |\n| --- | --- | --- | --- |\n";
    for (const auto& [size, pair] : sums)
        if (pair.first.x > 0)
            out << "| " << size.first << " | " << size.second << " | " << number(pair.second.x / pair.first.x)
                << " | " << number(pair.second.y / pair.first.y) << " |\n";
}

// One small plot for each figure that grows, points and line.
std::string plot_script(const std::vector<CsvRow>& rows, const std::string& file) {
    const std::vector<std::size_t> shown{2, 5, 7, 8, 14, 16}; // places in `figures`
    std::ostringstream out;
    out << "set terminal svg size 960,620 font 'DejaVu Sans,11' background 'white'\nset output '" << file
        << "'\nset multiplot layout 2,3\nset grid\nunset key\nset yrange [0:*]\n";
    for (const std::size_t place : shown) {
        const Figure& figure = figures()[place];
        const std::vector<Point> points = points_of(rows, figure);
        if (points.empty()) continue;
        const Line line = fit(points);
        out << "$points << E\n";
        for (const Point& point : points)
            out << point.x << ' ' << point.y << '\n';
        out << "E\nset title '" << figure.title << "'\nset xlabel '"
            << (figure.over == Over::workers ? "workers" : "schedulers") << "'\nset ylabel '" << figure.unit
            << "'\nplot $points with points pointtype 7, " << line.at_zero << " + " << line.slope << " * x\n";
    }
    out << "unset multiplot\n";
    return out.str();
}

} // namespace

int run(const CapacityOptions& options) {
    const std::vector<CsvRow> rows = read_csv(options.in);
    if (rows.empty() || !rows.front().contains("cpu_us_per_job")) {
        std::cerr << options.in << " is no result of `willowrill-lab scale`\n";
        return 1;
    }
    std::ofstream table(options.folder + "/capacity.md");
    write_table(table, rows, options);
    write_check(table, rows);
    table.close();
    if (!table) {
        std::cerr << options.folder << "/capacity.md cannot be written\n";
        return 1;
    }
    return draw(plot_script(rows, options.folder + "/capacity.svg")) ? 0 : 1;
}

} // namespace willowrill::lab
