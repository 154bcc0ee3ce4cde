/**
 * Membership of one node: detects failures in the own zone, keeps one table of all nodes and their targets, and spreads
 * changes. See `docs/design.md`, section 3.5.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import { CallKind, OpenCalls, type OpenCall } from "./calls";
import { Exchanges, type Receiver } from "./exchanges";
import { JoinStepKind } from "./joining";
import {
    crashReportPeers,
    eagerPushSpacingMs,
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
import { MembershipViews, type LocatedTarget } from "./views";

const pruneSpacingMs: Milliseconds = 60_000;

/** Decides for one node. `handle` takes one message and gives the messages that follow from it. */
export class Membership {
    private readonly parts: MembershipParts;
    private readonly exchanges: Exchanges;
    private readonly views: MembershipViews;
    private readonly calls: OpenCalls;
    private outputs: MembershipOutput[] = [];
    private started = false;
    private lastTickAt: Milliseconds | undefined;
    private nextEagerPushAt: Milliseconds = 0;
    private nextPruneAt: Milliseconds = pruneSpacingMs;

    constructor(options: MembershipOptions) {
        this.parts = createMembershipParts(options);
        this.exchanges = new Exchanges(this.parts);
        this.views = new MembershipViews(this.parts);
        this.calls = new OpenCalls(options.clock);
    }

    /** Takes one message. */
    handle(input: MembershipInput): readonly MembershipOutput[] {
        this.outputs = [];
        this.notePause(input.kind === MembershipInputKind.Tick);
        this.dispatch(input);
        this.pushUrgentChanges();
        this.reportChanges();
        return this.outputs;
    }

    /** Live entries of all zones, this node included. */
    entries(): readonly Entry[] {
        return this.parts.table.entries();
    }

    /** Live entries of one zone. */
    nodesInZone(zone: string): readonly Entry[] {
        return this.parts.table.entriesIn(zone);
    }

    /** Entry of a node, ended ones included. */
    entryOf(node: string): Entry | undefined {
        return this.parts.table.get(node);
    }

    /** This node's entry. */
    ownEntry(): Entry {
        return this.parts.own.entry;
    }

    /** Targets of one service on live nodes. */
    targetsOf(service: string): readonly LocatedTarget[] {
        return this.views.locateTargets(service);
    }

    /** Targets of all services on live nodes. */
    targets(): readonly LocatedTarget[] {
        return this.views.locateTargets(undefined);
    }

    /** Time since a node's entry was last confirmed; `undefined` if the node is not known as live. */
    ageOf(node: string): Milliseconds | undefined {
        return this.views.ageOf(node);
    }

    /** Zones out of reach; their entries are kept. */
    unreachableZones(): readonly string[] {
        return this.parts.contacts.unreachableZones();
    }

    /** Highest version seen in force on a host within 24 h; 0 if none. */
    rememberedVersion(host: string): number {
        return this.parts.table.hosts.versionOf(host);
    }

    /** Random live peers: some of the own zone and some of other zones. */
    choosePeers(inZone: number, elsewhere: number): readonly Entry[] {
        return this.parts.rounds.eagerPeers(inZone, elsewhere);
    }

    /** Whether the node has joined. */
    isJoined(): boolean {
        return this.started && !this.parts.joiner.isActive();
    }

    private dispatch(input: MembershipInput): void {
        const { own, joiner, crashReports, targets } = this.parts;
        switch (input.kind) {
            case MembershipInputKind.Start:
                this.started = true;
                return joiner.start();
            case MembershipInputKind.Tick:
                return this.tick();
            case MembershipInputKind.RosterRead:
                return joiner.takeRoster(input.members);
            case MembershipInputKind.RosterUnavailable:
                return joiner.takeRoster([]);
            case MembershipInputKind.JoinRequested:
                return this.answerJoin(input.token, input.entry);
            case MembershipInputKind.JoinReplied:
                return this.finishJoin(input.call, input.reply);
            case MembershipInputKind.JoinFailed:
            case MembershipInputKind.ExchangeFailed:
            case MembershipInputKind.ZoneFailed:
                return this.fail(this.calls.close(input.call));
            case MembershipInputKind.ExchangeRequested:
                return this.answerExchange(input.token, input.exchange);
            case MembershipInputKind.ExchangeReplied:
                this.calls.close(input.call);
                return this.absorb(input.exchange, true);
            case MembershipInputKind.ZoneRequested:
                this.emit({
                    kind: MembershipOutputKind.ReplyZone,
                    token: input.token,
                    table: this.exchanges.writeCopy(undefined, input.zone),
                });
                return;
            case MembershipInputKind.ZoneReplied:
                return this.takeZone(this.calls.close(input.call), input.table);
            case MembershipInputKind.TargetAnnounced:
                return this.takeAnnouncement(input.announcement);
            case MembershipInputKind.VersionActivated:
                return own.activate(input.head);
            case MembershipInputKind.VersionRefused:
                return own.refuse(input.refusal);
            case MembershipInputKind.CrashReported:
                crashReports.add(input.reports, crashReportPeers);
                return;
            case MembershipInputKind.ZonesDiscovered:
                return this.joinUnknownZones(input.members);
            case MembershipInputKind.PushRequested:
                return this.exchangeWith(this.parts.table.get(input.node));
            case MembershipInputKind.Drain:
                return this.takeTargetChanges(targets.drain());
            case MembershipInputKind.Leave:
                own.leave();
                this.parts.flags.urgentAcrossZones = true;
                return;
            default:
                return assertNever(input);
        }
    }

