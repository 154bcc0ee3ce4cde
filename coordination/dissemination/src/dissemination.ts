/**
 * Dissemination of configuration versions: eager pushes and fetches between nodes, and activation. Activation replaces
 * one reference to a complete, verified version; the version in force never decreases. See `docs/design.md`,
 * section 3.4.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertInvariant, assertNever } from "@bilberrycroft/core.errors";
import type { Random } from "@bilberrycroft/core.random";
import {
    DeltaOutcomeKind,
    RefusalReason,
    VerificationKind,
    type ConfigurationHead,
    type Delta,
    type Snapshot,
    type VerifiedSnapshot,
} from "@bilberrycroft/state.snapshots";
import { BoundedDigestSet, SnapshotCache } from "./snapshotCache";
import { StartBlocker, VersionFloor } from "./versionFloor";
import { fetchTimeoutMs } from "./limits";
import {
    ConfigurationSourceKind,
    DisseminationInputKind,
    DisseminationOutputKind,
    FetchReplyKind,
    type ConfigurationSource,
    type DisseminationInput,
    type DisseminationOutput,
    type FetchReply,
    type Peer,
    type SnapshotFunctions,
} from "./messages";
import { PeerVersions } from "./peerVersions";

export interface DisseminationOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly node: string;
    readonly zone: string;
    readonly snapshots: SnapshotFunctions;
}

interface PendingFetch {
    readonly call: number;
    readonly peer: Peer;
    readonly expiresAt: Milliseconds;
}

/** A verified version that waits until the version floor permits its activation. */
interface Candidate {
    readonly verified: VerifiedSnapshot;
    readonly source: ConfigurationSourceKind;
}

/** Dissemination state machine of one node, without input or output of its own. */
export class Dissemination {
    private readonly options: DisseminationOptions;
    private readonly peers: PeerVersions;
    private readonly cache: SnapshotCache;
    private readonly floor = new VersionFloor();
    private readonly refusedDigests = new BoundedDigestSet();
    private readonly conflictingDigests = new BoundedDigestSet();
    private active: VerifiedSnapshot | undefined;
    private candidate: Candidate | undefined;
    private pendingFetch: PendingFetch | undefined;
    /** The last delta could not be applied to its base. */
    private needsFullSnapshot = false;
    /** The reply being processed contained a version that was refused. */
    private hasRefused = false;
    private lastCall = 0;
    private outputs: DisseminationOutput[] = [];

    constructor(options: DisseminationOptions) {
        this.options = options;
        this.peers = new PeerVersions(options);
        this.cache = new SnapshotCache(options.snapshots);
    }

    /** Processes one input and returns the resulting outputs. */
    handle(input: DisseminationInput): readonly DisseminationOutput[] {
        this.outputs = [];
        this.dispatch(input);
        this.activateCandidate();
        this.startFetch();
        return this.outputs;
    }

    /** The version in force; `undefined` before the first activation. */
    inForce(): VerifiedSnapshot | undefined {
        return this.active;
    }

    /** Version and digest in force; 0 and empty before the first activation. */
    head(): ConfigurationHead {
        const { version, digest } = this.active?.snapshot ?? { version: 0, digest: "" };
        return { version, digest };
    }

    /** The lowest version that the node may activate, according to the inputs so far. */
    floorVersion(): number {
        return this.floor.version;
    }

    /** Why no version is in force yet; `None` after the first activation. */
    startBlocker(): StartBlocker {
        const version = this.candidate?.verified.snapshot.version ?? 0;
        return this.active === undefined ? this.floor.blockerOf(version) : StartBlocker.None;
    }

    /** Versions cached as bases of deltas, in ascending order. */
    cachedVersions(): readonly number[] {
        return this.cache.versions();
    }

    private dispatch(input: DisseminationInput): void {
        switch (input.kind) {
            case DisseminationInputKind.SnapshotReceived:
                return this.handleReply(input.call, () => this.handleSnapshot(input.snapshot, input.source));
            case DisseminationInputKind.DeltaReceived:
                return this.handleReply(input.call, () => this.handleDelta(input.delta, input.from));
            case DisseminationInputKind.HeadReceived:
                this.floor.recordPeerHead(input);
                return this.handleHead(input.from, input.head);
            case DisseminationInputKind.FloorLearned:
                return this.handleFloor(input.version, input.source);
            case DisseminationInputKind.StoreUnavailable:
                return this.floor.recordStoreUnavailable();
            case DisseminationInputKind.FetchFailed:
                return this.backOffPeer(this.completeFetch(input.call)?.peer);
            case DisseminationInputKind.FetchRequested:
                this.emit({
                    kind: DisseminationOutputKind.ReplyFetch,
                    token: input.token,
                    reply: this.createFetchReply(input.baseVersion),
                });
                return;
            case DisseminationInputKind.PeersChanged:
                return this.peers.setLivePeers(input.peers);
            case DisseminationInputKind.RosterLearned:
                return this.floor.recordRoster(input.otherMembers);
            case DisseminationInputKind.Tick:
                return this.expireFetch();
            default:
                return assertNever(input);
        }
    }

