/**
 * Runs the membership state machine: feeds it inputs from other nodes and tasks, and performs its outputs.
 */
import {
    type Entry,
    type Exchange,
    type JoinReply,
    type KnownMember,
    type Membership,
    type MembershipInput,
    MembershipInputKind,
    type MembershipOutput,
    MembershipOutputKind,
    type TableCopy,
    type Target,
} from "@bilberrycroft/coordination.membership";
import type { QuarantineReport } from "@bilberrycroft/coordination.quarantine";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import type { Logger } from "@bilberrycroft/core.logger";
import { type ControlClient, type ControlOutcome, ControlOutcomeKind } from "@bilberrycroft/transport.control";
import { interval, Subject, type Subscription } from "rxjs";

const tickMs: Milliseconds = 250;
// Without a timeout, a request to which the state machine never replies would keep its connection open.
const replyTimeoutMs: Milliseconds = 5_000;

/** Head of the version that a peer has in force. */
export type ReceivedHead = Extract<MembershipOutput, { kind: MembershipOutputKind.HeadReceived }>;

export interface MembershipTaskOptions {
    readonly membership: Membership;
    readonly client: ControlClient;
    readonly logger: Logger;
    /** Reads the members to join through from the store; `undefined` if the store is unavailable. */
    readRoster(): Promise<readonly KnownMember[] | undefined>;
}

type OutputOf<Kind extends MembershipOutputKind> = Extract<MembershipOutput, { kind: Kind }>;

export class MembershipTask {
    /** Emits each head received from a peer. */
    readonly heads = new Subject<ReceivedHead>();
    /** Emits the entries that changed; an empty list when the reachability of a zone changes. */
    readonly tableChanges = new Subject<readonly Entry[]>();
    /** Emits crash reports received from other nodes. */
    readonly crashReports = new Subject<readonly QuarantineReport[]>();
    /** Emits the number of peers once the node has joined. */
    readonly joined = new Subject<number>();
    /** Emits targets of this host when their state changes. */
    readonly targetChanges = new Subject<Target>();
    /** Emits when a newer process of this host has replaced this one. */
    readonly superseded = new Subject<void>();

    readonly membership: Membership;
    private readonly inbox = new Subject<MembershipInput>();
    private readonly pendingReplies = new Map<number, (reply: unknown) => void>();
    private readonly subscriptions: Subscription[] = [];
    private nextToken = 1;

    constructor(private readonly options: MembershipTaskOptions) {
        this.membership = options.membership;
        this.subscriptions.push(this.inbox.subscribe(input => this.process(input)));
    }

    /** Starts joining the mesh. */
    start(): void {
        this.handle({ kind: MembershipInputKind.Start });
        this.subscriptions.push(
            interval(tickMs).subscribe(() => this.handle({ kind: MembershipInputKind.Tick })),
        );
    }

    handle(input: MembershipInput): void {
        this.inbox.next(input);
    }

    /** Handles an exchange that a peer started; resolves with the reply. */
    handleExchange(exchange: Exchange): Promise<Exchange> {
        return this.handleRequest(token => ({ kind: MembershipInputKind.ExchangeRequested, token, exchange }));
    }

    /** Handles the join of another node; resolves with the reply. */
    handleJoin(entry: Entry): Promise<JoinReply> {
        return this.handleRequest(token => ({ kind: MembershipInputKind.JoinRequested, token, entry }));
    }

    /** Handles a request for the table of one zone; resolves with the copy. */
    handleZoneTable(zone: string): Promise<TableCopy> {
        return this.handleRequest(token => ({ kind: MembershipInputKind.ZoneRequested, token, zone }));
    }

    stop(): void {
        this.subscriptions.forEach(subscription => subscription.unsubscribe());
    }

    private handleRequest<Reply>(createInput: (token: number) => MembershipInput): Promise<Reply> {
        const token = this.nextToken++;
        return new Promise((resolve, reject) => {
            const timer = setTimeout(() => {
                this.pendingReplies.delete(token);
                reject(new Error("the node did not reply in time"));
            }, replyTimeoutMs);
            this.pendingReplies.set(token, reply => {
                clearTimeout(timer);
                resolve(reply as Reply);
            });
            this.handle(createInput(token));
        });
    }

