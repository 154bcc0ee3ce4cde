/**
 * Which version a node has in force and how it spreads. Activation replaces one reference to a complete, verified
 * version; the version in force only ever rises. See `docs/design.md`, section 3.4.
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
import { Archive, DigestMemory } from "./archive";
import { Floor, StartBlocker } from "./floor";
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
import { Peers } from "./peers";

/** Options of `Dissemination`. */
export interface DisseminationOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly node: string;
    readonly zone: string;
    readonly snapshots: SnapshotFunctions;
}

interface OpenFetch {
    readonly call: number;
    readonly peer: Peer;
    readonly endsAt: Milliseconds;
}

/** A verified version that waits for the floor, or is about to be activated. */
interface Candidate {
    readonly verified: VerifiedSnapshot;
    readonly source: ConfigurationSourceKind;
}

/** Decides for one node. `handle` takes one message and gives the messages that follow from it. */
export class Dissemination {
    private readonly options: DisseminationOptions;
    private readonly peers: Peers;
    private readonly archive: Archive;
    private readonly floor = new Floor();
    private readonly refused = new DigestMemory();
    private readonly conflicts = new DigestMemory();
    private active: VerifiedSnapshot | undefined;
    private candidate: Candidate | undefined;
    private fetch: OpenFetch | undefined;
    /** The last delta did not fit its base. */
    private wholeSnapshotWanted = false;
    /** The message that is being taken led to a refusal. */
    private refusedNow = false;
    private lastCall = 0;
    private outputs: DisseminationOutput[] = [];

    constructor(options: DisseminationOptions) {
        this.options = options;
        this.peers = new Peers(options);
        this.archive = new Archive(options.snapshots);
    }

    /** Takes one message. */
    handle(input: DisseminationInput): readonly DisseminationOutput[] {
        this.outputs = [];
        this.dispatch(input);
        this.activateCandidate();
        this.fetchMissing();
        return this.outputs;
    }

    /** The version in force; `undefined` while the node serves nothing. */
    inForce(): VerifiedSnapshot | undefined {
        return this.active;
    }

    /** Version and digest in force; version 0 and an empty digest before the first. */
    head(): ConfigurationHead {
        const { version, digest } = this.active?.snapshot ?? { version: 0, digest: "" };
        return { version, digest };
    }

    /** The lowest version that the node may activate, as far as known. */
    floorVersion(): number {
        return this.floor.version;
    }

    /** Why the node serves nothing; `None` once a version is in force. */
    startBlocker(): StartBlocker {
        const version = this.candidate?.verified.snapshot.version ?? 0;
        return this.active === undefined ? this.floor.blockerOf(version) : StartBlocker.None;
    }

    /** Versions held as bases of deltas. */
    heldVersions(): readonly number[] {
        return this.archive.versions();
    }

    private dispatch(input: DisseminationInput): void {
        switch (input.kind) {
            case DisseminationInputKind.SnapshotReceived:
                return this.takeReply(input.call, () => this.takeSnapshot(input.snapshot, input.source));
            case DisseminationInputKind.DeltaReceived:
                return this.takeReply(input.call, () => this.takeDelta(input.delta, input.from));
            case DisseminationInputKind.HeadHeard:
                this.floor.notePeer(input);
                return this.takeHead(input.from, input.head);
            case DisseminationInputKind.FloorLearned:
                return this.takeFloor(input.version, input.source);
            case DisseminationInputKind.StoreUnavailable:
                return this.floor.noteStoreUnavailable();
            case DisseminationInputKind.FetchFailed:
                return this.avoidPeer(this.closeFetch(input.call)?.peer);
            case DisseminationInputKind.FetchRequested:
                this.emit({
                    kind: DisseminationOutputKind.ReplyFetch,
                    token: input.token,
                    reply: this.replyTo(input.baseVersion),
                });
                return;
            case DisseminationInputKind.PeersChanged:
                return this.peers.setLive(input.peers);
            case DisseminationInputKind.RosterLearned:
                return this.floor.noteRoster(input.otherMembers);
            case DisseminationInputKind.Tick:
                return this.endOverdueFetch();
            default:
                return assertNever(input);
        }
    }

