/* What nodes tell each other about when a model's weights were replaced. */
namespace py fireflyward.replacements

struct VersionAge {
  1: required i64 version,
  2: required i32 age_ms,
}

/* Asks which versions of a model's weights were the newest, and when. */
struct ReplacementQuestion {
  1: required string model,
}

/* Each version was the newest one `age_ms` before the answer, or later. */
struct ReplacementAnswer {
  1: required list<VersionAge> last_newest,
}
