// Fields that only a newer program knows are counted, and those that this one sends are not.
#include "system/messages/unknown_fields.h"

#include "fixtures/internal_frames.h"

#include <criterion/criterion.h>

using namespace willowrill;
using nlohmann::json;

namespace {

// Load reports have messages and a codec of their own.
bool is_of_load_reports(const json& document) {
    const auto type = document.at("type").get<std::string>();
    return type.starts_with("subscribe") || type.starts_with("reading") || type == "push";
}

} // namespace

Test(unknown_fields, what_this_program_sends_is_known_to_the_last_field) {
    std::size_t messages = 0;
    for (const auto& [name, frame] : fixtures::internal_frames()) {
        json document = fixtures::document_in(frame);
        if (is_of_load_reports(document)) continue;
        cr_assert_eq(messages::count_unknown_fields(document), 0U, "%s", name.c_str());
        document["added_later"] = 1;
        document["optional"] = true;
        cr_assert_eq(messages::count_unknown_fields(document), 1U, "%s", name.c_str());
        ++messages;
    }
    cr_assert_gt(messages, 30U);
}

Test(unknown_fields, what_is_no_message_of_a_known_type_has_none) {
    for (const json& document :
         {json::array({1}), json{{"type", 7}}, json{{"a", 1}}, json{{"type", "telepathy"}, {"a", 1}}})
        cr_assert_eq(messages::count_unknown_fields(document), 0U);
}