    private takeHead(from: Peer, head: ConfigurationHead): void {
        this.peers.noteHead(from, head);
        this.noteConflict(head, from);
    }

    private takeFloor(version: number, source: ConfigurationSourceKind): void {
        if (source === ConfigurationSourceKind.Store) {
            this.floor.noteStoreRead(version);
        }
        else {
            this.floor.raise(version);
        }
    }

    /** Takes a reply to a fetch or a push. A peer whose reply brought nothing is not asked again at once. */
    private takeReply(call: number | undefined, take: () => void): void {
        const fetch = this.closeFetch(call);
        const heldBefore = this.heldVersion();
        const repeatsWhole = this.wholeSnapshotWanted;
        this.refusedNow = false;
        take();
        const isUseful = this.heldVersion() > heldBefore
            || this.refusedNow
            || (this.wholeSnapshotWanted && !repeatsWhole);
        if (!isUseful) {
            this.avoidPeer(fetch?.peer);
        }
    }

    private takeSnapshot(snapshot: Snapshot, source: ConfigurationSource): void {
        if (source.kind === ConfigurationSourceKind.Store) {
            this.floor.noteStoreRead(snapshot.version);
        }
        if (this.isNews(snapshot, source.kind) || this.isConflict(snapshot)) {
            this.verify(snapshot, source);
        }
    }

    private takeDelta(delta: Delta, from: Peer): void {
        this.noteConflict(delta.next, from);
        if (!this.isNews(delta.next, ConfigurationSourceKind.Peer)) {
            return;
        }
        const base = this.archive.get(delta.base.version);
        if (base === undefined) {
            return this.peers.noteHead(from, delta.next);
        }
        const outcome = this.options.snapshots.applyDelta(base, delta);
        switch (outcome.kind) {
            case DeltaOutcomeKind.Applied:
                return this.verify(outcome.snapshot, { kind: ConfigurationSourceKind.Peer, peer: from });
            case DeltaOutcomeKind.BaseMismatch:
            case DeltaOutcomeKind.Corrupt:
                this.wholeSnapshotWanted = true;
                return this.peers.noteHead(from, delta.next);
            default:
                return assertNever(outcome);
        }
    }

    /** Checks the whole version. Only a version that matches its digest can be refused for good. */
    private verify(snapshot: Snapshot, source: ConfigurationSource): void {
        const { version, digest } = snapshot;
        const from = source.kind === ConfigurationSourceKind.Peer ? source.peer : undefined;
        const verification = this.options.snapshots.verifySnapshot(snapshot);
        const isDamaged = verification.kind === VerificationKind.Refused
            && verification.reason === RefusalReason.DigestMismatch;
        if (isDamaged) {
            this.emit({ kind: DisseminationOutputKind.ReportDamaged, version, from });
            return;
        }
        if (from !== undefined) {
            this.peers.noteHead(from, { version, digest });
        }
        if (this.isConflict(snapshot)) {
            return this.noteConflict(snapshot, from);
        }
        if (verification.kind === VerificationKind.Verified) {
            this.candidate = { verified: verification.verified, source: source.kind };
            this.wholeSnapshotWanted = false;
            return;
        }
        this.refused.add(digest);
        this.refusedNow = true;
        this.emit({
            kind: DisseminationOutputKind.ReportRefused,
            version,
            digest,
            problems: verification.problems,
        });
    }

    /** Whether a version is worth checking. The store's copy replaces a waiting one of the same version. */
    private isNews(head: ConfigurationHead, source: ConfigurationSourceKind): boolean {
        const waiting = this.candidate?.verified.snapshot;
        const isAboveWaiting = waiting === undefined
            || head.version > waiting.version
            || (head.version === waiting.version
                && head.digest !== waiting.digest
                && source === ConfigurationSourceKind.Store);
        return head.version > this.head().version && isAboveWaiting && !this.refused.has(head.digest);
    }

