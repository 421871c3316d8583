/* How nodes of one failure domain share the limits of client accounts. `accounts`
   are hashes of names; the lists run in parallel. `in_flight`, `limits` and `parts` are
   missing in messages of older nodes. */
namespace py fireflyward.limits

struct Demand {
  1: required list<i32> accounts,
  2: required list<i32> demands,
  3: optional list<i32> in_flight,
  4: optional list<i32> limits,
}

struct Tally {
  1: required list<i32> accounts,
  2: required list<i32> totals,
  3: optional list<i32> parts,
}
