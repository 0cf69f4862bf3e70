// For operators: checks their file, and asks a running scheduler for what it knows of the fleet.
#include "scheduler/ctl/call.h"
#include "scheduler/log/log.h"
#include "scheduler/operator_config/site.h"

#include <CLI/CLI.hpp>
#include <simdjson.h>

#include <algorithm>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace willowrill::ctl {
namespace {

// What a script may rely on.
enum Exit { good = 0, bad_file = 1, usage = 2, unreachable = 3, refused = 4, unwell = 5 };

struct Options {
    std::string file, address = "127.0.0.1:19000", tenant, job_class;
    bool json = false;
};

int check(const Options& options) {
    std::vector<operator_config::Problem> problems;
    try {
        operator_config::read(options.file);
    } catch (const operator_config::SiteError& error) {
        problems = error.problems();
    }
    if (options.json) {
        // The same words as in the text form, with the line and key apart.
        std::cout << "[";
        for (std::size_t i = 0; i < problems.size(); ++i) {
            std::cout << (i > 0 ? ",\n" : "\n") << "{\"file\":" << log::json_quote(problems[i].file)
                      << ",\"line\":" << problems[i].line << ",\"key\":" << log::json_quote(problems[i].key)
                      << ",\"problem\":" << log::json_quote(problems[i].what) << "}";
        }
        std::cout << "]\n";
    } else {
        for (const operator_config::Problem& problem : problems)
            std::cerr << problem.text() << '\n';
        if (problems.empty()) std::cout << options.file << ": good\n";
    }
    return problems.empty() ? good : bad_file;
}

// A table of texts, each column as wide as it must be; numbers to the right.
class Table {
  public:
    explicit Table(std::vector<std::string> head) : rows_{std::move(head)} {}
    void add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
    void print() const {
        std::vector<std::size_t> width(rows_[0].size(), 0);
        for (const auto& row : rows_)
            for (std::size_t i = 0; i < row.size(); ++i)
                width[i] = std::max(width[i], row[i].size());
        for (const auto& row : rows_) {
            std::string line;
            for (std::size_t i = 0; i < row.size(); ++i) {
                const std::string space(width[i] - row[i].size(), ' ');
                const bool number = rows_.size() > 1 && !rows_[1][i].empty() &&
                                    rows_[1][i].find_first_not_of("0123456789") == std::string::npos;
                line += (i > 0 ? "  " : "") + (number ? space + row[i] : row[i] + space);
            }
            line.erase(line.find_last_not_of(' ') + 1);
            std::cout << line << '\n';
        }
    }

  private:
    std::vector<std::vector<std::string>> rows_;
};

std::string text(simdjson::dom::element row, const char* key) {
    const simdjson::dom::element value = row[key];
    if (value.is_string()) return std::string(std::string_view(value));
    return std::to_string(std::uint64_t(value));
}

std::string seconds(std::uint64_t milliseconds) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << static_cast<double>(milliseconds) / 1000 << " s";
    return out.str();
}

void print_counts(simdjson::dom::element all, const Options& options) {
    std::cout << "seen from " << text(all, "instance") << ": " << text(all, "instances")
              << " instances, news up to " << seconds(all["age_ms"])
              << " old; the truth lies within low..high\n";
    Table table({"TENANT", "CLASS", "OUTCOME", "LOW", "ESTIMATE", "HIGH"});
    std::size_t shown = 0;
    for (const simdjson::dom::element row : simdjson::dom::array(all["totals"])) {
        if (!options.tenant.empty() && text(row, "tenant") != options.tenant) continue;
        if (!options.job_class.empty() && text(row, "class") != options.job_class) continue;
        ++shown;
        table.add({text(row, "tenant"), text(row, "class"), text(row, "outcome"), text(row, "low"),
                   text(row, "estimate"), text(row, "high")});
    }
    if (shown == 0) {
        std::cout << "nothing counted yet" << (options.tenant.empty() ? "" : " for that tenant")
                  << "; at most " << text(all, "slack") << " each\n";
    } else {
        table.print();
    }
}

int print_members(simdjson::dom::element all) {
    Table table({"NAME", "ADDRESS", "STATE", "LIFE"});
    const auto add = [&](simdjson::dom::element one, const char* note) {
        table.add({text(one, "name") + note, text(one, "address"), text(one, "state"), text(one, "life")});
    };
    add(all["self"], " *");
    bool well = true;
    for (const simdjson::dom::element one : simdjson::dom::array(all["members"])) {
        add(one, "");
        const std::string state = text(one, "state");
        well = well && (state == "alive" || state == "left");
    }
    table.print();
    return well ? good : unwell;
}

int ask(const Options& options, const std::string& path) {
    const auto address = net::Endpoint::parse(options.address);
    if (!address) {
        std::cerr << "--address: found '" << options.address << "', allowed: an IPv4 address and a port\n";
        return usage;
    }
    const Answer answer = get(*address, path);
    if (answer.status == 0) {
        std::cerr << answer.error << '\n';
        return unreachable;
    }
    if (answer.status != 200) {
        std::cerr << options.address << " says " << answer.status << ": " << answer.body;
        return refused;
    }
    if (options.json) {
        std::cout << answer.body;
        return good;
    }
    simdjson::dom::parser parser;
    simdjson::dom::element all;
    if (parser.parse(answer.body).get(all) != simdjson::SUCCESS) {
        std::cerr << options.address
                  << ": an answer that cannot be read; is that a scheduler's operators' address?\n";
        return refused;
    }
    if (path == "/_members") return print_members(all);
    print_counts(all, options);
    return good;
}

int run(int count, char** arguments) {
    Options options;
    CLI::App app("willowrillctl, for the operators of willowrill.\n"
                 "Exit: 0 good, 1 a file with problems, 2 usage, 3 nobody answers, 4 the scheduler says no,\n"
                 "      5 an instance is suspect or dead.");
    app.require_subcommand(1);
    const auto ask_options = [&](CLI::App* command) {
        command->add_option("--address", options.address, "a scheduler's operators' address (its `mgmt`)")
            ->option_text("HOST:PORT [127.0.0.1:19000]");
        command->add_flag("--json", options.json, "the scheduler's own words");
    };
    CLI::App* check_command = app.add_subcommand("check", "say what is wrong with an operators' file");
    check_command->add_option("file", options.file, "the file, YAML")->required()->option_text("FILE");
    check_command->add_flag("--json", options.json, "a list of objects: file, line, key, problem");
    CLI::App* counts = app.add_subcommand("counts", "use by tenant, class and outcome, over all instances");
    ask_options(counts);
    counts->add_option("--tenant", options.tenant, "of this tenant alone")->option_text("NAME");
    counts->add_option("--class", options.job_class, "of this class alone")->option_text("NAME");
    CLI::App* members = app.add_subcommand("members", "the instances, as the one asked sees them (*)");
    ask_options(members);
    try {
        app.parse(count, arguments);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? good : usage;
    }
    if (check_command->parsed()) return check(options);
    return ask(options, counts->parsed() ? "/_counts" : "/_members");
}

} // namespace
} // namespace willowrill::ctl

int main(int count, char** arguments) {
    try {
        return willowrill::ctl::run(count, arguments);
    } catch (const std::exception& error) {
        std::cerr << "willowrillctl: " << error.what() << '\n';
        return 4;
    }
}
