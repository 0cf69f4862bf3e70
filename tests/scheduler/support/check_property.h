// rapidcheck under doctest: the same cases in every run, and a failure prints the seed and the shrunk events.
#pragma once

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <sstream>
#include <string>
#include <utility>

namespace willowrill::testing {

template <class Property>
void check_property(const std::string& name, int cases, Property&& property, int size = 100) {
    rc::detail::TestParams params;
    params.seed = 20261201;
    params.maxSuccess = cases;
    params.maxSize = size;
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    const auto result = rc::detail::checkTestable(std::forward<Property>(property), metadata, params);
    std::ostringstream out;
    out << name << ", seed " << params.seed << "\n";
    rc::detail::printResultMessage(result, out);
    CHECK_MESSAGE(result.template is<rc::detail::SuccessResult>(), out.str());
}

} // namespace willowrill::testing
