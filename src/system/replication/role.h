// The role of a replica.
#pragma once

namespace willowrill::replication {

enum class Role {
    loading,        // the disk has not been read yet
    recovering,     // the register was lost and its promises are unknown
    storage_failed, // the disk failed to store a record
    backup,
    pre_voting, // asks whether an election would succeed, without binding anybody
    preparing,  // election, phase 1: collects prepare replies
    fetching,   // election, phase 2: gets the newest state from its holder
    installing, // election, phase 3: sends it to the new in-sync set
    accepting,  // election, phase 4: has the new epoch's record accepted
    primary
};

// The name of a role in logs.
const char* name_of(Role role);

} // namespace willowrill::replication
