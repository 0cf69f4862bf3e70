#!/usr/bin/env python3
"""What CI's check of packages sees: headers, libraries and tools that a build uses, each reported once its package is off the list."""
import pathlib
import shutil
import subprocess
import sys
import tempfile
import unittest

CHECK = pathlib.Path(__file__).resolve().parents[2] / ".ci" / "check-packages"
PACKAGES = ["g++", "make", "python3"]


def check(packages, build):
    deploy = build / "deploy.toml"
    deploy.write_text(f'run = "exec build/program"\npackages = {packages}\n'.replace("'", '"'))
    return subprocess.run([sys.executable, CHECK, deploy, build], capture_output=True, text=True, check=False)


class CheckPackages(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.build = pathlib.Path(folder.name)
        (self.build / "file.cpp.d").write_text("file.cpp.o: /usr/include/stdio.h\n")
        (self.build / "CMakeCache.txt").write_text("CMAKE_MAKE_PROGRAM:FILEPATH=/usr/bin/make\nOTHER:FILEPATH=OTHER-NOTFOUND\n")
        (self.build / "build.make").write_text("all:\n\tcd /tmp && /usr/bin/c++ -c file.cpp\n\t/usr/bin/python3 generate.py\n")
        shutil.copy("/bin/true", self.build / "program")

    def test_a_list_that_names_all_is_good(self):
        result = check(PACKAGES, self.build)
        self.assertEqual(result.returncode, 0, result.stdout + result.stderr)

    def test_each_package_that_is_taken_off_the_list_is_reported(self):
        for package, used in (("g++", "/usr/bin/c++"), ("make", "/usr/bin/make"), ("python3", "/usr/bin/python3")):
            with self.subTest(package):
                result = check([other for other in PACKAGES if other != package], self.build)
                self.assertEqual(result.returncode, 1)
                self.assertIn(used, result.stdout)

    def test_a_header_of_a_package_off_the_list_is_reported(self):
        (self.build / "build.make").write_text("")
        result = check(["make", "python3"], self.build)
        self.assertEqual(result.returncode, 1)
        self.assertIn("libc6-dev", result.stdout)

    def test_a_build_without_dependency_files_is_an_error(self):
        (self.build / "file.cpp.d").unlink()
        self.assertNotEqual(check(PACKAGES, self.build).returncode, 0)


if __name__ == "__main__":
    unittest.main()
