/**
 * Simulated fleet of `Membership` instances on one manual clock, with a network that delays and loses messages.
 */
import { ManualClock, type Milliseconds } from "@bilberrycroft/core.clock";
import { createSeededRandom, type Random } from "@bilberrycroft/core.random";
import {
    JoinReplyKind,
    Liveness,
    Membership,
    MembershipInputKind,
    MembershipOutputKind,
    type Entry,
    type KnownMember,
    type MembershipInput,
    type MembershipOutput,
} from "../src/index";

const tickMs = 250;

/** One simulated process. */
export interface Process {
    readonly node: string;
    readonly host: string;
    readonly zone: string;
    readonly address: string;
    readonly membership: Membership;
    running: boolean;
    paused: boolean;
}

interface Event {
    readonly at: Milliseconds;
    readonly order: number;
    readonly run: () => void;
}

/** Whether a message from one process to another is lost. */
export type MessageLoss = (from: Process, to: Process) => boolean;

export class Fleet {
    readonly clock = new ManualClock();
    readonly processes = new Map<string, Process>();
    readonly outputs: { readonly at: Milliseconds; readonly node: string; readonly output: MembershipOutput }[] = [];
    /** Whether the store returns the members of the zones; otherwise it is unavailable. */
    isStoreUp = true;
    isLost: MessageLoss = () => false;
    exchangeBytes: number[] = [];
    private readonly random: Random;
    private events: Event[] = [];
    private order = 0;
    private nextToken = 0;
    private nextProcess = 0;
    private readonly pendingReplies = new Map<number, (output: MembershipOutput) => void>();

    constructor(seed: number) {
        this.random = createSeededRandom(seed);
    }

    /** Starts a process on a host; an earlier process on the same host has to be killed first. */
    start(zone: string, host: string): Process {
        const run = ++this.nextProcess;
        const address = `10.0.0.1:${host}`;
        const node = `${host}-${run}`;
        const membership = new Membership({
            clock: this.clock,
            random: createSeededRandom(this.random.nextInteger(1_000_000)),
            identity: {
                node,
                host,
                zone,
                region: "south",
                controlAddress: address,
                callAddress: `${address}0`,
                incarnation: this.clock.wallTime(),
            },
            peers: [],
        });
        const process: Process = { node, host, zone, address, membership, running: true, paused: false };
        this.processes.set(address, process);
        this.send(process, { kind: MembershipInputKind.Start });
        this.schedule(this.random.nextInteger(tickMs), () => this.tick(process));
        return process;
    }

    /** Starts `count` processes in a zone. */
    startZone(zone: string, count: number): readonly Process[] {
        return Array.from({ length: count }, (_, index) => this.start(zone, `${zone}${String(index).padStart(2, "0")}`));
    }

    /** Stops a process without a graceful shutdown. */
    kill(process: Process): void {
        process.running = false;
    }

    /** Advances the clock and runs all events that become due. */
    advance(duration: Milliseconds): void {
        const end = this.clock.now() + duration;
        while (this.events.length > 0) {
            const next = this.removeNextEvent(end);
            if (next === undefined) {
                break;
            }
            this.clock.advance(next.at - this.clock.now());
            next.run();
        }
        this.clock.advance(end - this.clock.now());
    }

    /** Delivers an input to a process, unless it is stopped or paused. */
    send(process: Process, input: MembershipInput): void {
        if (!process.running || process.paused) {
            return;
        }
        for (const output of process.membership.handle(input)) {
            this.outputs.push({ at: this.clock.now(), node: process.node, output });
            this.handleOutput(process, output);
        }
    }

    running(zone?: string): readonly Process[] {
        return [...this.processes.values()]
            .filter(process => process.running && (zone === undefined || process.zone === zone));
    }

    /** Liveness of one process as another sees it. */
    livenessAt(observer: Process, subject: Process): Liveness | undefined {
        return observer.membership.entryOf(subject.node)?.liveness;
    }

    private removeNextEvent(end: Milliseconds): Event | undefined {
        let first = 0;
        this.events.forEach((event, index) => {
            const best = this.events[first] as Event;
            if (event.at < best.at || (event.at === best.at && event.order < best.order)) {
                first = index;
            }
        });
        const event = this.events[first] as Event;
        if (event.at > end) {
            return undefined;
        }
        this.events[first] = this.events.at(-1) as Event;
        this.events.pop();
        return event;
    }

    private schedule(delay: Milliseconds, run: () => void): void {
        this.events.push({ at: this.clock.now() + delay, order: this.order++, run });
    }

