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

class Folder {
  public:
    Folder() {
        std::string name = "/tmp/willowrill-site-XXXXXX";
        if (::mkdtemp(name.data()) != nullptr) path = name;
    }
    ~Folder() {
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

const std::string digits(64, 'a');

std::string mesh(const std::string& key_file, const std::string& more = "") {
    return "mesh:\n  listen: 127.0.0.1:7946\n  networks: [127.0.0.0/8]\n  keys:\n    - {id: 7, file: " +
           key_file + "}\n" + more;
}

std::vector<Problem> problems_of(const std::string& text) {
    try {
        parse("f.yaml", text);
    } catch (const OperatorConfigError& error) {
        return error.problems();
    }
    return {};
}

TEST_CASE("an empty operators' file turns nothing on") {
    for (const char* text : {"", "# nothing\n", "log:\n  format: text\n"}) {
        const OperatorConfig site = parse("f.yaml", text);
        CHECK_FALSE(site.mesh);
        CHECK_FALSE(site.counts);
        CHECK(site.log.format == LogFormat::text);
    }
}

// An editor or a copy that is under way: what is left may still be YAML, but hardly ever ends with a line.
TEST_CASE("a file that is empty, cut short or none is refused in one line") {
    Folder folder;
    const std::string path = folder.path + "/site.yaml";
    const auto first = [](const std::string& file) -> std::string {
        try {
            read(file);
        } catch (const OperatorConfigError& error) {
            return error.what();
        }
        return "";
    };
    const auto write = [&](const std::string& text) { folder.write("site.yaml", text); };
    CHECK(first(folder.path).find("it is a folder") != std::string::npos);
    CHECK(first("/dev/zero").find("it is no file") != std::string::npos);
    write("");
    CHECK(first(path).find("is empty") != std::string::npos);
    const std::string whole = "log:\n  level: debug\n  format: json\n";
    std::size_t unnoticed = 0;
    for (std::size_t size = 1; size < whole.size(); ++size) {
        write(whole.substr(0, size));
        const std::string error = first(path);
        CHECK(error.find('\n') == std::string::npos);
        unnoticed += error.empty() ? 1 : 0;
    }
    CHECK(unnoticed == 2); // after a whole line, which nothing but the operators' own eyes can tell
    write(std::string(10000, '[') + "\n"); // too deep for the stack
    CHECK_FALSE(first(path).empty());
    write(whole);
    CHECK(first(path).empty());
}

TEST_CASE("a whole file is read") {
    Folder folder;
    const std::string one = folder.write("1.key", digits + "\n"),
                      two = folder.write("2.key", std::string(64, 'B'));
    const OperatorConfig site =
        parse("f.yaml", "instance: a1\nstate_dir: /var/x\nlog: {format: json, level: debug}\n" +
                            mesh(one, "    - {id: 8, file: " + two +
                                          "}\n  seal_with: 8\n  seeds: ['127.0.0.2:7946']\n") +
                            "counts:\n  rate: 50\n  interval: 100ms\n");
    CHECK(site.instance == "a1");
    CHECK(site.log.format == LogFormat::json);
    REQUIRE(site.mesh);
    REQUIRE(site.mesh->keys.size() == 2);
    CHECK(site.mesh->keys[0].id == 8); // the one to seal with comes first
    CHECK(site.mesh->keys[0].secret[0] == 0xbb);
    CHECK(site.mesh->advertise == site.mesh->listen);
    CHECK(site.mesh->seeds.size() == 1);
    CHECK(site.mesh->networks.contains(0x7f000001));
    CHECK_FALSE(site.mesh->networks.contains(0x80000001));
    REQUIRE(site.counts);
    CHECK(site.counts->interval == 100ms);
    CHECK(site.counts->burst == 50);
}

TEST_CASE("each error names its line, its key, what was found and what is allowed") {
    Folder folder;
    const std::string good = folder.write("1.key", digits), open = folder.write("2.key", digits, 0644),
                      short_one = folder.write("3.key", "abcd");
    struct Case {
        std::string text, key, says;
        int line;
    };
    const std::vector<Case> cases{
        {"mesk:\n  listen: x\n", "mesk", "did you mean 'mesh'", 1},
        {"log:\n  format: yaml\n", "log.format", "found 'yaml', allowed: text, json", 2},
        {"log:\n  format: json\n  format: text\n", "log.format", "found twice", 3},
        {"log: [1]\n", "log", "found a list, wanted a mapping", 1},
        {"instance: {a: 1}\n", "instance", "found a mapping", 1},
        {mesh(good, "  probe_period: 1 second\n"), "mesh.probe_period",
         "found '1 second', allowed: a span from 50ms", 6},
        {mesh(good, "  probe_timeout: 900ms\n"), "mesh.probe_timeout", "at most half of probe_period (1s)",
         6},
        {mesh(good, "  indirect: -1\n"), "mesh.indirect", "a whole number from 0 to 10", 6},
        {mesh(good, "  indirect: 99999999999999999999\n"), "mesh.indirect", "a whole number from 0 to 10", 6},
        {mesh(good, "  seal_with: 9\n"), "mesh.seal_with", "allowed: the id of a key above", 6},
        {mesh(good, "    - {id: 7, file: " + good + "}\n"), "mesh.keys[1].id", "found 7 twice", 6},
        {mesh(good, "  networks: [10.0.0.1/8]\n"), "mesh.networks", "found twice", 6},
        {mesh(open), "mesh.keys[0].file", "can be used by others", 5},
        {mesh(short_one), "mesh.keys[0].file", "64 hexadecimal digits", 5},
        {mesh(folder.path + "/none"), "mesh.keys[0].file", "No such file", 5},
        {mesh(folder.path), "mesh.keys[0].file", "not a regular file", 5},
        {mesh(good, "  seeds: [localhost]\n"), "mesh.seeds", "an IPv4 address and a port", 6},
        {"counts:\n  rate: 5\n", "counts", "needs `mesh`", 2},
        {mesh(good, "counts:\n  interval: 1s\n"), "counts.rate", "missing", 7},
        {"mesh:\n  listen: 0.0.0.0:1\n", "mesh.listen", "peers cannot send to", 2},
        {"mesh:\n  listen: 127.0.0.1:0\n", "mesh.advertise", "no port", 2},
        {"a: [1\n", "", "no YAML", 2},
    };
    for (const Case& one : cases) {
        CAPTURE(one.text);
        bool found = false;
        std::string all;
        for (const Problem& problem : problems_of(one.text)) {
            all += problem.text() + "\n";
            found = found || (problem.key == one.key && problem.line == one.line &&
                              problem.message.find(one.says) != std::string::npos);
        }
        CAPTURE(all);
        CHECK(found);
    }
}

TEST_CASE("all problems are told at once, in the order of the file") {
    const auto problems = problems_of("log:\n  format: x\n  levle: info\nstate_di: y\n");
    REQUIRE(problems.size() == 3);
    CHECK(problems[0].line == 2);
    CHECK(problems[1].message.find("'level'") != std::string::npos);
    CHECK(problems[2].text().starts_with("f.yaml:4: state_di: unknown key"));
    CHECK(std::string(OperatorConfigError(problems).what()).find('\n') == std::string::npos);
}

TEST_CASE("the secret itself stands in no message") {
    Folder folder;
    const std::string file = folder.write("1.key", std::string(62, 'c') + "zz");
    for (const Problem& problem : problems_of(mesh(file)))
        CHECK(problem.text().find("cccc") == std::string::npos);
}

TEST_CASE("networks: the edges, and what is a slip") {
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

TEST_CASE("spans are read and written alike") {
    CHECK(to_span("250ms") == 250ms);
    CHECK(to_span("0s") == 0s);
    CHECK_FALSE(to_span("5"));
    CHECK_FALSE(to_span("-5s"));
    CHECK_FALSE(to_span("1.5s"));
    CHECK_FALSE(to_span("9999999999999h"));
    for (const auto span :
         {std::chrono::nanoseconds(1500ms), std::chrono::nanoseconds(2h), std::chrono::nanoseconds(7us)})
        CHECK(to_span(to_text(span)) == span);
}

TEST_CASE("what a reload cannot take over is named") {
    Folder folder;
    const std::string key = folder.write("1.key", digits);
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
