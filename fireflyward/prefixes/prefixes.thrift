/* What the aggregator of a failure domain read of the events of stores of KV cache. */
namespace py fireflyward.prefixes

/* Events of one store after `since` up to `next_event`, in its life `epoch`. The event i is of
   the part `part_ids[i]` under `salts[salt_of[i]]`; `tokens[i]` is 0 if it was freed. */
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

/* What a node that misses events asks its aggregator in place of the store: those after
   `since`, or with `is_whole` all that the store holds. */
struct StoreAsk {
  1: required string address,
  2: required i64 since,
  3: required bool is_whole,
}

/* `outcome` is "events", "lost" (older events than are kept were asked for), "whole" or
   "unable" (the store does not answer the aggregator either). */
struct StoreAnswer {
  1: required string outcome,
  2: optional StoreEvents events,
}