    private activateCandidate(): void {
        const { candidate, active } = this;
        if (candidate === undefined || !this.mayActivate(candidate.verified.snapshot.version)) {
            return;
        }
        const { verified, source } = candidate;
        const { snapshot } = verified;
        assertInvariant(snapshot.version > this.head().version, "the version in force never falls");
        this.candidate = undefined;
        this.active = verified;
        this.archive.add(snapshot);
        this.emit({ kind: DisseminationOutputKind.Activate, verified });
        // What a starting node learned from peers is not news to them.
        if (active !== undefined || source === ConfigurationSourceKind.Store) {
            this.announce(snapshot, active?.snapshot);
        }
    }

    private mayActivate(version: number): boolean {
        return this.active === undefined
            ? this.floor.blockerOf(version) === StartBlocker.None
            : version > this.active.snapshot.version && version >= this.floor.version;
    }

    private announce(snapshot: Snapshot, previous: Snapshot | undefined): void {
        const to = this.peers.choosePushTargets(snapshot.version);
        if (to.length === 0) {
            return;
        }
        const delta = previous === undefined ? undefined : this.archive.deltaFrom(previous.version, snapshot);
        this.emit({ kind: DisseminationOutputKind.Announce, head: this.head(), delta, to });
    }

    /** Fetches the highest version that a peer advertises, one fetch at a time. */
    private fetchMissing(): void {
        if (this.fetch !== undefined) {
            return;
        }
        const peer = this.peers.chooseSource(this.heldVersion(), head => !this.refused.has(head.digest));
        if (peer === undefined) {
            return;
        }
        const call = ++this.lastCall;
        const baseVersion = this.wholeSnapshotWanted ? 0 : this.head().version;
        this.fetch = { call, peer, endsAt: this.options.clock.now() + 2 * fetchTimeoutMs };
        this.emit({
            kind: DisseminationOutputKind.Fetch,
            call,
            from: peer,
            baseVersion,
            timeoutMs: fetchTimeoutMs,
        });
    }

    /** Ends the open fetch if the message answers it; later ones are taken like pushes. */
    private closeFetch(call: number | undefined): OpenFetch | undefined {
        const { fetch } = this;
        if (fetch === undefined || fetch.call !== call) {
            return undefined;
        }
        this.fetch = undefined;
        return fetch;
    }

    /** Goes on to another peer if the end of a fetch was never reported. */
    private endOverdueFetch(): void {
        if (this.fetch !== undefined && this.options.clock.now() >= this.fetch.endsAt) {
            this.avoidPeer(this.fetch.peer);
            this.fetch = undefined;
        }
    }

    private avoidPeer(peer: Peer | undefined): void {
        if (peer !== undefined) {
            this.peers.avoid(peer.node);
        }
    }

    private replyTo(baseVersion: number): FetchReply {
        const snapshot = this.active?.snapshot;
        if (snapshot === undefined || baseVersion >= snapshot.version) {
            return { kind: FetchReplyKind.Nothing };
        }
        const delta = this.archive.deltaFrom(baseVersion, snapshot);
        return delta === undefined
            ? { kind: FetchReplyKind.Snapshot, snapshot }
            : { kind: FetchReplyKind.Delta, delta };
    }

    /** Highest version that is in force or waits for the floor. */
    private heldVersion(): number {
        return Math.max(this.head().version, this.candidate?.verified.snapshot.version ?? 0);
    }

    /** Whether another digest goes by the number of the version in force, which can not come from the store. */
    private isConflict(other: ConfigurationHead): boolean {
        const held = this.head();
        return held.version > 0 && other.version === held.version && other.digest !== held.digest;
    }

    private noteConflict(other: ConfigurationHead, from: Peer | undefined): void {
        if (this.isConflict(other) && this.conflicts.add(other.digest)) {
            const { version, digest: heldDigest } = this.head();
            const otherDigest = other.digest;
            this.emit({ kind: DisseminationOutputKind.ReportConflict, version, heldDigest, otherDigest, from });
        }
    }

    private emit(output: DisseminationOutput): void {
        this.outputs.push(output);
    }
}
