// The operators' command-line tool: checks a configuration file, and queries a running scheduler about its
// fleet.
#include "scheduler/ctl/call.h"
#include "scheduler/log/log.h"
#include "scheduler/operator_config/operator_config.h"

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

// Exit codes. Scripts rely on them.
enum Exit {
    success = 0,
    invalid_file = 1,
    usage_error = 2,
    unreachable = 3,
    bad_response = 4,
    unhealthy_member = 5
};

struct Options {
    std::string file, address = "127.0.0.1:19000", tenant, job_class;
    bool json = false;
};

int check(const Options& options) {
    std::vector<operator_config::Problem> problems;
    try {
        operator_config::read(options.file);
    } catch (const operator_config::OperatorConfigError& error) {
        problems = error.problems();
    }
    if (options.json) {
        // The same messages as in the text format, with file, line and key as separate fields.
        std::cout << "[";
        for (std::size_t i = 0; i < problems.size(); ++i) {
            std::cout << (i > 0 ? ",\n" : "\n") << "{\"file\":" << log::json_quote(problems[i].file)
                      << ",\"line\":" << problems[i].line << ",\"key\":" << log::json_quote(problems[i].key)
                      << ",\"problem\":" << log::json_quote(problems[i].message) << "}";
        }
        std::cout << "]\n";
    } else {
        for (const operator_config::Problem& problem : problems)
            std::cerr << problem.text() << '\n';
        if (problems.empty()) std::cout << options.file << ": good\n";
    }
    return problems.empty() ? success : invalid_file;
}

// Prints rows of texts in aligned columns; columns of numbers are right-aligned. The first row is the header.
class Table {
  public:
    explicit Table(std::vector<std::string> header) : rows_{std::move(header)} {}
    void add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
    void print() const {
        std::vector<std::size_t> widths(rows_[0].size(), 0);
        for (const auto& row : rows_)
            for (std::size_t i = 0; i < row.size(); ++i)
                widths[i] = std::max(widths[i], row[i].size());
        for (const auto& row : rows_) {
            std::string line;
            for (std::size_t i = 0; i < row.size(); ++i) {
                const std::string padding(widths[i] - row[i].size(), ' ');
                const bool is_number = rows_.size() > 1 && !rows_[1][i].empty() &&
                                       rows_[1][i].find_first_not_of("0123456789") == std::string::npos;
                line += (i > 0 ? "  " : "") + (is_number ? padding + row[i] : row[i] + padding);
            }
            line.erase(line.find_last_not_of(' ') + 1);
            std::cout << line << '\n';
        }
    }

  private:
    std::vector<std::vector<std::string>> rows_;
};

// A string or an unsigned integer as text.
std::string field_text(simdjson::dom::element row, const char* key) {
    const simdjson::dom::element value = row[key];
    if (value.is_string()) return std::string(std::string_view(value));
    return std::to_string(std::uint64_t(value));
}

std::string format_seconds(std::uint64_t milliseconds) {
    std::ostringstream stream;
    stream << std::fixed << std::setprecision(1) << static_cast<double>(milliseconds) / 1000 << " s";
    return stream.str();
}

void print_counts(simdjson::dom::element document, const Options& options) {
    std::cout << "seen from " << field_text(document, "instance") << ": " << field_text(document, "instances")
              << " instances, data up to " << format_seconds(document["age_ms"])
              << " old; each true count lies between LOW and HIGH\n";
    Table table({"TENANT", "CLASS", "OUTCOME", "LOW", "ESTIMATE", "HIGH"});
    std::size_t shown = 0;
    for (const simdjson::dom::element row : simdjson::dom::array(document["totals"])) {
        if (!options.tenant.empty() && field_text(row, "tenant") != options.tenant) continue;
        if (!options.job_class.empty() && field_text(row, "class") != options.job_class) continue;
        ++shown;
        table.add({field_text(row, "tenant"), field_text(row, "class"), field_text(row, "outcome"),
                   field_text(row, "low"), field_text(row, "estimate"), field_text(row, "high")});
    }
    if (shown == 0) {
        std::cout << "nothing counted yet" << (options.tenant.empty() ? "" : " for that tenant")
                  << "; at most " << field_text(document, "slack") << " jobs per total\n";
    } else {
        table.print();
    }
}

int print_members(simdjson::dom::element document) {
    Table table({"NAME", "ADDRESS", "STATE", "LIFE"});
    const auto add = [&](simdjson::dom::element member, const char* suffix) {
        table.add({field_text(member, "name") + suffix, field_text(member, "address"),
                   field_text(member, "state"), field_text(member, "life")});
    };
    add(document["self"], " *");
    bool all_healthy = true;
    for (const simdjson::dom::element member : simdjson::dom::array(document["members"])) {
        add(member, "");
        const std::string state = field_text(member, "state");
        all_healthy = all_healthy && (state == "alive" || state == "left");
    }
    table.print();
    return all_healthy ? success : unhealthy_member;
}

int query(const Options& options, const std::string& path) {
    const auto address = net::Endpoint::parse(options.address);
    if (!address) {
        std::cerr << "--address: found '" << options.address << "', expected an IPv4 address and a port\n";
        return usage_error;
    }
    const HttpResponse response = http_get(*address, path);
    if (response.status == 0) {
        std::cerr << response.error << '\n';
        return unreachable;
    }
    if (response.status != 200) {
        std::cerr << options.address << " answered with status " << response.status << ": " << response.body;
        return bad_response;
    }
    if (options.json) {
        std::cout << response.body;
        return success;
    }
    simdjson::dom::parser parser;
    simdjson::dom::element document;
    if (parser.parse(response.body).get(document) != simdjson::SUCCESS) {
        std::cerr << options.address
                  << ": malformed response; is this the admin address (`mgmt`) of a scheduler?\n";
        return bad_response;
    }
    if (path == "/_members") return print_members(document);
    print_counts(document, options);
    return success;
}

int run(int argc, char** argv) {
    Options options;
    CLI::App app("willowrillctl, the command-line tool for operators of willowrill.\n"
                 "Exit codes: 0 success, 1 invalid file, 2 usage error, 3 scheduler unreachable,\n"
                 "            4 error response, 5 an instance is suspect or dead.");
    app.require_subcommand(1);
    const auto add_query_options = [&](CLI::App* command) {
        command->add_option("--address", options.address, "the admin address of a scheduler (its `mgmt`)")
            ->option_text("HOST:PORT [127.0.0.1:19000]");
        command->add_flag("--json", options.json, "print the JSON response of the scheduler");
    };
    CLI::App* check_command = app.add_subcommand("check", "check an operators' file");
    check_command->add_option("file", options.file, "the file to check (YAML)")
        ->required()
        ->option_text("FILE");
    check_command->add_flag("--json", options.json,
                            "print a JSON array of objects: file, line, key, problem");
    CLI::App* counts_command =
        app.add_subcommand("counts", "show job counts by tenant, class and outcome over all instances");
    add_query_options(counts_command);
    counts_command->add_option("--tenant", options.tenant, "only this tenant")->option_text("NAME");
    counts_command->add_option("--class", options.job_class, "only this class")->option_text("NAME");
    CLI::App* members_command =
        app.add_subcommand("members", "show the instances as seen by the queried one (*)");
    add_query_options(members_command);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? success : usage_error;
    }
    if (check_command->parsed()) return check(options);
    return query(options, counts_command->parsed() ? "/_counts" : "/_members");
}

} // namespace
} // namespace willowrill::ctl

int main(int argc, char** argv) {
    try {
        return willowrill::ctl::run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "willowrillctl: " << error.what() << '\n';
        return 4;
    }
}
