#include "system/replication/role.h"

namespace willowrill::replication {

const char* name_of(Role role) {
    switch (role) {
    case Role::loading:
        return "loading";
    case Role::recovering:
        return "recovering";
    case Role::storage_failed:
        return "storage-failed";
    case Role::backup:
        return "backup";
    case Role::pre_voting:
        return "canvassing";
    case Role::preparing:
        return "collecting";
    case Role::fetching:
        return "fetching";
    case Role::installing:
        return "installing";
    case Role::accepting:
        return "accepting";
    case Role::primary:
        return "primary";
    }
    return "unknown";
}

} // namespace willowrill::replication
