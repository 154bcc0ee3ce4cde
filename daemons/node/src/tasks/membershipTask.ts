/**
 * Task of membership: carries messages between the membership decision, the control client and the other tasks.
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
// A request whose reply the decision never gives would keep its connection.
const replyTimeoutMs: Milliseconds = 5_000;

/** Version that a peer has in force. */
export type HeardHead = Extract<MembershipOutput, { kind: MembershipOutputKind.HeadReceived }>;

/** Options of a `MembershipTask`. */
export interface MembershipTaskOptions {
    readonly membership: Membership;
    readonly client: ControlClient;
    readonly logger: Logger;
    /** Members to join through, from the store; `undefined` if it cannot be reached. */
    readRoster(): Promise<readonly KnownMember[] | undefined>;
}

type ReplyOf<Kind extends MembershipOutputKind> = Extract<MembershipOutput, { kind: Kind }>;

/** Owns the membership table of a node. */
export class MembershipTask {
    /** Heads of peers, as they are heard. */
    readonly heads = new Subject<HeardHead>();
    /** Emits when entries changed. */
    readonly tableChanges = new Subject<readonly Entry[]>();
    /** Crash reports of other nodes. */
    readonly crashReports = new Subject<readonly QuarantineReport[]>();
    /** Emits once, with the number of peers, when the node has joined. */
    readonly joined = new Subject<number>();
    /** State changes of the own host's targets. */
    readonly targetChanges = new Subject<Target>();
    /** Emits when a later process of this host replaced this one. */
    readonly superseded = new Subject<void>();

    readonly membership: Membership;
    private readonly inbox = new Subject<MembershipInput>();
    private readonly replies = new Map<number, (reply: unknown) => void>();
    private readonly subscriptions: Subscription[] = [];
    private nextToken = 1;

    constructor(private readonly options: MembershipTaskOptions) {
        this.membership = options.membership;
        this.subscriptions.push(this.inbox.subscribe(input => this.process(input)));
    }

    /** Starts joining. */
    start(): void {
        this.tell({ kind: MembershipInputKind.Start });
        this.subscriptions.push(
            interval(tickMs).subscribe(() => this.tell({ kind: MembershipInputKind.Tick })),
        );
    }

    /** Gives a message to the decision. */
    tell(input: MembershipInput): void {
        this.inbox.next(input);
    }

    /** Answers an exchange that a peer started. */
    exchange(exchange: Exchange): Promise<Exchange> {
        return this.request(token => ({ kind: MembershipInputKind.ExchangeRequested, token, exchange }));
    }

    /** Answers a join. */
    join(entry: Entry): Promise<JoinReply> {
        return this.request(token => ({ kind: MembershipInputKind.JoinRequested, token, entry }));
    }

    /** Answers a request for one zone's table. */
    zoneTable(zone: string): Promise<TableCopy> {
        return this.request(token => ({ kind: MembershipInputKind.ZoneRequested, token, zone }));
    }

    /** Ends the task. */
    stop(): void {
        this.subscriptions.forEach(subscription => subscription.unsubscribe());
    }

    private request<Reply>(createInput: (token: number) => MembershipInput): Promise<Reply> {
        const token = this.nextToken++;
        return new Promise((resolve, reject) => {
            const timer = setTimeout(() => {
                this.replies.delete(token);
                reject(new Error("the node did not reply in time"));
            }, replyTimeoutMs);
            this.replies.set(token, reply => {
                clearTimeout(timer);
                resolve(reply as Reply);
            });
            this.tell(createInput(token));
        });
    }

    private reply(token: number, value: unknown): void {
        this.replies.get(token)?.(value);
        this.replies.delete(token);
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
                return this.reply(output.token, output.reply);
            case MembershipOutputKind.ReplyExchange:
                return this.reply(output.token, output.exchange);
            case MembershipOutputKind.ReplyZone:
                return this.reply(output.token, output.table);
            case MembershipOutputKind.TableChanged:
                return this.tableChanges.next(output.entries);
            case MembershipOutputKind.TargetChanged:
                this.options.logger.info("Target changed its state.", {
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
                this.options.logger.warn("A later process of this host took over.", { by: output.by });
                return this.superseded.next();
            default:
                return assertNever(output);
        }
    }

    private async readRoster(): Promise<void> {
        const members = await this.options.readRoster();
        this.tell(members === undefined
            ? { kind: MembershipInputKind.RosterUnavailable }
            : { kind: MembershipInputKind.RosterRead, members });
    }

    private async sendJoin(output: ReplyOf<MembershipOutputKind.SendJoin>): Promise<void> {
        const { call } = output;
        const outcome = await this.options.client.join(output.to, output.entry, output.timeoutMs);
        this.tell(isDone(outcome)
            ? { kind: MembershipInputKind.JoinReplied, call, reply: outcome.value }
            : { kind: MembershipInputKind.JoinFailed, call });
    }

    private async sendExchange(output: ReplyOf<MembershipOutputKind.SendExchange>): Promise<void> {
        const { call } = output;
        const outcome = await this.options.client.exchange(output.to, output.exchange, output.timeoutMs);
        this.tell(isDone(outcome)
            ? { kind: MembershipInputKind.ExchangeReplied, call, exchange: outcome.value }
            : { kind: MembershipInputKind.ExchangeFailed, call });
    }

    private async pullZone(output: ReplyOf<MembershipOutputKind.PullZone>): Promise<void> {
        const { call } = output;
        const outcome = await this.options.client.zoneTable(output.to, output.zone, output.timeoutMs);
        this.tell(isDone(outcome)
            ? { kind: MembershipInputKind.ZoneReplied, call, table: outcome.value }
            : { kind: MembershipInputKind.ZoneFailed, call });
    }
}

function isDone<Value>(
    outcome: ControlOutcome<Value>,
): outcome is Extract<ControlOutcome<Value>, { kind: ControlOutcomeKind.Done }> {
    return outcome.kind === ControlOutcomeKind.Done;
}