    private handleHead(from: Peer, head: ConfigurationHead): void {
        this.peers.recordHead(from, head);
        this.reportConflict(head, from);
    }

    private handleFloor(version: number, source: ConfigurationSourceKind): void {
        if (source === ConfigurationSourceKind.Store) {
            this.floor.recordStoreRead(version);
        }
        else {
            this.floor.raise(version);
        }
    }

    /** Processes a fetch reply or a push. Backs off from a peer whose fetch reply made no progress. */
    private handleReply(call: number | undefined, apply: () => void): void {
        const fetch = this.completeFetch(call);
        const versionBefore = this.highestHeldVersion();
        const neededFullSnapshot = this.needsFullSnapshot;
        this.hasRefused = false;
        apply();
        const hasProgress = this.highestHeldVersion() > versionBefore
            || this.hasRefused
            || (this.needsFullSnapshot && !neededFullSnapshot);
        if (!hasProgress) {
            this.backOffPeer(fetch?.peer);
        }
    }

    private handleSnapshot(snapshot: Snapshot, source: ConfigurationSource): void {
        if (source.kind === ConfigurationSourceKind.Store) {
            this.floor.recordStoreRead(snapshot.version);
        }
        if (this.needsVerification(snapshot, source.kind) || this.isConflict(snapshot)) {
            this.verify(snapshot, source);
        }
    }

    private handleDelta(delta: Delta, from: Peer): void {
        this.reportConflict(delta.next, from);
        if (!this.needsVerification(delta.next, ConfigurationSourceKind.Peer)) {
            return;
        }
        const base = this.cache.get(delta.base.version);
        if (base === undefined) {
            return this.peers.recordHead(from, delta.next);
        }
        const outcome = this.options.snapshots.applyDelta(base, delta);
        switch (outcome.kind) {
            case DeltaOutcomeKind.Applied:
                return this.verify(outcome.snapshot, { kind: ConfigurationSourceKind.Peer, peer: from });
            case DeltaOutcomeKind.BaseMismatch:
            case DeltaOutcomeKind.Corrupt:
                this.needsFullSnapshot = true;
                return this.peers.recordHead(from, delta.next);
            default:
                return assertNever(outcome);
        }
    }

    /** Verifies a snapshot. A version is only refused permanently if the snapshot matches its digest. */
    private verify(snapshot: Snapshot, source: ConfigurationSource): void {
        const { version, digest } = snapshot;
        const from = source.kind === ConfigurationSourceKind.Peer ? source.peer : undefined;
        const verification = this.options.snapshots.verifySnapshot(snapshot);
        const isCorrupt = verification.kind === VerificationKind.Refused
            && verification.reason === RefusalReason.DigestMismatch;
        if (isCorrupt) {
            this.emit({ kind: DisseminationOutputKind.ReportCorrupt, version, from });
            return;
        }
        if (from !== undefined) {
            this.peers.recordHead(from, { version, digest });
        }
        if (this.isConflict(snapshot)) {
            return this.reportConflict(snapshot, from);
        }
        if (verification.kind === VerificationKind.Verified) {
            this.candidate = { verified: verification.verified, source: source.kind };
            this.needsFullSnapshot = false;
            return;
        }
        this.refusedDigests.add(digest);
        this.hasRefused = true;
        this.emit({
            kind: DisseminationOutputKind.ReportRefused,
            version,
            digest,
            problems: verification.problems,
        });
    }

    /** Whether a version has to be verified. The store's copy replaces a pending candidate of the same version. */
    private needsVerification(head: ConfigurationHead, source: ConfigurationSourceKind): boolean {
        const pending = this.candidate?.verified.snapshot;
        const replacesPending = pending === undefined
            || head.version > pending.version
            || (head.version === pending.version
                && head.digest !== pending.digest
                && source === ConfigurationSourceKind.Store);
        return head.version > this.head().version && replacesPending && !this.refusedDigests.has(head.digest);
    }

