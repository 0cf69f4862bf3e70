"""Which files the linter looks at since a commit: what changed, and what reads a header that did."""
import json
import subprocess
import tempfile
import unittest
from pathlib import Path

import scripts

lint_files = scripts.load("lint-files")


class Repository(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.root = Path(self.folder.name).resolve()
        self.build = self.root / "build"
        self.git("init", "-q")
        for path in ("src/a.h", "src/a.cpp", "src/b.cpp", "tests/system/t.cpp"):
            self.write(path, "// first\n")
        self.git("add", ".")
        self.git("-c", "user.name=t", "-c", "user.email=t@example.org", "commit", "-qm", "first")
        for source in ("src/a.cpp", "src/b.cpp", "tests/system/t.cpp"):
            reads = " src/a.h" if source == "src/a.cpp" else ""
            self.write(f"build/{source}.o.d", f"{source}.o: {self.root}/{source} \\\n{reads} /usr/include/c++/vector\n".replace(
                " src/a.h", f" {self.root}/src/a.h"))
        self.write("build/compile_commands.json", json.dumps([
            {"directory": str(self.build), "file": str(self.root / source), "command": f"c++ -o {source}.o -c x"}
            for source in ("src/a.cpp", "src/b.cpp", "tests/system/t.cpp")]))

    def tearDown(self):
        self.folder.cleanup()

    def git(self, *arguments):
        subprocess.run(["git", "-C", str(self.root), *arguments], check=True, capture_output=True)

    def write(self, path, text):
        (self.root / path).parent.mkdir(parents=True, exist_ok=True)
        (self.root / path).write_text(text)

    def chosen(self):
        sources = lint_files.compiled(self.build, self.root)
        return sorted(lint_files.to_look_at(sources, lint_files.changed_since("HEAD", self.root), self.root))

    def test_nothing_changed_nothing_to_look_at(self):
        self.assertEqual(self.chosen(), [])

    def test_a_changed_source_is_looked_at(self):
        self.write("src/b.cpp", "// second\n")
        self.assertEqual(self.chosen(), ["src/b.cpp"])

    def test_who_reads_a_changed_header_is_looked_at(self):
        self.write("src/a.h", "// second\n")
        self.assertEqual(self.chosen(), ["src/a.cpp"])

    def test_a_source_of_which_nothing_is_known_is_looked_at(self):
        (self.build / "src/b.cpp.o.d").unlink()
        self.assertEqual(self.chosen(), ["src/b.cpp"])

    def test_all_but_the_passed_over_folder_is_compiled(self):
        self.assertEqual(sorted(lint_files.compiled(self.build, self.root)), ["src/a.cpp", "src/b.cpp"])

    def test_rules_that_change_are_rules_for_all(self):
        self.assertIn(".clang-tidy", lint_files.RULES)


if __name__ == "__main__":
    unittest.main()
