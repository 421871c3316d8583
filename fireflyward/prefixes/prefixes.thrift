/* Messages by which the aggregator of a failure domain shares the events of KV stores. */
namespace py fireflyward.prefixes

/* Events of one store after `since` up to `next_event`. `epoch` changes when the store
   restarts. Event i concerns the part `part_ids[i]` under the salt `salts[salt_of[i]]`;
   `tokens[i]` is 0 if the part was freed. */
struct StoreEvents {
  1: required string address,
  2: required i64 epoch,
  3: required i64 since,
  4: required i64 next_event,
  5: required list<string> salts,
  6: required list<i32> salt_of,
  7: required list<string> part_ids,
  8: required list<i32> tokens,
}

struct StoresNews {
  1: required list<StoreEvents> stores,
}

/* A node that misses events sends this request to its aggregator instead of the store. It
   requests the events after `since`, or with `is_whole` all parts that the store holds. */
struct StoreAsk {
  1: required string address,
  2: required i64 since,
  3: required bool is_whole,
}

/* `outcome` is "events", "lost" (the aggregator no longer keeps some of the requested
   events), "whole" or "unable" (the store does not answer the aggregator either). */
struct StoreAnswer {
  1: required string outcome,
  2: optional StoreEvents events,
}
