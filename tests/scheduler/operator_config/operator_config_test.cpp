#include "scheduler/operator_config/operator_config.h"
#include "scheduler/operator_config/section.h"

#include <doctest/doctest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <string>

namespace willowrill::operator_config {
namespace {

using namespace std::chrono_literals;

class TemporaryFolder {
  public:
    TemporaryFolder() {
        std::string name = "/tmp/willowrill-site-XXXXXX";
        if (::mkdtemp(name.data()) != nullptr) path = name;
    }
    ~TemporaryFolder() {
        for (const std::string& file : files)
            ::unlink(file.c_str());
        ::rmdir(path.c_str());
    }
    std::string write(const std::string& name, const std::string& text, mode_t mode = 0600) {
        files.push_back(path + "/" + name);
        std::ofstream(files.back()) << text;
        ::chmod(files.back().c_str(), mode);
        return files.back();
    }
    std::string path;
    std::vector<std::string> files;
};

const std::string key_digits(64, 'a');

std::string mesh(const std::string& key_file, const std::string& further_lines = "") {
    return "mesh:\n  listen: 127.0.0.1:7946\n  networks: [127.0.0.0/8]\n  keys:\n    - {id: 7, file: " +
           key_file + "}\n" + further_lines;
}

std::vector<Problem> problems_of(const std::string& text) {
    try {
        parse("f.yaml", text);
    } catch (const OperatorConfigError& error) {
        return error.problems();
    }
    return {};
}

TEST_CASE("an empty operators' file enables no feature") {
    for (const char* text : {"", "# nothing\n", "log:\n  format: text\n"}) {
        const OperatorConfig config = parse("f.yaml", text);
        CHECK_FALSE(config.mesh);
        CHECK_FALSE(config.counts);
        CHECK(config.log.format == LogFormat::text);
    }
}

// A file that is read while an editor or a copy is still writing it may be valid YAML, but rarely ends with a
// newline.
TEST_CASE("a path that is no regular file and a file that is empty or truncated are rejected in one line") {
    TemporaryFolder temporary_folder;
    const std::string path = temporary_folder.path + "/site.yaml";
    const auto first_problem = [](const std::string& file) -> std::string {
        try {
            read(file);
        } catch (const OperatorConfigError& error) {
            return error.what();
        }
        return "";
    };
    const auto write = [&](const std::string& text) { temporary_folder.write("site.yaml", text); };
    CHECK(first_problem(temporary_folder.path).find("it is a folder") != std::string::npos);
    CHECK(first_problem("/dev/zero").find("it is no file") != std::string::npos);
    write("");
    CHECK(first_problem(path).find("is empty") != std::string::npos);
    const std::string complete = "log:\n  level: debug\n  format: json\n";
    std::size_t undetected = 0;
    for (std::size_t size = 1; size < complete.size(); ++size) {
        write(complete.substr(0, size));
        const std::string error = first_problem(path);
        CHECK(error.find('\n') == std::string::npos);
        undetected += error.empty() ? 1 : 0;
    }
    CHECK(undetected == 2);                // truncation right after a newline cannot be detected
    write(std::string(10000, '[') + "\n"); // nested too deeply for a recursive parser
    CHECK_FALSE(first_problem(path).empty());
    write(complete);
    CHECK(first_problem(path).empty());
}

TEST_CASE("a complete file is read") {
    TemporaryFolder temporary_folder;
    const std::string first_key = temporary_folder.write("1.key", key_digits + "\n"),
                      second_key = temporary_folder.write("2.key", std::string(64, 'B'));
    const OperatorConfig config =
        parse("f.yaml", "instance: a1\nstate_dir: /var/x\nlog: {format: json, level: debug}\n" +
                            mesh(first_key, "    - {id: 8, file: " + second_key +
                                                "}\n  seal_with: 8\n  seeds: ['127.0.0.2:7946']\n") +
                            "counts:\n  rate: 50\n  interval: 100ms\n");
    CHECK(config.instance == "a1");
    CHECK(config.log.format == LogFormat::json);
    REQUIRE(config.mesh);
    REQUIRE(config.mesh->keys.size() == 2);
    CHECK(config.mesh->keys[0].id == 8); // the key of `seal_with` comes first
    CHECK(config.mesh->keys[0].secret[0] == 0xbb);
    CHECK(config.mesh->advertise == config.mesh->listen);
    CHECK(config.mesh->seeds.size() == 1);
    CHECK(config.mesh->networks.contains(0x7f000001));
    CHECK_FALSE(config.mesh->networks.contains(0x80000001));
    REQUIRE(config.counts);
    CHECK(config.counts->interval == 100ms);
    CHECK(config.counts->burst == 50);
}

TEST_CASE("each error names its line, its key, what was found and what is allowed") {
    TemporaryFolder temporary_folder;
    const std::string valid_key = temporary_folder.write("1.key", key_digits),
                      readable_key = temporary_folder.write("2.key", key_digits, 0644),
                      short_key = temporary_folder.write("3.key", "abcd");
    struct Case {
        std::string text, key, message;
        int line;
    };
    const std::vector<Case> cases{
        {"mesk:\n  listen: x\n", "mesk", "did you mean 'mesh'", 1},
        {"log:\n  format: yaml\n", "log.format", "found 'yaml', allowed: text, json", 2},
        {"log:\n  format: json\n  format: text\n", "log.format", "found twice", 3},
        {"log: [1]\n", "log", "found a list, expected a mapping", 1},
        {"instance: {a: 1}\n", "instance", "found a mapping", 1},
        {mesh(valid_key, "  probe_period: 1 second\n"), "mesh.probe_period",
         "found '1 second', allowed: a duration from 50ms", 6},
        {mesh(valid_key, "  probe_timeout: 900ms\n"), "mesh.probe_timeout",
         "at most half of probe_period (1s)", 6},
        {mesh(valid_key, "  indirect: -1\n"), "mesh.indirect", "a whole number from 0 to 10", 6},
        {mesh(valid_key, "  indirect: 99999999999999999999\n"), "mesh.indirect",
         "a whole number from 0 to 10", 6},
        {mesh(valid_key, "  seal_with: 9\n"), "mesh.seal_with", "allowed: the id of a key above", 6},
        {mesh(valid_key, "    - {id: 7, file: " + valid_key + "}\n"), "mesh.keys[1].id", "found 7 twice", 6},
        {mesh(valid_key, "  networks: [10.0.0.1/8]\n"), "mesh.networks", "found twice", 6},
        {mesh(readable_key), "mesh.keys[0].file", "can be used by others", 5},
        {mesh(short_key), "mesh.keys[0].file", "64 hexadecimal digits", 5},
        {mesh(temporary_folder.path + "/none"), "mesh.keys[0].file", "No such file", 5},
        {mesh(temporary_folder.path), "mesh.keys[0].file", "not a regular file", 5},
        {mesh(valid_key, "  seeds: [localhost]\n"), "mesh.seeds", "an IPv4 address and a port", 6},
        {"counts:\n  rate: 5\n", "counts", "needs `mesh`", 2},
        {mesh(valid_key, "counts:\n  interval: 1s\n"), "counts.rate", "missing", 7},
        {"mesh:\n  listen: 0.0.0.0:1\n", "mesh.listen", "peers cannot send to", 2},
        {"mesh:\n  listen: 127.0.0.1:0\n", "mesh.advertise", "no port", 2},
        {"a: [1\n", "", "invalid YAML", 2},
    };
    for (const Case& test_case : cases) {
        CAPTURE(test_case.text);
        bool found = false;
        std::string all_problems;
        for (const Problem& problem : problems_of(test_case.text)) {
            all_problems += problem.text() + "\n";
            found = found || (problem.key == test_case.key && problem.line == test_case.line &&
                              problem.message.find(test_case.message) != std::string::npos);
        }
        CAPTURE(all_problems);
        CHECK(found);
    }
}

TEST_CASE("all problems are reported at once, in the order of the file") {
    const auto problems = problems_of("log:\n  format: x\n  levle: info\nstate_di: y\n");
    REQUIRE(problems.size() == 3);
    CHECK(problems[0].line == 2);
    CHECK(problems[1].message.find("'level'") != std::string::npos);
    CHECK(problems[2].text().starts_with("f.yaml:4: state_di: unknown key"));
    CHECK(std::string(OperatorConfigError(problems).what()).find('\n') == std::string::npos);
}

TEST_CASE("no message contains the secret") {
    TemporaryFolder temporary_folder;
    const std::string file = temporary_folder.write("1.key", std::string(62, 'c') + "zz");
    for (const Problem& problem : problems_of(mesh(file)))
        CHECK(problem.text().find("cccc") == std::string::npos);
}

TEST_CASE("networks: boundaries and invalid texts") {
    AddressSet set;
    CHECK(set.add("10.1.0.0/16"));
    CHECK(set.add("192.168.0.7"));
    CHECK(set.add("255.255.255.255/32"));
    CHECK_FALSE(set.add("10.1.0.1/16"));
    CHECK_FALSE(set.add("10.1.0.0/33"));
    CHECK_FALSE(set.add("ten"));
    CHECK(set.contains(0x0a010000));
    CHECK(set.contains(0x0a01ffff));
    CHECK_FALSE(set.contains(0x0a020000));
    CHECK_FALSE(set.contains(0x0a00ffff));
    CHECK(set.contains(0xffffffff));
    CHECK_FALSE(set.contains(0xc0a80006));
}

TEST_CASE("formatting a duration and parsing it again gives the same duration") {
    CHECK(parse_duration("250ms") == 250ms);
    CHECK(parse_duration("0s") == 0s);
    CHECK_FALSE(parse_duration("5"));
    CHECK_FALSE(parse_duration("-5s"));
    CHECK_FALSE(parse_duration("1.5s"));
    CHECK_FALSE(parse_duration("9999999999999h"));
    for (const auto duration :
         {std::chrono::nanoseconds(1500ms), std::chrono::nanoseconds(2h), std::chrono::nanoseconds(7us)})
        CHECK(parse_duration(format_duration(duration)) == duration);
}

TEST_CASE("keys that need a restart are named") {
    TemporaryFolder temporary_folder;
    const std::string key = temporary_folder.write("1.key", key_digits);
    const OperatorConfig before = parse("f.yaml", mesh(key, "counts:\n  rate: 5\n"));
    CHECK(keys_requiring_restart(
              before, parse("f.yaml", mesh(key, "  bytes_per_second: 20000\ncounts:\n  rate: 5\n")))
              .empty());
    CHECK(keys_requiring_restart(before, parse("f.yaml", mesh(key, "counts:\n  rate: 6\n"))) ==
          std::vector<std::string>{"counts.rate", "counts.burst"});
    CHECK(keys_requiring_restart(before, parse("f.yaml", "")) == std::vector<std::string>{"mesh", "counts"});
}

} // namespace
} // namespace willowrill::operator_config