    private resolveReply(token: number, value: unknown): void {
        this.pendingReplies.get(token)?.(value);
        this.pendingReplies.delete(token);
    }

    private process(input: MembershipInput): void {
        for (const output of this.membership.handle(input)) {
            this.perform(output);
        }
    }

    private perform(output: MembershipOutput): void {
        switch (output.kind) {
            case MembershipOutputKind.ReadRoster:
                return void this.readRoster();
            case MembershipOutputKind.SendJoin:
                return void this.sendJoin(output);
            case MembershipOutputKind.SendExchange:
                return void this.sendExchange(output);
            case MembershipOutputKind.PullZone:
                return void this.pullZone(output);
            case MembershipOutputKind.ReplyJoin:
                return this.resolveReply(output.token, output.reply);
            case MembershipOutputKind.ReplyExchange:
                return this.resolveReply(output.token, output.exchange);
            case MembershipOutputKind.ReplyZone:
                return this.resolveReply(output.token, output.table);
            case MembershipOutputKind.TableChanged:
                return this.tableChanges.next(output.entries);
            case MembershipOutputKind.TargetChanged:
                this.options.logger.info("Target state changed.", {
                    target: output.target.id,
                    state: output.target.state,
                });
                return this.targetChanges.next(output.target);
            case MembershipOutputKind.ZoneReachabilityChanged:
                this.options.logger.warn(output.reachable ? "Zone is reachable again." : "Zone is unreachable.", {
                    zone: output.zone,
                });
                return this.tableChanges.next([]);
            case MembershipOutputKind.HeadReceived:
                return this.heads.next(output);
            case MembershipOutputKind.CrashReportsReceived:
                return this.crashReports.next(output.reports);
            case MembershipOutputKind.JoinFinished:
                this.options.logger.info("Node joined.", { peers: output.peers });
                return this.joined.next(output.peers);
            case MembershipOutputKind.Superseded:
                this.options.logger.warn("Superseded by a newer process of this host.", { by: output.by });
                return this.superseded.next();
            default:
                return assertNever(output);
        }
    }

    private async readRoster(): Promise<void> {
        const members = await this.options.readRoster();
        this.handle(members === undefined
            ? { kind: MembershipInputKind.RosterUnavailable }
            : { kind: MembershipInputKind.RosterRead, members });
    }

    private async sendJoin(output: OutputOf<MembershipOutputKind.SendJoin>): Promise<void> {
        const { call } = output;
        const outcome = await this.options.client.join(output.to, output.entry, output.timeoutMs);
        this.handle(isDone(outcome)
            ? { kind: MembershipInputKind.JoinReplied, call, reply: outcome.value }
            : { kind: MembershipInputKind.JoinFailed, call });
    }

    private async sendExchange(output: OutputOf<MembershipOutputKind.SendExchange>): Promise<void> {
        const { call } = output;
        const outcome = await this.options.client.exchange(output.to, output.exchange, output.timeoutMs);
        this.handle(isDone(outcome)
            ? { kind: MembershipInputKind.ExchangeReplied, call, exchange: outcome.value }
            : { kind: MembershipInputKind.ExchangeFailed, call });
    }

    private async pullZone(output: OutputOf<MembershipOutputKind.PullZone>): Promise<void> {
        const { call } = output;
        const outcome = await this.options.client.zoneTable(output.to, output.zone, output.timeoutMs);
        this.handle(isDone(outcome)
            ? { kind: MembershipInputKind.ZoneReplied, call, table: outcome.value }
            : { kind: MembershipInputKind.ZoneFailed, call });
    }
}

function isDone<Value>(
    outcome: ControlOutcome<Value>,
): outcome is Extract<ControlOutcome<Value>, { kind: ControlOutcomeKind.Done }> {
    return outcome.kind === ControlOutcomeKind.Done;
}
