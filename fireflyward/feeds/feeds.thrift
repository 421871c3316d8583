/* Queries that a node sends to the aggregator of its failure domain in place of the
   store. */
namespace py fireflyward.feeds

/* Requests the changes of a table after version `after` of era `era`. With version -1 it
   requests the full table in this era or a later one, and with -2 only the retained rows
   of earlier eras that the restored store lacks. The answer waits up to `wait_ms` for the
   first change, or until the full table has been read once. */
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

/* `outcome` is "changes", "whole", "history lost" or "unable". The table had this state
   `age_ms` before the answer was sent, `waited_ms` after the request was received. */
struct FeedAnswer {
  1: required string outcome,
  2: required i64 version,
  3: required list<FeedRow> rows,
  4: required i32 age_ms,
  5: required i32 waited_ms,
  6: required i64 era,
}
