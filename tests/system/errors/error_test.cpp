// The HTTP answer to each kind of error.
#include "system/errors/error.h"

#include "support/expect.h"

#include <criterion/criterion.h>

using namespace willowrill;

Test(errors, every_kind_has_an_answer_that_tells_whether_the_request_may_have_been_executed) {
    using errors::ErrorKind;
    for (int kind = 0; kind <= static_cast<int>(ErrorKind::bad_settings); ++kind)
        expect_other_text(errors::answer_to(static_cast<ErrorKind>(kind)).reason.data(), "unknown error");
    // The status codes 429, 503, 408 and 421 guarantee that the request was not executed.
    for (const ErrorKind possibly_executed : {ErrorKind::worker_failed, ErrorKind::deadline_passed,
                                              ErrorKind::undecided, ErrorKind::shutting_down}) {
        const unsigned status = errors::answer_to(possibly_executed).status;
        cr_assert(status == 502 || status == 504);
    }
    for (const ErrorKind not_executed : {ErrorKind::overloaded, ErrorKind::deadline_passed_unsent,
                                         ErrorKind::not_ready, ErrorKind::shutting_down_unsent}) {
        cr_assert_eq(errors::answer_to(not_executed).status, 503U);
        cr_assert(errors::answer_to(not_executed).retry_after);
    }
}
