/**
 * Membership of one node: SWIM-style failure detection within the zone, one table of all nodes and their targets, and
 * gossip of changes. See `docs/design.md`, section 3.5.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import { CallKind, PendingCalls, type PendingCall } from "./calls";
import { ExchangeProcessor, type Receiver } from "./exchanges";
import { JoinStepKind } from "./joining";
import {
    crashReportSendCount,
    minEagerPushIntervalMs,
    eagerZonePeers,
    exchangeTimeoutMs,
    pauseThresholdMs,
    tableTimeoutMs,
} from "./limits";
import {
    JoinReplyKind,
    MembershipInputKind,
    MembershipOutputKind,
    type Announcement,
    type Exchange,
    type JoinReply,
    type KnownMember,
    type MembershipInput,
    type MembershipOutput,
    type TableCopy,
} from "./messages";
import { createMembershipParts, type MembershipOptions, type MembershipParts } from "./parts";
import { isWithdrawn } from "./precedence";
import type { Entry, Target } from "./types";
import { MembershipQueries, type LocatedTarget } from "./queries";

const pruneIntervalMs: Milliseconds = 60_000;

/** Membership state machine of one node, without input or output of its own. */
export class Membership {
    private readonly parts: MembershipParts;
    private readonly exchangeProcessor: ExchangeProcessor;
    private readonly queries: MembershipQueries;
    private readonly pendingCalls: PendingCalls;
    private outputs: MembershipOutput[] = [];
    private isStarted = false;
    private lastTickAt: Milliseconds | undefined;
    private nextEagerPushAt: Milliseconds = 0;
    private nextPruneAt: Milliseconds = pruneIntervalMs;

    constructor(options: MembershipOptions) {
        this.parts = createMembershipParts(options);
        this.exchangeProcessor = new ExchangeProcessor(this.parts);
        this.queries = new MembershipQueries(this.parts);
        this.pendingCalls = new PendingCalls(options.clock);
    }

    /** Processes one input and returns the resulting outputs. */
    handle(input: MembershipInput): readonly MembershipOutput[] {
        this.outputs = [];
        this.detectPause(input.kind === MembershipInputKind.Tick);
        this.dispatch(input);
        this.pushUrgentChanges();
        this.emitChanges();
        return this.outputs;
    }

    /** Live entries of all zones, including this node. */
    entries(): readonly Entry[] {
        return this.parts.table.entries();
    }

    /** Live entries of one zone. */
    nodesInZone(zone: string): readonly Entry[] {
        return this.parts.table.entriesIn(zone);
    }

    /** Entry of a node, live or ended. */
    entryOf(node: string): Entry | undefined {
        return this.parts.table.get(node);
    }

    localEntry(): Entry {
        return this.parts.localEntry.entry;
    }

    /** Targets of one service on live nodes. */
    targetsOf(service: string): readonly LocatedTarget[] {
        return this.queries.listTargets(service);
    }

    /** Targets of all services on live nodes. */
    targets(): readonly LocatedTarget[] {
        return this.queries.listTargets(undefined);
    }

    /** Time since a node's entry was last confirmed; `undefined` if the table has no live entry of it. */
    ageOf(node: string): Milliseconds | undefined {
        return this.queries.ageOf(node);
    }

    /** Unreachable zones; their entries are kept. */
    unreachableZones(): readonly string[] {
        return this.parts.contacts.unreachableZones();
    }

    /** Highest version in force on a host within the last 24 h; 0 if none. */
    rememberedVersion(host: string): number {
        return this.parts.table.hosts.versionOf(host);
    }

    /** Whether the node has started and finished joining. */
    isJoined(): boolean {
        return this.isStarted && !this.parts.joiner.isActive();
    }

    private dispatch(input: MembershipInput): void {
        const { localEntry, joiner, crashReports, localTargets } = this.parts;
        switch (input.kind) {
            case MembershipInputKind.Start:
                this.isStarted = true;
                return joiner.start();
            case MembershipInputKind.Tick:
                return this.tick();
            case MembershipInputKind.RosterRead:
                return joiner.handleRoster(input.members);
            case MembershipInputKind.RosterUnavailable:
                return joiner.handleRoster([]);
            case MembershipInputKind.JoinRequested:
                return this.replyToJoin(input.token, input.entry);
            case MembershipInputKind.JoinReplied:
                return this.handleJoinReply(input.call, input.reply);
            case MembershipInputKind.JoinFailed:
            case MembershipInputKind.ExchangeFailed:
            case MembershipInputKind.ZoneFailed:
                return this.handleFailedCall(this.pendingCalls.remove(input.call));
            case MembershipInputKind.ExchangeRequested:
                return this.replyToExchange(input.token, input.exchange);
            case MembershipInputKind.ExchangeReplied:
                this.pendingCalls.remove(input.call);
                return this.handleExchange(input.exchange, true);
            case MembershipInputKind.ZoneRequested:
                this.emit({
                    kind: MembershipOutputKind.ReplyZone,
                    token: input.token,
                    table: this.exchangeProcessor.createTableCopy(undefined, input.zone),
                });
                return;
            case MembershipInputKind.ZoneReplied:
                return this.handleZoneReply(this.pendingCalls.remove(input.call), input.table);
            case MembershipInputKind.TargetAnnounced:
                return this.handleAnnouncement(input.announcement);
            case MembershipInputKind.VersionActivated:
                return localEntry.activate(input.head);
            case MembershipInputKind.VersionRefused:
                return localEntry.refuse(input.refusal);
            case MembershipInputKind.CrashReported:
                crashReports.add(input.reports, crashReportSendCount);
                return;
            case MembershipInputKind.ZonesDiscovered:
                return this.joinUnknownZones(input.members);
            case MembershipInputKind.PushRequested:
                return this.sendExchange(this.parts.table.get(input.node));
            case MembershipInputKind.Drain:
                return this.applyTargetChanges(localTargets.drain());
            case MembershipInputKind.Leave:
                localEntry.leave();
                this.parts.flags.hasUrgentCrossZoneChange = true;
                return;
            default:
                return assertNever(input);
        }
    }

