/* Messages between nodes about parts of prompts that may crash replicas. A part is
   identified by a number that all nodes compute from service, model and the part's id, an
   incarnation of a replica by the number that they compute from its entry. */
namespace py fireflyward.poison

/* The parts of one node's prompts that were in flight at a replica that crashed, and how
   many of these requests had each. */
struct PartsCut {
  1: required i32 replica,
  2: required list<i64> parts,
  3: required list<i32> requests,
}

/* Asks when answers to prompts with these parts were last completed. */
struct CompletionQuestion {
  1: required i32 number,
  2: required list<i64> parts,
}

/* For each part of the question, how long ago a node last completed an answer, -1 if it
   knows of none; "answers" is how many it completed to any prompt, "recent" how many of
   these in the last 2.5 to 5 s, and "first_age_ms" how long ago the first of them was, -1
   if it has none. */
struct CompletionAnswer {
  1: required i32 number,
  2: required list<i32> ages_ms,
  3: required i32 answers,
  4: optional i32 recent,
  5: optional i32 first_age_ms,
}

/* Prompts with the part get no replica. */
struct PartHeld {
  1: required i64 part,
  2: required i32 crashes,
  /* Whether a prompt with the part had an answer before the crashes. */
  3: optional bool had_answers,
  /* Whether the nodes had completed answers for too short a time to tell. */
  4: optional bool is_provisional,
}

/* A replica completed an answer to a prompt with the part. */
struct PartCleared {
  1: required i64 part,
}