    private activateCandidate(): void {
        const { candidate, active } = this;
        if (candidate === undefined || !this.canActivate(candidate.verified.snapshot.version)) {
            return;
        }
        const { verified, source } = candidate;
        const { snapshot } = verified;
        assertInvariant(snapshot.version > this.head().version, "the version in force must not decrease");
        this.candidate = undefined;
        this.active = verified;
        this.cache.add(snapshot);
        this.emit({ kind: DisseminationOutputKind.Activate, verified });
        // A starting node that got its version from peers does not announce it, because they already have it.
        if (active !== undefined || source === ConfigurationSourceKind.Store) {
            this.announce(snapshot, active?.snapshot);
        }
    }

    private canActivate(version: number): boolean {
        return this.active === undefined
            ? this.floor.blockerOf(version) === StartBlocker.None
            : version > this.active.snapshot.version && version >= this.floor.version;
    }

    private announce(snapshot: Snapshot, previous: Snapshot | undefined): void {
        const to = this.peers.selectPushPeers(snapshot.version);
        if (to.length === 0) {
            return;
        }
        const delta = previous === undefined ? undefined : this.cache.deltaFrom(previous.version, snapshot);
        this.emit({ kind: DisseminationOutputKind.Announce, head: this.head(), delta, to });
    }

    /** Fetches the highest version that a peer advertises, with at most one fetch in flight. */
    private startFetch(): void {
        if (this.pendingFetch !== undefined) {
            return;
        }
        const peer = this.peers.selectSource(this.highestHeldVersion(), head => !this.refusedDigests.has(head.digest));
        if (peer === undefined) {
            return;
        }
        const call = ++this.lastCall;
        const baseVersion = this.needsFullSnapshot ? 0 : this.head().version;
        this.pendingFetch = { call, peer, expiresAt: this.options.clock.now() + 2 * fetchTimeoutMs };
        this.emit({
            kind: DisseminationOutputKind.Fetch,
            call,
            from: peer,
            baseVersion,
            timeoutMs: fetchTimeoutMs,
        });
    }

    /** Ends the fetch in flight if the reply belongs to it; replies to earlier fetches are processed like pushes. */
    private completeFetch(call: number | undefined): PendingFetch | undefined {
        const { pendingFetch } = this;
        if (pendingFetch === undefined || pendingFetch.call !== call) {
            return undefined;
        }
        this.pendingFetch = undefined;
        return pendingFetch;
    }

    /** Ends a fetch whose end was not reported in time and backs off from its peer. */
    private expireFetch(): void {
        if (this.pendingFetch !== undefined && this.options.clock.now() >= this.pendingFetch.expiresAt) {
            this.backOffPeer(this.pendingFetch.peer);
            this.pendingFetch = undefined;
        }
    }

    private backOffPeer(peer: Peer | undefined): void {
        if (peer !== undefined) {
            this.peers.backOff(peer.node);
        }
    }

    private createFetchReply(baseVersion: number): FetchReply {
        const snapshot = this.active?.snapshot;
        if (snapshot === undefined || baseVersion >= snapshot.version) {
            return { kind: FetchReplyKind.Nothing };
        }
        const delta = this.cache.deltaFrom(baseVersion, snapshot);
        return delta === undefined
            ? { kind: FetchReplyKind.Snapshot, snapshot }
            : { kind: FetchReplyKind.Delta, delta };
    }

    /** Highest version that is in force or a candidate. */
    private highestHeldVersion(): number {
        return Math.max(this.head().version, this.candidate?.verified.snapshot.version ?? 0);
    }

    /** Whether a version has the number of the version in force but another digest; this cannot come from the store. */
    private isConflict(other: ConfigurationHead): boolean {
        const inForce = this.head();
        return inForce.version > 0 && other.version === inForce.version && other.digest !== inForce.digest;
    }

    private reportConflict(other: ConfigurationHead, from: Peer | undefined): void {
        if (this.isConflict(other) && this.conflictingDigests.add(other.digest)) {
            const { version, digest: heldDigest } = this.head();
            const otherDigest = other.digest;
            this.emit({ kind: DisseminationOutputKind.ReportConflict, version, heldDigest, otherDigest, from });
        }
    }

    private emit(output: DisseminationOutput): void {
        this.outputs.push(output);
    }
}
