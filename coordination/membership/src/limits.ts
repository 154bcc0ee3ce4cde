/**
 * Times and bounds of membership. The page `docs/design.md` (section 3.5) is the source of those it names.
 */

/** Time between two exchanges within the zone. */
export const zoneRoundMs = 1_000;

/** Time between two exchanges with nodes of other zones. */
export const crossZoneRoundMs = 4_000;

/** Time between two attempts to reach a node that is held dead, or a configured peer that is unknown. */
export const reconnectRoundMs = 16_000;

/** Time after which an exchange counts as failed. Detection within 5 s leaves at most 1 s for it. */
export const exchangeTimeoutMs = 1_000;

/** Time after which a transfer of a table counts as failed. */
export const tableTimeoutMs = 3_000;

/** Shortest time between two eager pushes; bounds them at 8 calls per second when many nodes die at once. */
export const eagerPushSpacingMs = 500;

/** Peers in the zone that receive an eager push. */
export const eagerZonePeers = 3;

/** A longer gap between two ticks means that this process was paused, and that its open calls say nothing. */
export const pauseThresholdMs = 1_500;

/** Least time between a suspicion and the verdict Dead. */
export const suspicionMs = 2_000;

/** Distinct observers that the verdict Dead needs. */
export const requiredObservers = 2;

/** Nodes asked to confirm a suspicion. */
export const confirmersPerSuspicion = 3;

/** A suspicion that this node did not observe itself is dropped after this time without a verdict. */
export const suspicionExpiryMs = 30_000;

/** An observer without any contact for this long can be the isolated one and gives no verdict alone. */
export const recentContactMs = 5_000;

/** Distinct nodes of a zone whose failure makes the zone unreachable. */
export const failuresForUnreachableZone = 3;

/** Entries of ended processes and remembered versions are kept for this long. */
export const endedRetentionMs = 24 * 60 * 60 * 1_000;

/** Most entries of ended processes kept; a day replaces about 100 processes of 670. */
export const maxEndedEntries = 1_024;

/** Most hosts with a remembered version; three times the fleet. */
export const maxRememberedHosts = 2_048;

/** Most whole entries in one exchange. */
export const maxUpdates = 64;

/** Most version reports in one exchange; about 75 bytes each. */
export const maxVersionReports = 128;

/** Most suspicions in one exchange. */
export const maxSuspicions = 16;

/** Most crash reports in one exchange. */
export const maxCrashReports = 16;

/** Most crash reports held. */
export const maxHeldCrashReports = 1_024;

/** Exchanges in a row whose digests of a zone differ before the zone's table is fetched. */
export const mismatchesBeforePull = 3;

/** Shortest time between two fetches of a zone's table. */
export const pullSpacingMs = 2_000;

/** Joins start within this time, so that a returning zone does not ask all at once. */
export const joinJitterMs = 2_000;

/** First wait after a round of failed joins; doubles up to `maxJoinBackoffMs`. */
export const firstJoinBackoffMs = 500;

/** Longest wait between two rounds of joins. */
export const maxJoinBackoffMs = 10_000;

/** Joins that a member answers per second. */
export const joinsPerSecond = 4;

/** Announcements come every second; three missed ones mean that the target is gone. */
export const targetGoneAfterMs = 3_000;

/** A target that is gone stays in the entry for this long, for `status`. */
export const goneTargetRetentionMs = 60_000;

/** Most targets of one host; bounds the entry. */
export const maxOwnTargets = 32;

/** Times that a node sends a crash report on; quarantine needs it on most nodes, not on all. */
export const crashReportPeers = 12;

/** Entries sent on after a fetch showed that the peer lacked them. */
export const pushedBackPerCopy = 64;

/** Peers that such an entry is sent to; the next comparison of digests shows if that was not enough. */
export const pushedBackPeers = 3;