    private tick(): void {
        const { targets, own } = this.parts;
        this.takeTargetChanges(targets.expire());
        if (targets.forgetGone()) {
            own.setTargets(targets.list());
        }
        this.calls.takeOverdue().forEach(call => this.fail(call));
        if (!this.started || own.hasLeft) {
            return;
        }
        this.judgeSuspicions();
        this.continueJoining();
        this.parts.rounds.takeDue().forEach(entry => this.exchangeWith(entry));
        this.reconnect();
        this.prune();
    }

    /**
     * After a pause, open calls and suspicions say more about this process than about its peers. Checked on every
     * message, because results of calls can be delivered before the first tick.
     */
    private notePause(isTick: boolean): void {
        const now = this.parts.clock.now();
        const wasPaused = this.lastTickAt !== undefined && now - this.lastTickAt > pauseThresholdMs;
        if (isTick || wasPaused) {
            this.lastTickAt = now;
        }
        if (wasPaused) {
            this.parts.suspicions.reset();
            const joinWasOpen = this.calls.takeAll().some(call => call.kind === CallKind.Join);
            if (joinWasOpen) {
                this.parts.joiner.failed();
            }
        }
    }

    private judgeSuspicions(): void {
        const { suspicions, queue, flags } = this.parts;
        const { dead, urgent } = suspicions.advance();
        dead.forEach(node => queue.add(node));
        flags.urgent ||= urgent;
        flags.urgentAcrossZones ||= dead.length > 0;
    }

    private continueJoining(): void {
        const { joiner, table } = this.parts;
        if (!joiner.isActive() && table.size < 2) {
            joiner.start();
        }
        if (!joiner.isActive()) {
            return;
        }
        const step = joiner.step();
        switch (step.kind) {
            case JoinStepKind.Wait:
                return;
            case JoinStepKind.ReadRoster:
                return this.emit({ kind: MembershipOutputKind.ReadRoster });
            case JoinStepKind.Ask:
                return this.sendJoin(step.address);
            default:
                return assertNever(step);
        }
    }

    private reconnect(): void {
        const member = this.parts.rounds.takeReconnect();
        if (member === undefined) {
            return;
        }
        if ("node" in member) {
            this.exchangeWith(member);
        }
        else if (!this.parts.joiner.isActive()) {
            this.sendJoin(member.controlAddress);
        }
    }

    private sendJoin(to: string): void {
        const call = this.calls.open({ kind: CallKind.Join, node: "", zone: "" }, tableTimeoutMs);
        const entry = this.parts.own.entry;
        this.emit({ kind: MembershipOutputKind.SendJoin, call, to, entry, timeoutMs: tableTimeoutMs });
    }

    /** Joins through one member of each zone of which the table has no node; the tables merge from both sides. */
    private joinUnknownZones(members: readonly KnownMember[]): void {
        const { table, random } = this.parts;
        const asked = new Set<string | undefined>();
        for (const { zone, controlAddress } of random.shuffle(members)) {
            const isUnknown = zone !== undefined && !asked.has(zone) && table.entriesIn(zone).length === 0;
            if (isUnknown) {
                asked.add(zone);
                this.sendJoin(controlAddress);
            }
        }
    }

    private answerJoin(token: number, entry: Entry): void {
        this.exchanges.takeUpdate(entry).forEach(output => this.emit(output));
        this.emit({ kind: MembershipOutputKind.ReplyJoin, token, reply: this.exchanges.writeJoinReply(entry) });
    }

