/* What the holder of a lease tells the nodes that contend for it. */
namespace py fireflyward.leases

/* The lease's row, as it stands in the table with this version of this era. */
struct LeaseHeld {
  1: required string name,
  2: required binary row,
  3: required i64 version,
  4: required i64 era,
}
