// Runs rapidcheck properties as doctest checks. The seed is fixed, so every run checks the same cases.
#pragma once

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <sstream>
#include <string>
#include <utility>

namespace willowrill::testing {

// Checks the property against `case_count` generated cases, whose size grows up to `max_size`. A failure
// prints the seed and the shrunk counterexample.
template <class Property>
void check_property(const std::string& name, int case_count, Property&& property, int max_size = 100) {
    rc::detail::TestParams params;
    params.seed = 20261201;
    params.maxSuccess = case_count;
    params.maxSize = max_size;
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    const auto result = rc::detail::checkTestable(std::forward<Property>(property), metadata, params);
    std::ostringstream message;
    message << name << ", seed " << params.seed << "\n";
    rc::detail::printResultMessage(result, message);
    CHECK_MESSAGE(result.template is<rc::detail::SuccessResult>(), message.str());
}

} // namespace willowrill::testing
