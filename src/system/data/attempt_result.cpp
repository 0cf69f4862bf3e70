#include "system/data/attempt_result.h"

namespace willowrill::data {

const char* name_of(AttemptResult result) {
    switch (result) {
    case AttemptResult::answered:
        return "answered";
    case AttemptResult::failure_held:
        return "failure_held";
    case AttemptResult::cancelled:
        return "cancelled";
    case AttemptResult::not_executed:
        return "not_executed";
    case AttemptResult::misdirected:
        return "misdirected";
    case AttemptResult::unreachable:
        return "unreachable";
    case AttemptResult::ineligible:
        return "ineligible";
    case AttemptResult::unused:
        return "unused";
    case AttemptResult::broken:
        return "broken";
    case AttemptResult::broken_midway:
        break;
    }
    return "broken_midway";
}

} // namespace willowrill::data