    private finishJoin(number: number, reply: JoinReply): void {
        const { joiner, table } = this.parts;
        if (this.calls.close(number) === undefined) {
            return;
        }
        if (reply.kind === JoinReplyKind.Busy) {
            return joiner.busy(reply.other, reply.retryAfterMs);
        }
        this.exchanges.absorbCopy(reply.table).forEach(output => this.emit(output));
        if (!joiner.isActive()) {
            return;
        }
        if (reply.table.complete) {
            joiner.finish();
        }
        else {
            joiner.joinedIncomplete();
        }
        if (!joiner.isActive()) {
            this.emit({ kind: MembershipOutputKind.JoinFinished, peers: table.size - 1 });
        }
    }

    private answerExchange(token: number, exchange: Exchange): void {
        this.absorb(exchange, false);
        const reply = this.exchanges.write(exchange.from, exchange.digests);
        this.emit({ kind: MembershipOutputKind.ReplyExchange, token, exchange: reply });
    }

    private absorb(exchange: Exchange, inReply: boolean): void {
        const { outputs, suspectsToCall, zonesToPull } = this.exchanges.absorb(exchange, inReply);
        outputs.forEach(output => this.emit(output));
        suspectsToCall.forEach(node => this.exchangeWith(this.parts.table.getLive(node)));
        zonesToPull.forEach(zone => this.pullZone(exchange.from.controlAddress, zone));
    }

    private pullZone(to: string, zone: string): void {
        const call = this.calls.open({ kind: CallKind.Pull, node: "", zone }, tableTimeoutMs);
        this.emit({ kind: MembershipOutputKind.PullZone, call, to, zone, timeoutMs: tableTimeoutMs });
    }

    private takeZone(call: OpenCall | undefined, copy: TableCopy): void {
        if (call !== undefined) {
            this.exchanges.absorbCopy(copy).forEach(output => this.emit(output));
            this.exchanges.pushBack(copy, call.zone);
        }
    }

    private exchangeWith(entry: Entry | undefined): void {
        if (entry === undefined || entry.node === this.parts.own.entry.node) {
            return;
        }
        const { node, zone, controlAddress } = entry;
        const receiver: Receiver = entry;
        this.emit({
            kind: MembershipOutputKind.SendExchange,
            call: this.calls.open({ kind: CallKind.Exchange, node, zone }, exchangeTimeoutMs),
            node,
            to: controlAddress,
            exchange: this.exchanges.write(receiver),
            timeoutMs: exchangeTimeoutMs,
        });
    }

    private fail(call: OpenCall | undefined): void {
        const { joiner, own, suspicions, contacts, flags } = this.parts;
        if (call?.kind === CallKind.Join) {
            joiner.failed();
        }
        if (call?.kind !== CallKind.Exchange) {
            return;
        }
        if (call.zone === own.entry.zone) {
            flags.urgent = suspicions.observeFailure(call.node) || flags.urgent;
        }
        else {
            contacts.failedToReach(call.zone, call.node);
        }
    }

    private takeAnnouncement(announcement: Announcement): void {
        const changed = this.parts.targets.announce(announcement);
        this.takeTargetChanges(changed === undefined ? [] : [changed]);
    }

    private takeTargetChanges(changed: readonly Target[]): void {
        const { own, targets, flags } = this.parts;
        if (changed.length === 0 || own.hasLeft) {
            return;
        }
        own.setTargets(targets.list());
        flags.urgentAcrossZones ||= changed.some(target => isWithdrawn(target.state));
        changed.forEach(target => this.emit({ kind: MembershipOutputKind.TargetChanged, target }));
    }

    /** Sends urgent changes to random peers at once; each peer to which they are news does the same. */
    private pushUrgentChanges(): void {
        const { flags, clock, rounds } = this.parts;
        const isDue = (flags.urgent || flags.urgentAcrossZones) && clock.now() >= this.nextEagerPushAt;
        if (!isDue) {
            return;
        }
        const peers = rounds.eagerPeers(eagerZonePeers, flags.urgentAcrossZones ? 1 : 0);
        this.nextEagerPushAt = clock.now() + eagerPushSpacingMs;
        flags.urgent = false;
        flags.urgentAcrossZones = false;
        peers.forEach(peer => this.exchangeWith(peer));
    }

    private reportChanges(): void {
        const { table, contacts } = this.parts;
        const entries = table.takeChanges();
        if (entries.length > 0) {
            this.emit({ kind: MembershipOutputKind.TableChanged, entries });
        }
        for (const zone of contacts.takeChanges()) {
            const reachable = contacts.isReachable(zone);
            this.emit({ kind: MembershipOutputKind.ZoneReachabilityChanged, zone, reachable });
        }
    }

    private prune(): void {
        const now = this.parts.clock.now();
        if (now >= this.nextPruneAt) {
            this.nextPruneAt = now + pruneSpacingMs;
            this.parts.table.prune();
        }
    }

    private emit(output: MembershipOutput): void {
        this.outputs.push(output);
    }
}