    private tick(): void {
        const { localTargets, localEntry } = this.parts;
        this.applyTargetChanges(localTargets.markSilentAsGone());
        if (localTargets.removeGone()) {
            localEntry.setTargets(localTargets.list());
        }
        this.pendingCalls.removeExpired().forEach(call => this.handleFailedCall(call));
        if (!this.isStarted || localEntry.hasLeft) {
            return;
        }
        this.evaluateSuspicions();
        this.continueJoining();
        this.parts.gossipRounds.selectDuePeers().forEach(entry => this.sendExchange(entry));
        this.reconnect();
        this.prune();
    }

    /**
     * Discards pending calls and suspicions after a pause of this process, because the pause may have caused them. Runs
     * on every input, because call results can be delivered before the first tick.
     */
    private detectPause(isTick: boolean): void {
        const now = this.parts.clock.now();
        const wasPaused = this.lastTickAt !== undefined && now - this.lastTickAt > pauseThresholdMs;
        if (isTick || wasPaused) {
            this.lastTickAt = now;
        }
        if (wasPaused) {
            this.parts.suspicions.reset();
            const hadPendingJoin = this.pendingCalls.removeAll().some(call => call.kind === CallKind.Join);
            if (hadPendingJoin) {
                this.parts.joiner.handleFailure();
            }
        }
    }

    private evaluateSuspicions(): void {
        const { suspicions, updateQueue, flags } = this.parts;
        const { dead, isUrgent } = suspicions.evaluate();
        dead.forEach(node => updateQueue.add(node));
        flags.hasUrgentChange ||= isUrgent;
        flags.hasUrgentCrossZoneChange ||= dead.length > 0;
    }

    private continueJoining(): void {
        const { joiner, table } = this.parts;
        if (!joiner.isActive() && table.size < 2) {
            joiner.start();
        }
        if (!joiner.isActive()) {
            return;
        }
        const step = joiner.nextStep();
        switch (step.kind) {
            case JoinStepKind.Wait:
                return;
            case JoinStepKind.ReadRoster:
                return this.emit({ kind: MembershipOutputKind.ReadRoster });
            case JoinStepKind.SendJoin:
                return this.sendJoin(step.address);
            default:
                return assertNever(step);
        }
    }

    private reconnect(): void {
        const member = this.parts.gossipRounds.selectReconnectPeer();
        if (member === undefined) {
            return;
        }
        if ("node" in member) {
            this.sendExchange(member);
        }
        else if (!this.parts.joiner.isActive()) {
            this.sendJoin(member.controlAddress);
        }
    }

    private sendJoin(to: string): void {
        const call = this.pendingCalls.add({ kind: CallKind.Join, node: "", zone: "" }, tableTimeoutMs);
        const entry = this.parts.localEntry.entry;
        this.emit({ kind: MembershipOutputKind.SendJoin, call, to, entry, timeoutMs: tableTimeoutMs });
    }

    /** Joins through one member of each zone that has no entry in the table, so that both tables are merged. */
    private joinUnknownZones(members: readonly KnownMember[]): void {
        const { table, random } = this.parts;
        const requestedZones = new Set<string | undefined>();
        for (const { zone, controlAddress } of random.shuffle(members)) {
            const isUnknown = zone !== undefined && !requestedZones.has(zone) && table.entriesIn(zone).length === 0;
            if (isUnknown) {
                requestedZones.add(zone);
                this.sendJoin(controlAddress);
            }
        }
    }

    private replyToJoin(token: number, entry: Entry): void {
        this.exchangeProcessor.handleUpdate(entry).forEach(output => this.emit(output));
        this.emit({
            kind: MembershipOutputKind.ReplyJoin,
            token,
            reply: this.exchangeProcessor.createJoinReply(entry),
        });
    }

