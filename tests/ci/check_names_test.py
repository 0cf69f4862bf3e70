"""What .ci/check-names finds, and what it lets pass, in a small repository."""
import subprocess
import tempfile
import unittest
from pathlib import Path

import scripts

check_names = scripts.load("check-names")


class Repository(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.root = Path(self.folder.name)
        subprocess.run(["git", "init", "-q", str(self.root)], check=True)
        self.write("src/system/a/a.h", "class LeaseTable { void expire_leases(); };\n")
        self.write("tests/system/CMakeLists.txt", "add(a/a_test.cpp)\n")
        self.write("tests/system/a/a_test.cpp", "Test(leases, one_lapses) {}\n")

    def tearDown(self):
        self.folder.cleanup()

    def write(self, path, text):
        (self.root / path).parent.mkdir(parents=True, exist_ok=True)
        (self.root / path).write_text(text)

    def problems(self, check):
        return list(check(self.root))

    def test_a_withdrawn_word_in_an_identifier_is_found_with_its_term(self):
        self.write("src/system/a/b.cpp", "void f() {\n    take_whole(message);\n}\n")
        self.assertEqual(self.problems(check_names.withdrawn_words),
                         ["src/system/a/b.cpp:2: take_whole is withdrawn: apply_snapshot"])

    def test_a_withdrawn_namespace_is_found_where_it_qualifies_a_name(self):
        self.write("src/scheduler/a.cpp", "inventory::List list;\nint upgrade = 0;\n")
        self.assertEqual(self.problems(check_names.withdrawn_words),
                         ["src/scheduler/a.cpp:1: inventory is withdrawn: the namespace of the folder"])

    def test_comments_and_texts_may_use_the_word(self):
        self.write("src/system/a/b.cpp", 'auto x = "take_whole"; // take_whole\nauto y = R"({"lacks_base":1})";\n')
        self.assertEqual(self.problems(check_names.withdrawn_words), [])

    def test_a_longer_identifier_is_another_word(self):
        self.write("src/system/a/b.cpp", "int take_wholesale;\n")
        self.assertEqual(self.problems(check_names.withdrawn_words), [])

    def test_a_page_that_cites_what_is_there_passes(self):
        self.write("docs/page.md", "`src/system/a`, `src/system/a/a.h`, `LeaseTable::expire_leases`, `leases: one_lapses`, `x = y`\n")
        self.assertEqual(self.problems(check_names.stale_citations), [])

    def test_a_cited_name_that_is_not_there_is_found(self):
        self.write("docs/page.md", "one\n`LeaseTable::end_leases` and `leases: none_lapses` in `src/system/b.cpp`\n")
        self.assertEqual(self.problems(check_names.stale_citations),
                         ["docs/page.md:2: `LeaseTable::end_leases`: nothing has that name",
                          "docs/page.md:2: `leases: none_lapses`: nothing has that name",
                          "docs/page.md:2: `src/system/b.cpp`: there is no such file"])

    def test_accounts_of_finished_work_are_passed_over(self):
        self.write("docs/history/page.md", "`LeaseTable::end_leases`\n")
        self.assertEqual(self.problems(check_names.stale_citations), [])

    def test_a_test_file_that_nothing_builds_is_found(self):
        self.write("tests/system/a/c_test.cpp", "")
        self.assertEqual(self.problems(check_names.tests_not_built),
                         ["tests/system/a/c_test.cpp: no CMakeLists.txt builds it"])

    def test_a_listed_outer_name_that_a_text_spells_passes(self):
        self.write(".ci/outer-names", "# keys\nhold_ms\n/-/report\nmesh.listen\nbytes_per_second\n")
        self.write("src/a.cpp", 'auto x = "&hold_ms=";\nauto y = R"({"a": "/-/report"})" "mesh.listen";\nauto z = "bytes_per_"\n  "second";\n')
        self.assertEqual(self.problems(check_names.outer_names_lost), [])

    def test_a_listed_outer_name_that_no_text_spells_is_found(self):
        self.write(".ci/outer-names", "hold\nlease\n")
        self.write("src/a.cpp", 'int hold = 0; // "hold"\nauto x = "hold_ms lease";\n')
        self.assertEqual(self.problems(check_names.outer_names_lost),
                         [".ci/outer-names:1: hold: no text of the code has that name"])

    def test_a_lost_list_of_outer_names_is_found(self):
        self.assertEqual(self.problems(check_names.outer_names_lost), [".ci/outer-names: there is no such file"])


if __name__ == "__main__":
    unittest.main()
