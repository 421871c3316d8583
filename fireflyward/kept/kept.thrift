/* Asking another node of the failure domain for its part of the index. */
namespace py fireflyward.kept

/* The entries of one prompt, those of every eighth block, first to last. */
struct LookUp {
  1: required i32 shard,
  2: required list<i64> entries,
}

/* For each holder the places among the asked entries that it has, as bits. */
struct Found {
  1: required list<string> holders,
  2: required list<binary> places,
}
