/* The announcement that the holder of a lease sends to the contenders. */
namespace py fireflyward.leases

/* The lease's row, which the table contains with this version of this era. */
struct LeaseHeld {
  1: required string name,
  2: required binary row,
  3: required i64 version,
  4: required i64 era,
}
