// Tests of leases: expiry, and which renewals are applied.
#include "system/membership/codec.h"
#include "system/membership/lease_table.h"

#include "support/leases.h"

#include <criterion/criterion.h>

using namespace willowrill;
using membership::Lease;
using membership::LeaseTable;
using membership::Phase;
using membership::Source;
using membership::Time;

Test(lease_table, leases_expire_unless_they_are_renewed) {
    LeaseTable table(Time(2000));
    cr_assert(table.renew(Time(0), make_lease("a1", 1, 1), Source::holder));
    cr_assert_not(table.renew(Time(1500), make_lease("a1", 1, 2), Source::holder),
                  "a renewal without other changes leaves the membership unchanged");
    cr_assert_not(table.expire(Time(3500)));
    cr_assert(table.expire(Time(3501)));
    cr_assert_eq(table.size(), 0U);
}

Test(lease_table, a_late_renewal_of_an_earlier_incarnation_is_ignored) {
    LeaseTable table(Time(2000));
    table.renew(Time(0), make_lease("a1", 1, 5), Source::holder);
    cr_assert(table.renew(Time(10), make_lease("a1", 2, 1, Phase::starting), Source::holder));
    cr_assert_not(table.renew(Time(20), make_lease("a1", 1, 6), Source::core_member));
    cr_assert_eq(table.leases()[0].incarnation, 2U);
    cr_assert_not(table.renew(Time(30), make_lease("a1", 3, 1), Source::core_member),
                  "only the holder may start a new incarnation");
    cr_assert(table.end("a1", 2));
    cr_assert_not(table.renew(Time(40), make_lease("a1", 2, 9), Source::core_member));
    cr_assert_eq(table.size(), 0U);
}

Test(lease_table, an_older_renewal_does_not_extend_a_lease) {
    LeaseTable table(Time(2000));
    table.renew(Time(0), make_lease("a1", 1, 5), Source::holder);
    table.renew(Time(1900), make_lease("a1", 1, 5), Source::core_member);
    cr_assert(table.expire(Time(2001)));
}

Test(lease_codec, a_lease_is_encoded_and_decoded_unchanged) {
    const Lease before = make_lease("a1", 0xffffffffffffffffULL, 7, Phase::leaving);
    cr_assert(nlohmann::json(before).get<Lease>() == before);
}
