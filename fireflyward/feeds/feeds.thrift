/* What a node asks the aggregator of its failure domain in place of the store. */
namespace py fireflyward.feeds

/* The changes of a table after a version of an era, with version -1 all of it, in this
   era or a later one, or with -2 only rows of earlier eras that the store has not again; waits up to wait_ms for the first change, or until all of it has
   been read once. */
struct FeedAsk {
  1: required string table,
  2: required i64 after,
  3: required i32 wait_ms,
  4: required i64 era,
}

struct FeedRow {
  1: required string row_key,
  2: required binary row_value,
  3: required i64 version,
  4: required bool is_deleted,
  5: required i64 era,
}

/* `outcome` is "changes", "whole", "history lost" or "unable". The table stood like this
   `age_ms` before the answer, which came `waited_ms` after the question. */
struct FeedAnswer {
  1: required string outcome,
  2: required i64 version,
  3: required list<FeedRow> rows,
  4: required i32 age_ms,
  5: required i32 waited_ms,
  6: required i64 era,
}
