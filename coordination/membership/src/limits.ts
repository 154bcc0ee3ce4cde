/**
 * Intervals, timeouts and size limits of membership. `docs/design.md` (section 3.5) defines the values that it names.
 */

/** Interval between two exchanges within the zone. */
export const zoneRoundIntervalMs = 1_000;

/** Interval between two exchanges with nodes of other zones. */
export const crossZoneRoundIntervalMs = 4_000;

/** Interval between two attempts to reach a node marked as dead, or a configured peer that the table lacks. */
export const reconnectIntervalMs = 16_000;

/** Timeout of an exchange. Failure detection within 5 s leaves at most 1 s for it. */
export const exchangeTimeoutMs = 1_000;

/** Timeout of a table transfer (join or pull). */
export const tableTimeoutMs = 3_000;

/** Minimum interval between two eager pushes; limits them to 8 calls per second when many nodes fail at once. */
export const minEagerPushIntervalMs = 500;

/** Number of peers in the zone that receive an eager push. */
export const eagerZonePeers = 3;

/** A longer gap between two ticks means that this process was paused; its pending calls are then discarded. */
export const pauseThresholdMs = 1_500;

/** Minimum time between a suspicion and marking the node as Dead. */
export const suspicionTimeoutMs = 2_000;

/** Distinct observers needed to mark a node as Dead. */
export const requiredObservers = 2;

/** Number of nodes requested to confirm a suspicion. */
export const confirmersPerSuspicion = 3;

/** A suspicion that this node did not observe itself expires after this time if it is not confirmed. */
export const suspicionExpiryMs = 30_000;

/**
 * An observer that received no message for this long may itself be isolated, and does not mark a node as dead without
 * a second observer. A zone with a contact within this time is not probed when a peer reports it as unreachable.
 */
export const recentContactWindowMs = 5_000;

/** Distinct nodes of a zone that have to fail before the zone counts as unreachable. */
export const failuresForUnreachableZone = 3;

/** Retention of entries of ended processes and of remembered versions. */
export const endedRetentionMs = 24 * 60 * 60 * 1_000;

/** Maximum entries of ended processes; about 100 of 670 processes are replaced per day. */
export const maxEndedEntries = 1_024;

/** Maximum hosts with a remembered version: three times the fleet size. */
export const maxRememberedHosts = 2_048;

/** Maximum full entries in one exchange. */
export const maxUpdatesPerExchange = 64;

/** Maximum nodes in the version reports of one exchange; each takes about 75 bytes. */
export const maxRevisionReportsPerExchange = 128;

/** Maximum suspicions in one exchange. */
export const maxSuspicionsPerExchange = 16;

export const maxCrashReportsPerExchange = 16;

export const maxQueuedCrashReports = 1_024;

/** Consecutive exchanges with differing digests of a zone before the zone's table is pulled. */
export const mismatchesBeforePull = 3;

/** Minimum interval between two pulls of a zone's table. */
export const minPullIntervalMs = 2_000;

/** Joins start with a random delay up to this time, so that the nodes of a restarted zone do not join at once. */
export const joinJitterMs = 2_000;

/** Backoff after the first round of failed joins; doubles up to `maxJoinBackoffMs`. */
export const initialJoinBackoffMs = 500;

export const maxJoinBackoffMs = 10_000;

/** Maximum joins that a member accepts per second. */
export const joinsPerSecond = 4;

/** Targets announce themselves every second; three missed announcements mean that the target is gone. */
export const announcementTimeoutMs = 3_000;

/** Time for which a target that is gone stays in the entry, so that `status` still shows it. */
export const goneTargetRetentionMs = 60_000;

/** Maximum targets of one host; limits the size of the entry. */
export const maxTargetsPerHost = 32;

/** Number of messages in which a node forwards a crash report; quarantine needs it on most nodes, not on all. */
export const crashReportSendCount = 12;

/** Maximum entries queued after a pull because the peer lacks them or has older copies. */
export const maxEntriesQueuedPerPull = 64;

/** Number of peers that an entry queued after a pull is sent to; later digest comparisons show if more need it. */
export const pulledEntryPeers = 3;
