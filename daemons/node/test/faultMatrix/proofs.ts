/**
 * Tests that the fault matrix refers to.
 */
import type { Invariant, Proof } from "./cells";

function createProof(file: string, test: string, ...invariants: readonly Invariant[]): Proof {
    return { file, test, invariants };
}

const dissemination = "coordination/dissemination/test/dissemination.test.ts";
const lease = "coordination/lease/test/lease.test.ts";
const claimCoordinator = "coordination/idempotency/test/claimCoordinator.test.ts";
const draining = "coordination/draining/test/draining.test.ts";
const fleet = "coordination/membership/test/fleet.test.ts";
const membership = "coordination/membership/test/membership.test.ts";
const quarantine = "coordination/quarantine/test/quarantine.test.ts";
const retries = "coordination/retries/test/retries.test.ts";
const router = "coordination/routing/test/router.test.ts";
const applying = "cli/operator/test/applying.test.ts";
const status = "cli/operator/test/status.test.ts";
const outcomes = "daemons/node/test/outcomes.test.ts";
const targetResponses = "daemons/node/test/responses.test.ts";
const claims = "daemons/node/test/claims.test.ts";
const processes = "daemons/node/test/processes.test.ts";

/** Restarts, store outages, and late, repeated, lost and damaged messages in random order, with four seeds. */
export const anyOrder = createProof(
    "coordination/dissemination/test/property.test.ts",
    "never lowers the version, activates only complete verified versions and converges",
    "I1",
    "I2",
    "I3",
    "I9",
);
/** Process kills, pauses, and lost, late and refused writes in random order. */
export const claimsAnyOrder = createProof(
    "coordination/idempotency/test/property.test.ts",
    "sends no key twice unless the earlier send was proved not run",
    "I5",
    "I6",
);

export const proofs = {
    waitsForStore: createProof(dissemination, "waits for the store until a read fails, even with peers", "I1"),
    startsFromPeers: createProof(dissemination, "with the store unavailable waits for two peers that have a version in force", "I1"),
    stalePeers: createProof(dissemination, "with only stale peers activates nothing", "I1"),
    partitionedZoneStart: createProof(dissemination, "in a partitioned zone waits for the highest version", "I1"),
    neverLower: createProof(dissemination, "never repeats or lowers the version in force", "I1"),
    badRules: createProof(dissemination, "refuses a version with bad rules", "I2", "I3"),
    fetchNext: createProof(dissemination, "is sent to one peer at a time, and to the next one after a failure", "I9"),
    fetchLost: createProof(dissemination, "continues after a fetch whose end was never reported", "I9"),
    pushOtherZone: createProof(dissemination, "is sent to 3 peers of the zone and 1 of another that lack the version", "I9"),
    leaseTakeover: createProof(lease, "lets another node take over 9 to 12 s after the last renewal", "I9"),
    leaseResumed: createProof(lease, "makes a resumed holder yield to its successor", "I9"),
    leaseLost: createProof(lease, "recognizes a takeover whose response was lost", "I9"),
    leaseLate: createProof(lease, "counts from the time a renewal was sent, not from its late response", "I9"),
    leaseStop: createProof(lease, "releases the lease immediately while the store is down", "I8"),
    joinLimit: createProof(fleet, "limits the joins of a restarted zone to 4 per member and second", "I9"),
    failureDetected: createProof(fleet, "detects a failed node within 5 s on every node of its zone", "I9"),
    announcementGone: createProof(membership, "become Gone after three missed announcements and not before", "I7"),
    drainSilent: createProof(draining, "so that a missing acknowledgement cannot block a stop", "I8"),
    drainCalls: createProof(draining, "exits only after the last call has ended and the listener is closed", "I8"),
    drainHeader: createProof(router, "avoids the target immediately, before membership has spread the announcement", "I7"),
    lateStoreDeadline: createProof(claimCoordinator, "does not send the call and releases the claim", "I5", "I6"),
    ownerReply: createProof(claimCoordinator, "decides by the reply of the owner", "I6"),
    quarantineSecond: createProof(quarantine, "starts with the second target that a call crashes", "I5"),
    quarantineRack: createProof(quarantine, "counts targets that fail together once", "I5"),
    repeatsOnlySafe: createProof(retries, "repeats a call only if that cannot run it twice", "I6"),
    appliesOnce: createProof(applying, "applies exactly once after $name", "I9"),
    operatorsAnyFault: createProof(applying, "reports the actual outcome under arbitrary faults of two concurrent updates", "I9"),
    operatorLoser: createProof(applying, "reports which rules the winning update changed", "I9"),
    statusUnknown: createProof(status, "lists refusing lines, unknown zones, dead nodes and unreachable addresses", "I9"),
    statusNoStore: createProof(status, "reports the source of the accepted version if the store was not read", "I9"),
    refusedConnection: createProof(outcomes, "connections refused by a target that crashed", "I5"),
    storeDownCall: createProof(outcomes, "the store is down", "I5", "I6"),
    timedOut: createProof(outcomes, "timeout of a call with a key", "I4", "I5"),
    crashQuarantined: createProof(outcomes, "quarantines a request that crashed two targets and serves other calls", "I5"),
    truncated: createProof(targetResponses, "a damaged response is never passed on as complete, and the node keeps serving", "I4"),
    lateResponse: createProof(targetResponses, "discards a response after the deadline and closes its connection", "I4"),
    reorderedResponses: createProof(targetResponses, "delivers responses that arrive in reverse order to their own calls", "I4"),
    ownerKilled: createProof(claims, "a resend after its owner was killed", "I6"),
    claimLost: createProof(claims, "%s of the claim: the call runs once", "I5", "I6"),
    storeDownAfterClaim: createProof(claims, "down after the claim: the owner still has the outcome", "I6"),
    claimSockets: createProof(claims, "runs each key at most once while callers resend through both nodes", "I5", "I6"),
    killedNode: createProof(processes, "SIGKILL of a node: the others serve", "I9"),
    storeReturns: createProof(processes, "store killed and restarted", "I1", "I5"),
    drainedNode: createProof(processes, "SIGTERM of a node with a call in flight", "I8"),
} satisfies Readonly<Record<string, Proof>>;
