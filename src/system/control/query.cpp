#include "system/control/query.h"

#include <algorithm>

namespace willowrill::control {

std::string query_parameter(std::string_view target, std::string_view name) {
    const std::size_t question_mark = target.find('?');
    if (question_mark == std::string_view::npos) return {};
    std::string_view rest = target.substr(question_mark + 1);
    while (!rest.empty()) {
        const std::string_view parameter = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), parameter.size() + 1));
        const std::size_t equals = parameter.find('=');
        if (equals != std::string_view::npos && parameter.substr(0, equals) == name)
            return std::string(parameter.substr(equals + 1));
    }
    return {};
}

} // namespace willowrill::control
