// What heads of workers' responses mean, against a table.
#include "system/data/response_head.h"

#include <criterion/criterion.h>

using namespace willowrill;
using namespace willowrill::data;

Test(response_head, means_what_the_pages_say) {
    struct Case {
        int status;
        const char* id; // null: none
        bool promised;
        ResponseKind on_new, on_kept;
        bool sealed = true;
    };
    using enum ResponseKind;
    const Case cases[] = {
        {200, "0b", false, complete, complete},        {404, "0b", false, complete, complete},
        {500, "0b", false, complete, complete},        {504, "0b", false, complete, complete},
        {503, "0b", true, not_executed, not_executed}, {400, "0b", true, not_executed, not_executed},
        {421, "0b", false, misdirected, misdirected},  {408, "0b", false, unusable, unusable},
        {429, "0b", false, unusable, unusable},        {503, "0b", false, unusable, unusable},
        {503, nullptr, true, not_executed, unusable},  {421, nullptr, false, misdirected, unusable},
        {200, nullptr, false, unusable, unusable},     {200, "ff", false, unusable, earlier},
        {503, "ff", true, unusable, earlier},          {421, "ff", false, unusable, earlier},
        {200, "0b", false, unusable, unusable, false}, {204, "0b", false, unusable, unusable, false},
        {500, "0b", false, complete, complete, false},
    };
    for (const Case& one : cases) {
        http::response_header<> head;
        head.result(static_cast<unsigned>(one.status));
        if (one.id != nullptr) head.set("Attempt-Id", one.id);
        if (one.promised) head.set("Not-Executed", "1");
        if (one.sealed) head.set("Server-Seal", "seal");
        for (const bool reused : {false, true}) {
            const ResponseKind expected = reused ? one.on_kept : one.on_new;
            cr_assert(classify_response(head, {"0b", false, reused, false}) == expected, "%d %s", one.status,
                      one.id == nullptr ? "no id" : one.id);
            const ResponseKind of_stream = classify_response(head, {"0b", true, reused, true});
            if (expected != complete) cr_assert(of_stream == expected);
            if (expected == complete) cr_assert(of_stream == (one.status == 200 ? stream : unusable));
        }
    }
}