    private handleJoinReply(callId: number, reply: JoinReply): void {
        const { joiner, table } = this.parts;
        if (this.pendingCalls.remove(callId) === undefined) {
            return;
        }
        if (reply.kind === JoinReplyKind.Busy) {
            return joiner.handleBusy(reply.other, reply.retryAfterMs);
        }
        this.exchangeProcessor.mergeTableCopy(reply.table).forEach(output => this.emit(output));
        if (!joiner.isActive()) {
            return;
        }
        if (reply.table.complete) {
            joiner.finish();
        }
        else {
            joiner.handleIncompleteTable();
        }
        if (!joiner.isActive()) {
            this.emit({ kind: MembershipOutputKind.JoinFinished, peers: table.size - 1 });
        }
    }

    private replyToExchange(token: number, exchange: Exchange): void {
        this.handleExchange(exchange, false);
        const reply = this.exchangeProcessor.createExchange(exchange.from, exchange.digests);
        this.emit({ kind: MembershipOutputKind.ReplyExchange, token, exchange: reply });
    }

    private handleExchange(exchange: Exchange, inReply: boolean): void {
        const { outputs, suspectsToProbe, zonesToPull } = this.exchangeProcessor.handleExchange(exchange, inReply);
        outputs.forEach(output => this.emit(output));
        suspectsToProbe.forEach(node => this.sendExchange(this.parts.table.getLive(node)));
        zonesToPull.forEach(zone => this.sendPull(exchange.from.controlAddress, zone));
    }

    private sendPull(to: string, zone: string): void {
        const call = this.pendingCalls.add({ kind: CallKind.Pull, node: "", zone }, tableTimeoutMs);
        this.emit({ kind: MembershipOutputKind.PullZone, call, to, zone, timeoutMs: tableTimeoutMs });
    }

    private handleZoneReply(call: PendingCall | undefined, copy: TableCopy): void {
        if (call !== undefined) {
            this.exchangeProcessor.mergeTableCopy(copy).forEach(output => this.emit(output));
            this.exchangeProcessor.queueEntriesForPeer(copy, call.zone);
        }
    }

    private sendExchange(entry: Entry | undefined): void {
        if (entry === undefined || entry.node === this.parts.localEntry.entry.node) {
            return;
        }
        const { node, zone, controlAddress } = entry;
        const receiver: Receiver = entry;
        this.emit({
            kind: MembershipOutputKind.SendExchange,
            call: this.pendingCalls.add({ kind: CallKind.Exchange, node, zone }, exchangeTimeoutMs),
            node,
            to: controlAddress,
            exchange: this.exchangeProcessor.createExchange(receiver),
            timeoutMs: exchangeTimeoutMs,
        });
    }

    private handleFailedCall(call: PendingCall | undefined): void {
        const { joiner, localEntry, suspicions, contacts, flags } = this.parts;
        if (call?.kind === CallKind.Join) {
            joiner.handleFailure();
        }
        if (call?.kind !== CallKind.Exchange) {
            return;
        }
        if (call.zone === localEntry.entry.zone) {
            flags.hasUrgentChange = suspicions.recordFailure(call.node) || flags.hasUrgentChange;
        }
        else {
            contacts.recordFailure(call.zone, call.node);
        }
    }

    private handleAnnouncement(announcement: Announcement): void {
        const changed = this.parts.localTargets.handleAnnouncement(announcement);
        this.applyTargetChanges(changed === undefined ? [] : [changed]);
    }

    private applyTargetChanges(changed: readonly Target[]): void {
        const { localEntry, localTargets, flags } = this.parts;
        if (changed.length === 0 || localEntry.hasLeft) {
            return;
        }
        localEntry.setTargets(localTargets.list());
        flags.hasUrgentCrossZoneChange ||= changed.some(target => isWithdrawn(target.state));
        changed.forEach(target => this.emit({ kind: MembershipOutputKind.TargetChanged, target }));
    }

    /** Pushes urgent changes to random peers immediately; each peer that applies them does the same. */
    private pushUrgentChanges(): void {
        const { flags, clock, gossipRounds } = this.parts;
        const isDue = (flags.hasUrgentChange || flags.hasUrgentCrossZoneChange) && clock.now() >= this.nextEagerPushAt;
        if (!isDue) {
            return;
        }
        const peers = gossipRounds.selectEagerPeers(eagerZonePeers, flags.hasUrgentCrossZoneChange ? 1 : 0);
        this.nextEagerPushAt = clock.now() + minEagerPushIntervalMs;
        flags.hasUrgentChange = false;
        flags.hasUrgentCrossZoneChange = false;
        peers.forEach(peer => this.sendExchange(peer));
    }

    private emitChanges(): void {
        const { table, contacts } = this.parts;
        const entries = table.drainChanges();
        if (entries.length > 0) {
            this.emit({ kind: MembershipOutputKind.TableChanged, entries });
        }
        for (const zone of contacts.drainChanges()) {
            const reachable = contacts.isReachable(zone);
            this.emit({ kind: MembershipOutputKind.ZoneReachabilityChanged, zone, reachable });
        }
    }

    private prune(): void {
        const now = this.parts.clock.now();
        if (now >= this.nextPruneAt) {
            this.nextPruneAt = now + pruneIntervalMs;
            this.parts.table.prune();
        }
    }

    private emit(output: MembershipOutput): void {
        this.outputs.push(output);
    }
}