    private tick(process: Process): void {
        if (process.running) {
            this.send(process, { kind: MembershipInputKind.Tick });
            this.schedule(tickMs, () => this.tick(process));
        }
    }

    private handleOutput(process: Process, output: MembershipOutput): void {
        switch (output.kind) {
            case MembershipOutputKind.ReadRoster:
                return this.schedule(2, () => this.send(process, this.readRoster(process)));
            case MembershipOutputKind.SendExchange:
                this.exchangeBytes.push(JSON.stringify(output.exchange).length);
                return this.call(process, output.to, output.timeoutMs, {
                    request: token => ({
                        kind: MembershipInputKind.ExchangeRequested,
                        token,
                        exchange: cloneAsJson(output.exchange),
                    }),
                    reply: reply => reply.kind === MembershipOutputKind.ReplyExchange
                        ? {
                                kind: MembershipInputKind.ExchangeReplied,
                                call: output.call,
                                exchange: cloneAsJson(reply.exchange),
                            }
                        : undefined,
                    failure: { kind: MembershipInputKind.ExchangeFailed, call: output.call },
                });
            case MembershipOutputKind.SendJoin:
                return this.call(process, output.to, output.timeoutMs, {
                    request: token => ({
                        kind: MembershipInputKind.JoinRequested,
                        token,
                        entry: cloneAsJson(output.entry),
                    }),
                    reply: reply => reply.kind === MembershipOutputKind.ReplyJoin
                        ? { kind: MembershipInputKind.JoinReplied, call: output.call, reply: cloneAsJson(reply.reply) }
                        : undefined,
                    failure: { kind: MembershipInputKind.JoinFailed, call: output.call },
                });
            case MembershipOutputKind.PullZone:
                return this.call(process, output.to, output.timeoutMs, {
                    request: token => ({ kind: MembershipInputKind.ZoneRequested, token, zone: output.zone }),
                    reply: reply => reply.kind === MembershipOutputKind.ReplyZone
                        ? { kind: MembershipInputKind.ZoneReplied, call: output.call, table: cloneAsJson(reply.table) }
                        : undefined,
                    failure: { kind: MembershipInputKind.ZoneFailed, call: output.call },
                });
            case MembershipOutputKind.ReplyExchange:
            case MembershipOutputKind.ReplyJoin:
            case MembershipOutputKind.ReplyZone:
                this.pendingReplies.get(output.token)?.(output);
                this.pendingReplies.delete(output.token);
                return;
            default:
        }
    }

    private readRoster(process: Process): MembershipInput {
        if (!this.isStoreUp) {
            return { kind: MembershipInputKind.RosterUnavailable };
        }
        const members: KnownMember[] = this.running()
            .filter(member => member !== process)
            .map(member => ({ controlAddress: member.address, zone: member.zone }));
        return { kind: MembershipInputKind.RosterRead, members: this.random.shuffle(members).slice(0, 16) };
    }

    private call(from: Process, address: string, timeoutMs: Milliseconds, call: {
        readonly request: (token: number) => MembershipInput;
        readonly reply: (reply: MembershipOutput) => MembershipInput | undefined;
        readonly failure: MembershipInput;
    }): void {
        let settled = false;
        const settle = (input: MembershipInput | undefined): void => {
            if (!settled && input !== undefined) {
                settled = true;
                this.send(from, input);
            }
        };
        this.schedule(timeoutMs, () => settle(call.failure));
        const token = ++this.nextToken;
        this.schedule(this.latency(), () => {
            const to = this.processes.get(address);
            if (to === undefined || !to.running || this.isLost(from, to)) {
                return;
            }
            this.pendingReplies.set(token, reply => {
                if (!this.isLost(to, from)) {
                    this.schedule(this.latency(), () => settle(call.reply(reply)));
                }
            });
            this.send(to, call.request(token));
        });
    }

    private latency(): Milliseconds {
        return 1 + this.random.nextInteger(3);
    }
}

/** Whether the output is a join reply with a table. */
export function isAcceptedJoin(output: MembershipOutput): boolean {
    return output.kind === MembershipOutputKind.ReplyJoin && output.reply.kind === JoinReplyKind.Joined;
}

/** The live entries of a process's table as comparable text. */
export function tableOf(process: Process): string {
    return process.membership.entries().map(describe).sort().join("\n");
}

function describe(entry: Entry): string {
    return `${entry.node} ${entry.revision} ${entry.liveness} ${entry.version}`;
}

/** Messages are sent as JSON; fields that JSON does not preserve must fail the tests. */
function cloneAsJson<Value>(value: Value): Value {
    return JSON.parse(JSON.stringify(value)) as Value;
}
