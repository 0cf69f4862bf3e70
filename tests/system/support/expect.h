// Comparing texts. Criterion's own macros keep pointers, which dangle where a text is made in the call.
#pragma once

#include <criterion/criterion.h>

#include <string>

inline void expect_text(const std::string& actual, const std::string& expected,
                        const std::string& where = "") {
    cr_assert(actual == expected, "\"%s\" is not \"%s\" %s", actual.c_str(), expected.c_str(), where.c_str());
}

inline void expect_other_text(const std::string& actual, const std::string& unwanted,
                              const std::string& where = "") {
    cr_assert(actual != unwanted, "\"%s\" %s", actual.c_str(), where.c_str());
}
