// What a replica is doing at the moment.
#pragma once

namespace willowrill::replication {

enum class Role {
    loading,        // the disk has not been read yet
    recovering,     // the register was lost, and it is not known what was promised
    storage_failed, // the disk refused a record
    backup,
    pre_voting, // asks whether an election would succeed
    preparing,  // phases of an election: collects prepare replies,
    fetching,   // gets the newest state from the member that holds it,
    installing, // gives it to the members of the new in-sync set,
    accepting,  // has the record of the new epoch stored
    primary
};

// The operators' name of a role, for logs.
const char* name_of(Role role);

} // namespace willowrill::replication
