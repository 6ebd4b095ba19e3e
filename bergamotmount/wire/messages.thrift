/**
 * Messages between nodes. One frame carries one of these structs; the frame
 * header names which. Durations are in milliseconds, ranks are doubles from
 * 0 (most important) upwards. Fields are only ever added, never renumbered.
 */

namespace py bergamotmount.wire.gen

struct Call {
  1: i64 attempt
  2: string root
  3: double rank
  4: i32 remaining_ms
  5: i16 tokens
  6: string service_name
  7: string operation
  8: string method
  9: list<string> headers
  10: binary body
  11: string ticket
  12: bool idempotent
  13: i16 depth
  14: string target
  15: i16 tries
  16: double entry_threshold
  17: bool is_repeat
}

struct Threshold {
  1: string service_name
  2: double rank
  3: i32 age_ms
}

struct CrashReport {
  1: i64 fingerprint
  2: string server
  3: i32 age_ms
}

struct Answer {
  1: i64 attempt
  2: i16 outcome
  3: i16 status
  4: string reason
  5: list<string> headers
  6: binary body
  7: i16 tokens
  8: i32 retry_after_ms
  9: list<Threshold> thresholds
  10: i32 load_permille
  11: string ticket
  12: string detail
  13: double threshold
  14: i32 service_ms
  15: double allowed
  16: list<double> demand
  17: list<string> needs
  18: list<CrashReport> crashes
  19: i64 evidence_version
  20: i32 evidence_age_ms
  21: bool may_return
}

struct Cancel {
  1: i64 attempt
}

struct Member {
  1: string node
  2: string address
  3: string region
  4: string failure_domain
  5: i64 incarnation
  6: i64 version
  7: i16 state
  8: string service_name
  9: i32 slots
  10: string admin
}

struct ObservedCall {
  1: string caller
  2: string route
  3: i32 age_ms
}

struct Heartbeat {
  1: i64 sequence
  2: bool reply
  3: list<Member> members
  4: i64 digest
  5: i64 policy_offset
  6: list<Threshold> thresholds
  7: bool full // no longer used
  8: string release
  9: double threshold
  10: i32 load_permille
  11: list<i64> buckets
  12: list<ObservedCall> calls
  13: list<CrashReport> crashes
  14: double sent_ms
  15: double echoed_ms
  16: i64 evidence_version
  17: i32 evidence_age_ms
  18: i32 policy_age_ms
}

struct QuotaRequest {
  1: i64 sequence
  2: string organisation
  3: string node
  4: i32 waiting
  5: i32 wanted
  6: i32 held
}

struct QuotaGrant {
  1: i64 sequence
  2: string organisation
  3: i32 tokens
  4: i32 retry_after_ms
  5: bool is_owner
}

struct Ping {
  1: bool reply
}

struct PolicyFetch {
  1: i64 known_offset
}

struct PolicyRecords {
  1: i64 first_offset
  2: list<binary> records
}

struct PolicyState {
  1: i64 offset
  2: binary state
}
